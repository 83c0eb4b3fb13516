package rlbbalancer

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Times for which other endpoints are preferred to one that failed.
const (
	initialBackoff  = 300 * time.Millisecond
	maxBackoff      = 5 * time.Second
	refusalBackoff  = 300 * time.Millisecond // for one model, after the endpoint refused a request for it
	mismatchBackoff = 2 * time.Second        // for an endpoint that does not match its entry, unless the entry changes first
)

// statsTTL is how long the stats of an endpoint without an entry are kept.
const statsTTL = time.Minute

// Outcome is the result of a request as far as it concerns the health of the endpoint.
type Outcome int

// Outcomes of a request.
const (
	OutcomeNeutral Outcome = iota // does not affect the health of the endpoint
	OutcomeSucceeded
	OutcomeFailed   // the endpoint answered with a failure
	OutcomeNoAnswer // the endpoint was unreachable, or its answer was cut off or timed out
)

// endpointStats holds the load and recent failures of one endpoint incarnation.
type endpointStats struct {
	startedAt     time.Time // start of the incarnation
	inFlight      int
	urgent        int     // in-flight requests of the highest priority
	lateWaiting   int     // late requests whose answer has not begun
	unreadTokens  int     // prompt tokens of requests whose answer has not begun, without the late ones
	slowShare     float64 // moving share of streams that paused for too long
	failures      int     // consecutive
	backoffUntil  time.Time
	noAnswerUntil time.Time               // until when a missing answer is reported to other instances
	refusedUntil  map[string]time.Time    // by model or MODEL/ADAPTER
	mismatched    *rlbdeployment.Endpoint // entry that the endpoint did not match
	mismatchUntil time.Time
	holdOff       holdOff
	refusalLimit  refusalLimit
	unanswered    int       // requests in flight whose answer has not begun
	unknownSince  time.Time // since when the endpoint has no entry; zero: it has one
}

// statsOf returns the stats of an endpoint. When the endpoint has restarted, it resets
// the failures, the refusals and the share of slow streams.
func (b *Balancer) statsOf(e *rlbdeployment.Endpoint) *endpointStats {
	s := b.stats[e.ID]
	if s == nil {
		s = &endpointStats{startedAt: e.StartedAt}
		b.stats[e.ID] = s
	}
	if e.StartedAt.After(s.startedAt) {
		s.startedAt, s.slowShare, s.failures, s.backoffUntil, s.noAnswerUntil, s.refusedUntil, s.holdOff, s.refusalLimit = e.StartedAt, 0, 0, time.Time{}, time.Time{}, nil, holdOff{}, refusalLimit{}
	}
	if s.mismatched != nil && s.mismatched != e {
		s.mismatched = nil // the entry has changed
	}
	return s
}

// hasMismatch reports whether the endpoint recently did not match its entry.
func (s *endpointStats) hasMismatch(now time.Time) bool {
	return s.mismatched != nil && now.Before(s.mismatchUntil)
}

// reportsFailure reports whether other instances are told that the endpoint gave no answer
// or does not match its entry.
func (s *endpointStats) reportsFailure(now time.Time) bool {
	return now.Before(s.noAnswerUntil) || s.hasMismatch(now)
}

// unhealthy reports whether the endpoint is in its backoff after a failure or does
// not match its entry.
func (s *endpointStats) unhealthy(now time.Time) bool {
	return now.Before(s.backoffUntil) || s.hasMismatch(now)
}

// addUnread counts a request whose answer has not begun; sign is -1 once it has. The prompt of a
// late request is read after those of the others, and does not count for them.
func (s *endpointStats) addUnread(load RequestLoad, sign int) {
	s.unanswered += sign
	if load.Late {
		s.lateWaiting += sign
		return
	}
	s.unreadTokens += sign * load.PromptTokens
}

func (s *endpointStats) load() Load {
	return Load{InFlight: s.inFlight, Urgent: s.urgent, LateWaiting: s.lateWaiting, UnreadTokens: s.unreadTokens, SlowShare: s.slowShare}
}

package rlbbalancer

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Times for which an endpoint that fails gets no requests while others can.
const (
	initialBackoff  = 300 * time.Millisecond
	maxBackoff      = 5 * time.Second
	refusalBackoff  = 300 * time.Millisecond // a model whose request the endpoint refused
	mismatchBackoff = 2 * time.Second        // an endpoint that is not what its entry says, until the entry changes
)

// Outcome is how an endpoint dealt with a request.
type Outcome int

// The outcomes.
const (
	OutcomeNeutral Outcome = iota // says nothing of the endpoint
	OutcomeSucceeded
	OutcomeFailed   // it answered, and failed
	OutcomeNoAnswer // it was not reached, or its answer broke off or did not come
)

type endpointStats struct {
	startedAt     time.Time // of the life that the row is about
	inFlight      int
	urgent        int                     // of those in flight, the urgent ones
	unreadTokens  int                     // prompt tokens of requests that have no answer yet
	slowShare     float64                 // part of its latest streams with a pause that was too long
	failures      int                     // in a row
	backoffUntil  time.Time               // until when others are preferred
	noAnswerUntil time.Time               // until when other instances are told that it was lost
	refusedUntil  map[string]time.Time    // models and adapters that it refused requests for, until when
	mismatched    *rlbdeployment.Endpoint // entry that the endpoint does not match
	mismatchUntil time.Time               // until when that counts
}

func (t *Balancer) statsOf(e *rlbdeployment.Endpoint) *endpointStats {
	s := t.stats[e.ID]
	if s == nil {
		s = &endpointStats{startedAt: e.StartedAt}
		t.stats[e.ID] = s
	}
	if e.StartedAt.After(s.startedAt) {
		s.startedAt, s.slowShare, s.failures, s.backoffUntil, s.noAnswerUntil, s.refusedUntil = e.StartedAt, 0, 0, time.Time{}, time.Time{}, nil
	}
	if s.mismatched != nil && s.mismatched != e {
		s.mismatched = nil // it has another entry since
	}
	return s
}

// hasMismatch reports whether the endpoint does not match its entry.
func (s *endpointStats) hasMismatch(now time.Time) bool {
	return s.mismatched != nil && now.Before(s.mismatchUntil)
}

// unhealthy reports whether the endpoint's latest answers were bad, or it does not
// match its entry.
func (s *endpointStats) unhealthy(now time.Time) bool {
	return now.Before(s.backoffUntil) || s.hasMismatch(now)
}

func (s *endpointStats) load() Load {
	return Load{InFlight: s.inFlight, Urgent: s.urgent, UnreadTokens: s.unreadTokens, SlowShare: s.slowShare}
}

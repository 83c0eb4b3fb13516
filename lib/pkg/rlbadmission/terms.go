// Package rlbadmission decides whether a request for a model is sent to an engine whose slots are
// taken, and behind which others it waits there. It does no I/O.
package rlbadmission

import "time"

// Limits of the expected wait for the first event.
const (
	inTimePercent  = 90 // of the target, for a request that is to meet it
	lateTargets    = 2  // targets that a late request waits at most: callers who see nothing for longer leave
	lateTimeShare  = 4  // a late request waits at most this part of the time that its caller has left
	lateRankOffset = 5  // ranks by which a late request is less urgent at an engine
)

// Class is how a request is sent to an engine.
type Class int

// Classes of requests.
const (
	Refused Class = iota // not sent
	InTime               // expected to meet its target
	Late                 // misses its target, and waits behind all requests that may still meet theirs
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	switch c {
	case InTime:
		return "in time"
	case Late:
		return "late"
	default:
		return "refused"
	}
}

// Terms are the limits of a request that decide its class.
type Terms struct {
	targetAt time.Time // when the first event is due, for a request that is sent now
	waitTo   time.Time // until when a late request may wait; zero: it is refused instead
	now      time.Time
}

// NewTerms returns the terms of a request at the time now whose first event is due by targetAt.
// mayBeLate is whether it may wait if it misses its target.
func NewTerms(now, targetAt, deadline time.Time, mayBeLate bool) Terms {
	t := Terms{now: now, targetAt: targetAt}
	if mayBeLate {
		t.waitTo = now.Add(min(lateTargets*targetAt.Sub(now), deadline.Sub(now)/lateTimeShare))
	}
	return t
}

// InTime reports whether a request meets its target with an expected wait.
func (t Terms) InTime(wait time.Duration) bool { return wait <= t.maxWait() }

// maxWait returns the longest expected wait of a request that is in time.
func (t Terms) maxWait() time.Duration { return t.targetAt.Sub(t.now) * inTimePercent / 100 }

// MayBeLate reports whether a request may wait at all if it misses its target.
func (t Terms) MayBeLate() bool { return !t.waitTo.IsZero() }

// MayWait reports whether a request may wait as a late one, for the wait that is expected of those.
func (t Terms) MayWait(wait time.Duration) bool { return !t.now.Add(wait).After(t.waitTo) }

// Excess returns by how much an expected wait is too long to be in time.
func (t Terms) Excess(wait time.Duration) time.Duration { return max(wait-t.maxWait(), 0) }

// EngineRank returns the rank of a request at an engine, where 0 is the most urgent. Late requests
// are ranked among each other as the others are.
func (c Class) EngineRank(rank int) int {
	if c == Late {
		return rank + lateRankOffset
	}
	return rank
}

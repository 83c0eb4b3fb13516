package rlbbalancer

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Limits of a hold-off.
const (
	// maxHoldOff bounds how long an endpoint can keep an instance away: a longer time is
	// taken for a mistake, after which the models of the endpoint would be unreachable.
	maxHoldOff = 5 * time.Minute
	// trialPeriod is the time after a hold-off in which the instance sends the endpoint a
	// further request only once it has begun to answer the one before.
	trialPeriod = time.Second
)

// holdOff is a period in which an endpoint wants no requests from this instance, because
// it said so when it refused one.
type holdOff struct {
	until time.Time // zero: it never said so
}

// active reports whether the endpoint may get no request, given how many requests of
// this instance it has not begun to answer.
func (h holdOff) active(now time.Time, unanswered int) bool {
	if now.Before(h.until) {
		return true
	}
	return unanswered > 0 && now.Before(h.until.Add(trialPeriod))
}

// RecordHoldOff records that an endpoint wants no requests from this instance for a
// while, of whatever model, at most for maxHoldOff. A later statement replaces an earlier
// one only if it ends later. It reports whether the endpoint was not held off before.
func (b *Balancer) RecordHoldOff(now time.Time, e *rlbdeployment.Endpoint, wait time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	before := now.Before(s.holdOff.until)
	if until := now.Add(min(wait, maxHoldOff)); until.After(s.holdOff.until) {
		s.holdOff.until = until
	}
	return !before
}

// HeldOff reports whether an endpoint may get no request of this instance now.
func (b *Balancer) HeldOff(now time.Time, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats[endpoint]
	return s != nil && s.holdOff.active(now, s.unanswered)
}

// HeldOffEndpoints returns the IDs of the endpoints that may get no request of this
// instance now.
func (b *Balancer) HeldOffEndpoints(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.stats {
		if s.holdOff.active(now, s.unanswered) {
			ids = append(ids, id)
		}
	}
	return ids
}

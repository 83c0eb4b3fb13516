package rlbbalancer

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Use of endpoints that crash if they have to refuse too many requests.
const (
	fullRetry     = 300 * time.Millisecond // until an endpoint that is nearly full may have room
	refusalWindow = time.Second            // in which an endpoint counts what it refuses
	// roomNumerator / roomDenominator of the slots of an endpoint may be in use until it can be
	// short of room, as far as the load is known.
	roomNumerator   = 3
	roomDenominator = 4
)

// refusalLimit is how many requests an endpoint can refuse within refusalWindow: it crashes if it
// has to refuse more. The limit is for all instances together.
type refusalLimit struct {
	stated   bool
	requests float64
	refusals []time.Time // of requests of this instance, within the period of one
}

// share returns how many refusals an instance may cause, and within which time: the window, or a
// longer time if its share of the limit is less than one.
func (l *refusalLimit) share(instances int) (refusals float64, period time.Duration) {
	share := l.requests / float64(max(instances, 1))
	if share >= 1 {
		return share, refusalWindow
	}
	return 1, time.Duration(min(refusalWindow.Seconds()/share, maxHoldOff.Seconds()) * float64(time.Second))
}

// usage is what is known of the use of an endpoint whose limit is to be kept.
type usage struct {
	engine     bool
	slots      int
	inFlight   int // requests of all instances
	own        int // of this instance
	unanswered int // of this instance, whose answers have not begun: the endpoint may still refuse them
	instances  int
}

// nearlyFull reports whether the endpoint may be short of room. That of a plain service may be while
// this instance uses its part of it: what others send there changes sooner than it is known.
func (u usage) nearlyFull() bool {
	if !u.engine && (u.own+1)*u.instances > max(u.slots, u.instances) {
		return true
	}
	return u.inFlight*roomDenominator >= u.slots*roomNumerator
}

// rulesOut reports whether an endpoint that states a limit may get no further request: it could
// have to refuse it, and with it more than the share of this instance. Until is when that may be
// over.
func (l *refusalLimit) rulesOut(now time.Time, u usage) (until time.Time, ruledOut bool) {
	share, period := l.share(u.instances)
	l.refusals = slices.DeleteFunc(l.refusals, func(at time.Time) bool { return now.Sub(at) >= period })
	if len(l.refusals) > 0 {
		return l.refusals[0].Add(period), float64(len(l.refusals)+u.unanswered+1) > share
	}
	if !u.nearlyFull() {
		return time.Time{}, false
	}
	// With less than one refusal for each instance, all of them together could cause too many.
	return now.Add(fullRetry), period > refusalWindow || float64(u.unanswered+1) > share
}

// RecordFull records that an endpoint refused a request for want of room.
func (b *Balancer) RecordFull(now time.Time, e *rlbdeployment.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := &b.statsOf(e).refusalLimit; l.stated {
		l.refusals = append(l.refusals, now)
	}
}

// RecordRefusalLimit records how many requests an endpoint can refuse within a second without a
// crash, or that it states no limit. It reports whether that has changed.
func (b *Balancer) RecordRefusalLimit(e *rlbdeployment.Endpoint, requests float64, stated bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.statsOf(e).refusalLimit
	changed = l.stated != stated || l.requests != requests
	l.stated, l.requests = stated, requests
	return changed
}

package rlbsoak

import (
	"sync"
	"time"
)

// span is a stretch of time; a zero end: it goes on.
type span struct{ from, to time.Time }

// overlaps reports whether the span has a part between two moments.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// spans are the disturbances of one thing.
type spans []span

func (s spans) overlap(from, to time.Time) bool {
	for _, one := range s {
		if one.overlaps(from, to) {
			return true
		}
	}
	return false
}

// disturbances are when something was harmed, not as planned.
type disturbances struct {
	lock      sync.Mutex
	disturbed spans
}

// disturb notes a disturbance.
func (d *disturbances) disturb(from, to time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.disturbed = append(d.disturbed, span{from, to})
}

// undisturbed reports whether nothing was harmed between two moments and for contact
// before.
func (d *disturbances) undisturbed(from, to time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.disturbed.overlap(from.Add(-quietPeriod), to)
}

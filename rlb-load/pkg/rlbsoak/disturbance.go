package rlbsoak

import (
	"sync"
	"time"
)

// span is a period of time; with a zero end it has not ended.
type span struct{ from, to time.Time }

// overlaps reports whether the span overlaps the period between two moments.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// spans is a list of periods.
type spans []span

func (s spans) overlap(from, to time.Time) bool {
	for _, span := range s {
		if span.overlaps(from, to) {
			return true
		}
	}
	return false
}

// disturbances records when faults affected an instance, an endpoint or the object
// store. Planned shutdowns and drains don't count.
type disturbances struct {
	lock      sync.Mutex
	disturbed spans
}

// disturb records a disturbance.
func (d *disturbances) disturb(from, to time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.disturbed = append(d.disturbed, span{from, to})
}

// undisturbed reports whether there was no disturbance between two moments nor in
// the quietPeriod before them.
func (d *disturbances) undisturbed(from, to time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.disturbed.overlap(from.Add(-quietPeriod), to)
}

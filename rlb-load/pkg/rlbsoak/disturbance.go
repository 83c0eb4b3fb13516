package rlbsoak

import (
	"sync"
	"time"
)

// span is a stretch of time; a zero end: it goes on.
type span struct{ from, to time.Time }

// touches reports whether the span has a part between two moments.
func (s span) touches(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// spans are the disturbances of one thing.
type spans []span

func (s spans) touch(from, to time.Time) bool {
	for _, one := range s {
		if one.touches(from, to) {
			return true
		}
	}
	return false
}

// disturbances are when something was harmed, not as planned.
type disturbances struct {
	lock sync.Mutex
	hurt spans
}

// hurts notes a disturbance.
func (d *disturbances) hurts(from, to time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.hurt = append(d.hurt, span{from, to})
}

// calm reports whether nothing was harmed between two moments and for contact
// before.
func (d *disturbances) calm(from, to time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.hurt.touch(from.Add(-contact), to)
}

package rlbscheduler

import (
	"sync"
	"time"
)

// Terms of an outage of the object API.
const (
	outageNoticePeriod = 3 * time.Second  // for all domains to notice that it does not answer
	maxOutage          = 30 * time.Second // after which orders end all the same
)

// outage lets the last holder of the lease go on while nobody can take the lease
// over, because the object API answers no instance that is heard of. It is for
// endpoints that refuse old fences: should somebody unheard of hold the lease
// after all, each endpoint takes orders of one of them only, and the sequence that
// orders state keeps its memory.
type outage struct {
	mu       sync.Mutex
	fence    uint64    // under which the lease was held; 0: none, or it has ended
	lastHeld time.Time // when the lease lapsed
	active   bool
}

// update notes whether the lease is held, and whether the object API is away for
// all. It is called each tick.
func (o *outage) update(now time.Time, fence uint64, held, unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case held:
		o.fence, o.lastHeld, o.active = fence, now, false
	case o.fence == 0:
	case unavailable && now.Sub(o.lastHeld) < maxOutage:
		o.active = true
	case o.active || now.Sub(o.lastHeld) > outageNoticePeriod:
		o.fence, o.active = 0, false // the object API answers somebody: the lease decides
	}
}

// end ends it: a higher fence was seen.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fence, o.active = 0, false
}

// orderFence returns the fence under which orders go on.
func (o *outage) orderFence() (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence, o.active
}

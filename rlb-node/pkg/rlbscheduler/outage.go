package rlbscheduler

import (
	"sync"
	"time"
)

// Limits of an outage of the object API.
const (
	outageNoticePeriod = 3 * time.Second  // time for all failure domains to detect the outage
	maxOutage          = 30 * time.Second // orders stop this long after the lease lapsed, even if the outage lasts
)

// outage lets the last lease holder continue to send orders while the object API
// answers none of the known instances, so that none of them can take over the lease.
// It requires endpoints that refuse lower fencing numbers: if an instance that is not known
// here holds the lease after all, each endpoint accepts orders from only one of the
// two, and the sequence number in each order prevents overcommitted memory.
type outage struct {
	mu       sync.Mutex
	fence    uint64    // fencing number of the last lease; 0 if there is none or orders have ended
	lastHeld time.Time // when the lease was last seen held
	active   bool      // whether orders continue without the lease
}

// update records whether the lease is held and whether the object API is unavailable
// to all known instances. It is called at each tick.
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
		o.fence, o.active = 0, false // the outage is over, lasts too long or was detected too late: orders need the lease
	}
}

// end stops orders without the lease after an endpoint has received a higher
// fencing number.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fence, o.active = 0, false
}

// orderFence returns the fencing number for orders without the lease.
func (o *outage) orderFence() (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence, o.active
}

package rlbscheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// doubts holds the orders that have no answer and may still take effect. An order names its
// endpoint by the ID only, so that a late one may reach a later incarnation than it was sent
// to: it fits there only by chance. The expected sequence of an order protects the
// incarnation that it was sent to.
//
// Doubts outlive the states of endpoints, which end with the endpoints' entries and with the
// lease. doubts is safe for concurrent use.
type doubts struct {
	mu         sync.Mutex
	byEndpoint map[string][]*doubt // by ID
}

// doubt is an order that may still take effect.
type doubt struct {
	incarnation *rlbdeployment.Endpoint // that the order was sent to
	until       time.Time
}

func newDoubts() *doubts { return &doubts{byEndpoint: map[string][]*doubt{}} }

// open notes an order that is about to be sent at a time. The returned function ends the
// doubt: the order was answered.
func (d *doubts) open(to *rlbdeployment.Endpoint, now time.Time) (settle func()) {
	opened := &doubt{to, now.Add(orderTimeout + inDoubtPeriod)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.byEndpoint[to.ID] = append(d.byEndpoint[to.ID], opened)
	return func() { d.remove(to.ID, func(each *doubt) bool { return each == opened }) }
}

// openUnknown notes that an unknown sender may have sent orders to an incarnation that take
// effect until a time.
func (d *doubts) openUnknown(to *rlbdeployment.Endpoint, now, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.byEndpoint[to.ID] = append(d.byEndpoint[to.ID], &doubt{to, until})
}

// blocks reports whether an order to an earlier incarnation of an endpoint may still arrive.
func (d *doubts) blocks(e *rlbdeployment.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.byEndpoint[e.ID], func(each *doubt) bool {
		return now.Before(each.until) && !each.incarnation.SameIncarnation(e)
	})
}

// expire forgets the orders that can no longer take effect. d.mu is held.
func (d *doubts) expire(now time.Time) {
	for id := range d.byEndpoint {
		d.removeLocked(id, func(each *doubt) bool { return !now.Before(each.until) })
	}
}

func (d *doubts) remove(id string, ended func(*doubt) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(id, ended)
}

// removeLocked removes the doubts about an endpoint that have ended. d.mu is held.
func (d *doubts) removeLocked(id string, ended func(*doubt) bool) {
	left := slices.DeleteFunc(d.byEndpoint[id], ended)
	if len(left) == 0 {
		delete(d.byEndpoint, id)
		return
	}
	d.byEndpoint[id] = left
}

package rlbscheduler

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// restarts notes which endpoints restart while another instance may send orders. A lease holder
// does not know the orders in doubt of the one before. Where endpoints check fencing numbers, they
// refuse these once they have got an order of the next holder; restarts is for the others. Each
// instance keeps it, as it may become the lease holder. It is used by one goroutine.
type restarts struct {
	seen      map[string]seenIncarnation // by endpoint ID
	notHeldAt time.Time                  // when this instance did not hold the lease last
}

// seenIncarnation is the latest incarnation of an endpoint.
type seenIncarnation struct {
	entry  *rlbdeployment.Endpoint
	seenAt time.Time
}

// update notes the incarnations in a snapshot, and opens doubts about those before them.
// Another holder's orders have ended takeoverDelay after this instance holds the lease.
func (r *restarts) update(snapshot *rlbdiscovery.Snapshot, now time.Time, held bool, takeoverDelay time.Duration, open *doubts) {
	if !held {
		r.notHeldAt = now
	}
	until := r.notHeldAt.Add(takeoverDelay + orderTimeout + inDoubtPeriod)
	for id, e := range snapshot.ByID {
		if before, known := r.seen[id]; known && !before.entry.SameIncarnation(e) && now.Before(until) {
			open.openUnknown(before.entry, now, until)
		}
		r.seen[id] = seenIncarnation{e, now}
	}
	for id, s := range r.seen {
		if now.Sub(s.seenAt) > takeoverDelay+inDoubtPeriod {
			delete(r.seen, id) // an order to it can no longer take effect
		}
	}
}

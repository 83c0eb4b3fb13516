package rlbscheduler

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Periods.
const (
	tick          = 150 * time.Millisecond
	contenders    = 2 // failure domains whose first instances read the lease while its holder is heard of
	cacheFor      = 2 * time.Second
	adapterWait   = 400 * time.Millisecond
	keepFor       = 3 * time.Second // an adapter that was asked for stays at least that long
	inUseFor      = 7 * time.Second // a request may use it
	fencedBackoff = 3 * time.Second
)

// Opts are what a duty is made of.
type Opts struct {
	Log         log.Interface
	Name        string // of this instance
	Domain      string
	Incarnation string // of this process, unique
	API         rlbobject.API
	Engines     rlbdeployment.EngineControl
	View        *rlbdiscovery.View
	Fleet       *rlbpeer.Fleet
	Query       func(ctx context.Context, address string, q rlbpeer.Query) (rlbpeer.Reply, error)
	Demand      func() map[string]float32              // of this instance's callers
	Load        func(endpoint string) rlbbalancer.Load // of all instances
	// Cost returns what speaks against an engine for a request of a domain.
	Cost       func(e *rlbdeployment.Endpoint, domain string) time.Duration
	LeaseTTL   time.Duration
	LoadWindow time.Duration
	// APIUnavailable reports whether the object API answers no instance that is known.
	APIUnavailable func() bool
	// TakeoverDelay is how long a new holder of the lease gives no orders: where
	// endpoints do not check fences, those of the earlier one must have ended.
	TakeoverDelay time.Duration
	Now           func() time.Time
}

// Scheduler is an instance's part in the placement.
type Scheduler struct {
	Opts
	log     log.Interface
	name    string
	now     func() time.Time
	engines rlbdeployment.EngineControl
	keeper  *keeper
	rate    *loadRate
	outage  outage

	described map[string]rlbplacement.Engine // endpoints as planned with last; of the planning goroutine only

	// mu is taken after a desk's mutex by nobody: an order under way must not hold
	// up those who look for an adapter.
	mu    sync.Mutex
	desks map[string]*desk
	turns map[string]chan struct{} // by adapter
	cache map[string]found

	leaving  atomic.Bool
	heldFrom atomic.Int64 // unix nanoseconds since when the lease is held; 0: it is not
	backOff  atomic.Int64 // unix nanoseconds until which the lease is not wanted
}

type found struct {
	endpoints []string
	until     time.Time
}

// New returns a duty.
func New(opts Opts) *Scheduler {
	return &Scheduler{
		Opts: opts, log: opts.Log, name: opts.Name, now: opts.Now, engines: opts.Engines,
		keeper:    newKeeper(opts.Log, opts.API, opts.Incarnation, opts.LeaseTTL, opts.Now),
		rate:      newLoadRate(opts.LoadWindow),
		described: map[string]rlbplacement.Engine{}, desks: map[string]*desk{}, turns: map[string]chan struct{}{}, cache: map[string]found{},
	}
}

// Run does the duty until ctx ends.
func (d *Scheduler) Run(ctx context.Context) {
	go d.keep(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.follow() && !d.settling() {
			d.plan(ctx)
		}
	}
}

func (d *Scheduler) keep(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	heard := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, hears := d.Fleet.LeaseHolder(d.now())
		if heard && !hears {
			d.keeper.hurry()
		}
		heard = hears
		d.keeper.step(ctx, d.contends())
		d.followOutage()
	}
}

// StepDown gives the lease up: the instance is shutting down.
func (d *Scheduler) StepDown() { d.leaving.Store(true) }

// stopped reports whether this instance gives no orders any more because it shuts
// down. While nobody can take the lease over it goes on.
func (d *Scheduler) stopped() bool {
	_, alone := d.outage.held()
	return d.leaving.Load() && !alone
}

// Fence returns the fence under which orders may be given, or 0.
func (d *Scheduler) Fence() uint64 {
	fence, held := d.held()
	if !held || d.stopped() {
		return 0
	}
	return fence
}

// held returns the fence if orders may be given now: under the lease, or on while
// nobody can take it over.
func (d *Scheduler) held() (uint64, bool) {
	if fence, held := d.keeper.held(); held {
		return fence, true
	}
	return d.outage.held()
}

// followOutage notes whether orders may go on without the lease.
func (d *Scheduler) followOutage() {
	now := d.now()
	fence, held := d.keeper.held()
	away := d.TakeoverDelay == 0 && d.APIUnavailable()
	if holder, heard := d.Fleet.LeaseHolder(now); heard && holder.Fence > fence && holder.Name != d.name {
		away = false
	}
	_, before := d.outage.held()
	d.outage.follow(now, fence, held, away)
	fence, on := d.outage.held()
	switch {
	case on && !before:
		d.log.WithField("fence", fence).Warn("object API answers nobody; orders go on without the lease")
	case before && !on:
		d.log.WithField("held", held).Info("object API answers again; the lease decides about orders")
	}
}

// RecentLoads returns when the loads from the weight store that this holder ordered in
// the latest window began.
func (d *Scheduler) RecentLoads() []time.Time {
	if d.Fence() == 0 {
		return nil
	}
	return d.rate.recent(d.now())
}

// fenced steps back after an endpoint has seen a higher fence.
func (d *Scheduler) fenced(fence uint64) {
	d.log.WithField("fence", fence).Warn("an endpoint has seen a higher fence; the lease is given up")
	d.outage.end()
	d.backOff.Store(d.now().Add(fencedBackoff).UnixNano())
}

// contends reports whether this instance wants the lease: it has it, or it is the
// first of its failure domain, and no holder is heard of or the domain is among
// the first ones.
func (d *Scheduler) contends() bool {
	now := d.now()
	if d.leaving.Load() || d.View.Snapshot().Config == nil || now.UnixNano() < d.backOff.Load() {
		return false
	}
	if _, held := d.held(); held {
		return true
	}
	if !d.Fleet.IsDelegate(now, func(peer rlbpeer.Digest) bool { return !peer.Leaving && !peer.APIUnavailable }) {
		return false
	}
	if _, heard := d.Fleet.LeaseHolder(now); !heard {
		return true
	}
	before := 0
	for _, other := range d.Fleet.LiveSummaries(now) {
		if other.Domain < d.Domain {
			before++
		}
	}
	return before < contenders
}

// follow brings the desks in line with the entries; it reports whether the
// lease is held.
func (d *Scheduler) follow() bool {
	held := d.Fence() > 0
	snapshot := d.View.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		d.heldFrom.Store(0)
		return false
	}
	if d.heldFrom.Load() == 0 {
		d.heldFrom.Store(d.now().UnixNano())
		clear(d.desks) // others gave orders in the meantime
		heard, begun := d.Fleet.HolderLoads(d.now())
		d.rate.takeOver(d.now(), heard, begun)
	}
	for id, e := range snapshot.ByID {
		if d.engineOf(snapshot, e) == nil {
			continue
		}
		at := d.desks[id]
		switch {
		case at == nil:
			d.desks[id] = newDesk(e)
		case !at.sameLife(e):
			d.desks[id] = at.reborn(e)
		}
	}
	for id := range d.desks {
		if snapshot.ByID[id] == nil {
			delete(d.desks, id)
			delete(d.described, id)
		}
	}
	return true
}

func (d *Scheduler) engineOf(snapshot *rlbdiscovery.Snapshot, e *rlbdeployment.Endpoint) *rlbdeployment.Engine {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Services[e.Service].Engine
}

// all returns the desks of a service in a fixed order, each with its newest
// entry.
func (d *Scheduler) all(snapshot *rlbdiscovery.Snapshot, service string) []*desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*desk
	for id, at := range d.desks {
		if e := snapshot.ByID[id]; e != nil && e.Service == service {
			all = append(all, at)
		}
	}
	slices.SortFunc(all, func(a, b *desk) int {
		if a.life.ID < b.life.ID {
			return -1
		}
		return 1
	})
	return all
}

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
	tickInterval        = 150 * time.Millisecond
	contendingDomains   = 2 // failure domains whose first instances read the lease while its holder is heard of
	adapterCacheTTL     = 2 * time.Second
	adapterQueryTimeout = 400 * time.Millisecond
	minAdapterResidency = 3 * time.Second // an adapter that was asked for stays at least that long
	adapterUseWindow    = 7 * time.Second // a request may use it
	fencedBackoff       = 3 * time.Second
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
	log          log.Interface
	name         string
	now          func() time.Time
	engines      rlbdeployment.EngineControl
	leaseManager *leaseManager
	loadLimiter  *loadLimiter
	outage       outage

	lastDescribed map[string]rlbplacement.Engine // endpoints as planned with last; of the planning goroutine only

	// mu is taken after a desk's mutex by nobody: an order under way must not hold
	// up those who look for an adapter.
	mu           sync.Mutex
	states       map[string]*endpointState
	adapterLocks map[string]chan struct{} // by adapter
	adapterCache map[string]cacheEntry

	leaving        atomic.Bool
	leaseHeldSince atomic.Int64 // unix nanoseconds since when the lease is held; 0: it is not
	backOffUntil   atomic.Int64 // unix nanoseconds until which the lease is not wanted
}

type cacheEntry struct {
	endpoints []string
	expires   time.Time
}

// New returns a duty.
func New(opts Opts) *Scheduler {
	return &Scheduler{
		Opts: opts, log: opts.Log, name: opts.Name, now: opts.Now, engines: opts.Engines,
		leaseManager:  newLeaseManager(opts.Log, opts.API, opts.Incarnation, opts.LeaseTTL, opts.Now),
		loadLimiter:   newLoadLimiter(opts.LoadWindow),
		lastDescribed: map[string]rlbplacement.Engine{}, states: map[string]*endpointState{}, adapterLocks: map[string]chan struct{}{}, adapterCache: map[string]cacheEntry{},
	}
}

// Run does the duty until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	go s.maintainLease(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.syncEndpoints() && !s.inTakeoverDelay() {
			s.plan(ctx)
		}
	}
}

func (s *Scheduler) maintainLease(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasKnown := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, known := s.Fleet.LeaseHolder(s.now())
		if wasKnown && !known {
			s.leaseManager.expedite()
		}
		wasKnown = known
		s.leaseManager.step(ctx, s.contendsForLease())
		s.updateOutage()
	}
}

// StepDown gives the lease up: the instance is shutting down.
func (s *Scheduler) StepDown() { s.leaving.Store(true) }

// ordersStopped reports whether this instance gives no orders any more because it shuts
// down. While nobody can take the lease over it goes on.
func (s *Scheduler) ordersStopped() bool {
	_, active := s.outage.orderFence()
	return s.leaving.Load() && !active
}

// Fence returns the fence under which orders may be given, or 0.
func (s *Scheduler) Fence() uint64 {
	fence, held := s.orderFence()
	if !held || s.ordersStopped() {
		return 0
	}
	return fence
}

// orderFence returns the fence if orders may be given now: under the lease, or on while
// nobody can take it over.
func (s *Scheduler) orderFence() (uint64, bool) {
	if fence, held := s.leaseManager.heldFence(); held {
		return fence, true
	}
	return s.outage.orderFence()
}

// updateOutage notes whether orders may go on without the lease.
func (s *Scheduler) updateOutage() {
	now := s.now()
	fence, held := s.leaseManager.heldFence()
	unavailable := s.TakeoverDelay == 0 && s.APIUnavailable()
	if holder, known := s.Fleet.LeaseHolder(now); known && holder.Fence > fence && holder.Name != s.name {
		unavailable = false
	}
	_, wasActive := s.outage.orderFence()
	s.outage.update(now, fence, held, unavailable)
	fence, active := s.outage.orderFence()
	switch {
	case active && !wasActive:
		s.log.WithField("fence", fence).Warn("object API answers nobody; orders go on without the lease")
	case wasActive && !active:
		s.log.WithField("held", held).Info("object API answers again; the lease decides about orders")
	}
}

// RecentLoads returns when the loads from the weight store that this holder ordered in
// the latest window began.
func (s *Scheduler) RecentLoads() []time.Time {
	if s.Fence() == 0 {
		return nil
	}
	return s.loadLimiter.recent(s.now())
}

// backOffFenced steps back after an endpoint has seen a higher fence.
func (s *Scheduler) backOffFenced(fence uint64) {
	s.log.WithField("fence", fence).Warn("an endpoint has seen a higher fence; the lease is given up")
	s.outage.end()
	s.backOffUntil.Store(s.now().Add(fencedBackoff).UnixNano())
}

// contendsForLease reports whether this instance wants the lease: it has it, or it is the
// first of its failure domain, and no holder is heard of or the domain is among
// the first ones.
func (s *Scheduler) contendsForLease() bool {
	now := s.now()
	if s.leaving.Load() || s.View.Snapshot().Config == nil || now.UnixNano() < s.backOffUntil.Load() {
		return false
	}
	if _, held := s.orderFence(); held {
		return true
	}
	if !s.Fleet.IsDelegate(now, func(peer rlbpeer.Digest) bool { return !peer.Leaving && !peer.APIUnavailable }) {
		return false
	}
	if _, known := s.Fleet.LeaseHolder(now); !known {
		return true
	}
	before := 0
	for _, other := range s.Fleet.LiveSummaries(now) {
		if other.Domain < s.Domain {
			before++
		}
	}
	return before < contendingDomains
}

// syncEndpoints brings the desks in line with the entries; it reports whether the
// lease is held.
func (s *Scheduler) syncEndpoints() bool {
	held := s.Fence() > 0
	snapshot := s.View.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		s.leaseHeldSince.Store(0)
		return false
	}
	if s.leaseHeldSince.Load() == 0 {
		s.leaseHeldSince.Store(s.now().UnixNano())
		clear(s.states) // others gave orders in the meantime
		lastSeen, starts := s.Fleet.HolderLoads(s.now())
		s.loadLimiter.takeOver(s.now(), lastSeen, starts)
	}
	for id, e := range snapshot.ByID {
		if s.engineOf(snapshot, e) == nil {
			continue
		}
		state := s.states[id]
		switch {
		case state == nil:
			s.states[id] = newEndpointState(e)
		case !state.sameIncarnation(e):
			s.states[id] = state.restarted(e)
		}
	}
	for id := range s.states {
		if snapshot.ByID[id] == nil {
			delete(s.states, id)
			delete(s.lastDescribed, id)
		}
	}
	return true
}

func (s *Scheduler) engineOf(snapshot *rlbdiscovery.Snapshot, e *rlbdeployment.Endpoint) *rlbdeployment.Engine {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Services[e.Service].Engine
}

// serviceStates returns the desks of a service in a fixed order, each with its newest
// entry.
func (s *Scheduler) serviceStates(snapshot *rlbdiscovery.Snapshot, service string) []*endpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*endpointState
	for id, state := range s.states {
		if e := snapshot.ByID[id]; e != nil && e.Service == service {
			all = append(all, state)
		}
	}
	slices.SortFunc(all, func(a, b *endpointState) int {
		if a.incarnation.ID < b.incarnation.ID {
			return -1
		}
		return 1
	})
	return all
}

// Package rlbscheduler decides which endpoint loads which model or adapter. One
// instance of the fleet holds the lease for orders; its scheduler plans the
// placement and sends the orders. The schedulers of all other instances query the
// lease holder.
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

// Timing of the scheduler.
const (
	tickInterval        = 150 * time.Millisecond
	contendingDomains   = 2 // failure domains whose delegates read the lease while its holder is live
	adapterCacheTTL     = 2 * time.Second
	adapterQueryTimeout = 400 * time.Millisecond
	minAdapterResidency = 3 * time.Second // a requested adapter is not evicted for this long
	adapterUseWindow    = 7 * time.Second // a request may still use an adapter requested this recently
	fencedBackoff       = 3 * time.Second
)

// RequestLimits are the limits of requests that endpoints state. Calls to their control
// interface count as well.
type RequestLimits interface {
	// Admit reports whether a request of a rank may be sent to the endpoint.
	Admit(endpoint string, rank int) bool
	// Charge counts a request that is sent without admission.
	Charge(endpoint string, rank int)
}

// Opts configures a Scheduler.
type Opts struct {
	Log         log.Interface
	Name        string // name of this instance
	Domain      string
	Incarnation string // unique identifier of this process
	API         rlbobject.API
	Engines     rlbdeployment.EngineControl
	View        *rlbdiscovery.View
	Fleet       *rlbpeer.Fleet
	Query       func(ctx context.Context, address string, q rlbpeer.Query) (rlbpeer.Reply, error)
	Demand      func() map[string]float32              // demand of this instance's callers by model
	Load        func(endpoint string) rlbbalancer.Load // load that all instances put on an endpoint
	// Cost returns the cost of sending a request of a failure domain to an endpoint.
	Cost   func(e *rlbdeployment.Endpoint, domain string) time.Duration
	Limits RequestLimits
	// HeldOff reports whether an endpoint wants no requests from this instance for a
	// while. It gets no orders and no queries for its report either.
	HeldOff func(endpoint string) bool
	// Silent reports whether several instances got no answers from an endpoint lately. It
	// gets no orders, and its models are not relied on.
	Silent     func(endpoint string) bool
	LeaseTTL   time.Duration
	LoadWindow time.Duration // window of the limit on loads from the weight store
	// Settled reports whether this instance knows which others there are, and may contend
	// for the lease.
	Settled func() bool
	// CutOff reports whether this instance reaches no endpoint while others do; nil: never.
	CutOff func() bool
	// APIAvailable reports whether the object API answers this instance, as far as it calls it
	// for other reasons.
	APIAvailable func() bool
	// APIUnavailable reports whether the object API answers none of the known
	// instances.
	APIUnavailable func() bool
	// TakeoverDelay is how long a new lease holder waits before it sends orders, so
	// that the orders of the previous holder have ended at endpoints that do not
	// check fencing numbers. It is 0 if all endpoints check them.
	TakeoverDelay time.Duration
	Now           func() time.Time
}

// Scheduler takes part in the placement on behalf of one instance.
type Scheduler struct {
	Opts
	log          log.Interface
	name         string
	now          func() time.Time
	engines      rlbdeployment.EngineControl
	leaseManager *leaseManager
	loadLimiter  *loadLimiter
	doubts       *doubts
	footprints   *footprints
	storedSizes  *footprintStore
	outage       outage
	restarts     restarts // used by the planning goroutine only

	lastDescribed map[string]rlbplacement.Engine // last plan input by endpoint; used by the planning goroutine only

	// mu may be acquired while holding the mutex of an endpointState, never the other way
	// round: that mutex is held while an order is in flight, and each request for a model,
	// which needs mu, must not wait for the answer.
	mu           sync.Mutex
	states       map[string]*endpointState
	adapterLocks map[string]chan struct{} // by SERVICE/MODEL/ADAPTER
	adapterCache map[string]cacheEntry
	changes      map[string]modelChanges // by endpoint, of those that differ from their entries
	// publishedChanges are the changes of all endpoints.
	publishedChanges rlbpeer.ModelChanges

	shuttingDown atomic.Bool
	holderSince  atomic.Int64 // when this instance became the lease holder, in Unix nanoseconds; 0 if it must not send orders
	backOffUntil atomic.Int64 // end of the back-off from the lease in Unix nanoseconds
}

type cacheEntry struct {
	endpoints []string
	expires   time.Time
}

// New returns a scheduler.
func New(opts Opts) *Scheduler {
	if opts.CutOff == nil {
		opts.CutOff = func() bool { return false }
	}
	s := &Scheduler{
		Opts: opts, log: opts.Log, name: opts.Name, now: opts.Now, engines: opts.Engines,
		leaseManager:  newLeaseManager(opts.Log, opts.API, opts.Incarnation, opts.LeaseTTL, opts.Now),
		loadLimiter:   newLoadLimiter(opts.LoadWindow),
		doubts:        newDoubts(),
		restarts:      restarts{seen: map[string]seenIncarnation{}},
		footprints:    newFootprints(),
		lastDescribed: map[string]rlbplacement.Engine{}, states: map[string]*endpointState{}, adapterLocks: map[string]chan struct{}{}, adapterCache: map[string]cacheEntry{}, changes: map[string]modelChanges{},
	}
	s.storedSizes = &footprintStore{scheduler: s}
	return s
}

// Run maintains the lease and, while it is held, plans and sends orders. It returns
// when ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	go s.maintainLease(ctx)
	go s.storedSizes.run(ctx)
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

// maintainLease performs the due step of the lease at each tick. When the known lease
// holder is no longer live, it makes the next step due at once, which shortens the
// takeover.
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
			s.leaseManager.stepNow()
		}
		wasKnown = known
		s.leaseManager.step(ctx, s.contendsForLease())
		s.updateOutage()
	}
}

// StepDown makes the instance give up the lease, because it is shutting down.
func (s *Scheduler) StepDown() { s.shuttingDown.Store(true) }

// ordersStopped reports whether this instance no longer sends orders because it is
// shutting down. It continues to send them during an outage of the object API, when
// no other instance can take over the lease.
func (s *Scheduler) ordersStopped() bool {
	_, active := s.outage.orderFence()
	return s.shuttingDown.Load() && !active
}

// Fence returns the fencing number for orders, or 0 if this instance must not send any.
func (s *Scheduler) Fence() uint64 {
	fence, held := s.orderFence()
	if !held || s.ordersStopped() {
		return 0
	}
	return fence
}

// orderFence returns the fencing number if orders may be sent now: either the lease is held,
// or an outage of the object API prevents any other instance from taking it over.
func (s *Scheduler) orderFence() (uint64, bool) {
	if fence, held := s.leaseManager.heldFence(); held {
		return fence, true
	}
	return s.outage.orderFence()
}

// updateOutage updates whether orders may continue without the lease.
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
		s.log.WithField("fence", fence).Warn("object API is unavailable to all known instances; orders continue without the lease")
	case wasActive && !active:
		s.log.WithField("held", held).Info("outage of the object API is over or lasts too long; orders require the lease again")
	}
}

// RecentLoads returns the start times of the loads from the weight store that this
// lease holder and its known predecessors ordered within the current window. It
// returns nil if this instance is not the lease holder.
func (s *Scheduler) RecentLoads() []time.Time {
	if s.Fence() == 0 {
		return nil
	}
	return s.loadLimiter.recent(s.now())
}

// backOffFenced gives up the lease for a while after an endpoint refused an order
// because it has received a higher fencing number.
func (s *Scheduler) backOffFenced(fence uint64) {
	s.log.WithField("fence", fence).Warn("endpoint has received a higher fencing number; giving up the lease")
	s.outage.end()
	s.backOffUntil.Store(s.now().Add(fencedBackoff).UnixNano())
}

// contendsForLease reports whether this instance should acquire or renew the lease.
// This applies to the current holder, and to one instance of a failure domain if no
// lease holder is live or the domain is among the first contendingDomains by name.
func (s *Scheduler) contendsForLease() bool {
	now := s.now()
	if s.shuttingDown.Load() || s.CutOff() || s.View.Snapshot().Config == nil || now.UnixNano() < s.backOffUntil.Load() {
		return false
	}
	if _, held := s.orderFence(); held {
		return true
	}
	if !s.Settled() || !s.contendsForDomain(now) {
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

// contendsForDomain reports whether this instance is the one of its failure domain that
// contends: the first one that the object API answers. If it answers none, it is the first one
// that it does not turn away, as far as is known: most instances do not call it.
func (s *Scheduler) contendsForDomain(now time.Time) bool {
	answered := func(peer rlbpeer.Digest) bool { return !peer.Draining && !peer.CutOff && peer.APIAvailable }
	switch {
	case s.APIAvailable():
		return s.Fleet.IsDelegate(now, answered)
	case slices.ContainsFunc(s.Fleet.LiveDigests(now), answered):
		return false
	default:
		return s.Fleet.IsDelegate(now, func(peer rlbpeer.Digest) bool { return !peer.Draining && !peer.CutOff && !peer.APIUnavailable })
	}
}

// syncEndpoints creates, replaces and removes endpoint states to match the
// endpoints' entries. It reports whether orders may be sent.
func (s *Scheduler) syncEndpoints() bool {
	fence := s.Fence()
	held := fence > 0
	snapshot := s.View.Snapshot()
	s.footprints.update(snapshot, s.now()) // by each instance, as it may become the lease holder
	if s.TakeoverDelay > 0 {
		s.restarts.update(snapshot, s.now(), held, s.TakeoverDelay, s.doubts)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		s.holderSince.Store(0)
		return false
	}
	if s.holderSince.Load() == 0 {
		s.holderSince.Store(s.now().UnixNano())
		clear(s.changes)
		s.publishChanges()
		clear(s.states) // another holder may have sent orders in the meantime
		lastSeen, starts := s.Fleet.HolderLoads(s.now())
		s.loadLimiter.takeOver(s.now(), fence, lastSeen, starts)
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
			s.replaceState(id, state, e)
		}
	}
	for id := range s.states {
		if snapshot.ByID[id] == nil {
			delete(s.states, id)
			delete(s.lastDescribed, id)
			delete(s.changes, id) // published until the next change, which harms nobody
		}
	}
	return true
}

// replaceState replaces the state of an endpoint that has restarted. While an order to the
// earlier incarnation is in flight it waits for the next tick: the sender publishes what the
// order changes by the state. s.mu is held.
func (s *Scheduler) replaceState(id string, state *endpointState, e *rlbdeployment.Endpoint) {
	if !state.mu.TryLock() {
		return
	}
	defer state.mu.Unlock()
	s.states[id] = newEndpointState(e)
}

func (s *Scheduler) engineOf(snapshot *rlbdiscovery.Snapshot, e *rlbdeployment.Endpoint) *rlbdeployment.Engine {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Services[e.Service].Engine
}

// serviceStates returns the states of the endpoints of a service, sorted by ID. It leaves out
// those of an earlier incarnation, which are about to be replaced.
func (s *Scheduler) serviceStates(snapshot *rlbdiscovery.Snapshot, service string) []*endpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*endpointState
	for id, state := range s.states {
		if e := snapshot.ByID[id]; e != nil && e.Service == service && state.sameIncarnation(e) {
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

package rlbscheduler

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Find returns the endpoints on which an adapter is loaded, best first. Unless it has
// a fresh cached answer, it queries the lease holder, which may load the adapter. If
// the lease holder names no endpoint, Find returns the last known ones, if any, and the
// reason.
func (s *Scheduler) Find(ctx context.Context, service, model, adapter string, avoid []string) ([]string, string) {
	q := rlbpeer.AdapterQuery{Service: service, Model: model, Adapter: adapter, Domain: s.Domain, Avoid: avoid}
	key := strings.Join([]string{service, model, adapter}, "/")
	known, fresh := s.cachedEndpoints(key, avoid)
	if fresh && len(known) > 0 {
		return known, ""
	}
	reply := s.queryLeaseHolder(ctx, q)
	if len(reply.Endpoints) == 0 {
		return s.lastKnownEndpoints(q, known), reply.Reason
	}
	s.mu.Lock()
	s.adapterCache[key] = cacheEntry{reply.Endpoints, s.now().Add(adapterCacheTTL)}
	s.mu.Unlock()
	return reply.Endpoints, reply.Reason
}

// lastKnownEndpoints returns known, the endpoints of the lease holder's latest reply,
// and those that hold the adapter according to their entries.
func (s *Scheduler) lastKnownEndpoints(q rlbpeer.AdapterQuery, known []string) []string {
	for _, e := range s.View.Snapshot().ByService[q.Service] {
		if e.HasAdapter(q.Model, q.Adapter) && !slices.Contains(q.Avoid, e.ID) && !slices.Contains(known, e.ID) {
			known = append(known, e.ID)
		}
	}
	return known
}

// queryLeaseHolder queries the lease holder, which may be this instance. The reasons
// that it sets itself are only logged here, not sent to other instances.
func (s *Scheduler) queryLeaseHolder(ctx context.Context, q rlbpeer.AdapterQuery) rlbpeer.Reply {
	ctx, cancel := context.WithTimeout(ctx, adapterQueryTimeout)
	defer cancel()
	if s.Fence() > 0 {
		return s.ServeAdapterQuery(ctx, q)
	}
	holder, known := s.Fleet.LeaseHolder(s.now())
	if !known {
		return rlbpeer.Reply{Reason: "no live instance is known to hold the lease for orders"}
	}
	reply, err := s.Query(ctx, holder.Address, rlbpeer.Query{Adapter: &q})
	if err != nil {
		return rlbpeer.Reply{Reason: "lease holder " + holder.Name + " did not reply: " + err.Error()}
	}
	return reply
}

// cachedEndpoints returns the cached endpoints of an adapter except those to avoid,
// and whether the cache entry is fresh.
func (s *Scheduler) cachedEndpoints(key string, avoid []string) (endpoints []string, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hit, known := s.adapterCache[key]
	if !known {
		return nil, false
	}
	endpoints = slices.DeleteFunc(slices.Clone(hit.endpoints), func(id string) bool { return slices.Contains(avoid, id) })
	return endpoints, !s.now().After(hit.expires)
}

// ServeAdapterQuery answers a query for an adapter as the lease holder. An adapter that
// no endpoint holds is loaded on the endpoint with the lowest cost that accepts the
// order.
func (s *Scheduler) ServeAdapterQuery(ctx context.Context, q rlbpeer.AdapterQuery) rlbpeer.Reply {
	lock := s.adapterLock(q.Service + "/" + q.Model + "/" + q.Adapter)
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return rlbpeer.Reply{Reason: "the adapter is being loaded for others"}
	}
	snapshot := s.View.Snapshot()
	if snapshot.Config == nil || snapshot.Config.Services[q.Service].Engine == nil {
		return rlbpeer.Reply{Reason: "the service has no engines"}
	}
	engine := snapshot.Config.Services[q.Service].Engine
	candidates := s.candidates(ctx, snapshot, q)
	if ids := s.loadedEndpoints(ctx, candidates, q); len(ids) > 0 {
		return rlbpeer.Reply{Endpoints: ids}
	}
	for _, c := range candidates {
		if s.loadAdapter(ctx, c.state, engine, q) {
			return rlbpeer.Reply{Endpoints: []string{c.state.incarnation.ID}}
		}
	}
	if ids := s.busyHolders(snapshot, q); len(ids) > 0 {
		return rlbpeer.Reply{Endpoints: ids}
	}
	return rlbpeer.Reply{Reason: "no endpoint with the model takes the adapter now"}
}

// adapterLock returns a channel that serves as a lock on an adapter. Unlike a mutex
// it can be waited for with a context.
func (s *Scheduler) adapterLock(key string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adapterLocks[key] == nil {
		s.adapterLocks[key] = make(chan struct{}, 1)
	}
	return s.adapterLocks[key]
}

// candidate is an endpoint that holds the model of an adapter.
type candidate struct {
	state   *endpointState
	cost    time.Duration
	readyAt time.Time // when the adapter can be used; zero if it is not loaded
}

// Additional costs of a candidate, as expected delay of the first token.
const (
	evictionCost      = 50 * time.Millisecond // another adapter must be unloaded first
	inUseEvictionCost = 2 * time.Second       // the adapter to unload may be in use
)

// Waits of a query for an adapter while orders to endpoints with the model are in flight.
const (
	inFlightPollInterval = 4 * time.Millisecond
	maxInFlightWait      = 24 * time.Millisecond // if other endpoints can serve the model
)

// candidates returns the endpoints that can serve the model, in order of cost. It waits for
// orders in flight to endpoints with the model, but no longer than maxInFlightWait if there
// are others: endpoints that do not answer must not delay the query.
func (s *Scheduler) candidates(ctx context.Context, snapshot *rlbdiscovery.Snapshot, q rlbpeer.AdapterQuery) []candidate {
	for waitUntil := s.now().Add(maxInFlightWait); ; {
		all, inFlight := s.candidatesNow(snapshot, q)
		if inFlight == 0 || len(all) > 0 && !s.now().Before(waitUntil) || !rlbcommon.Sleep(ctx, inFlightPollInterval) {
			return all
		}
	}
}

// candidatesNow returns the endpoints that can serve the model, in order of cost, and how
// many endpoints with the model have a call in flight and are left out. So are endpoints
// whose state is not known: the next plan reads their reports.
func (s *Scheduler) candidatesNow(snapshot *rlbdiscovery.Snapshot, q rlbpeer.AdapterQuery) (all []candidate, inFlight int) {
	engine := snapshot.Config.Services[q.Service].Engine
	for _, state := range s.serviceStates(snapshot, q.Service) {
		entry := snapshot.ByID[state.incarnation.ID]
		if entry == nil || entry.Draining || s.Silent(entry.ID) || slices.Contains(q.Avoid, entry.ID) {
			continue
		}
		if !state.mu.TryLock() {
			if entry.HasModel(q.Model) {
				inFlight++
			}
			continue
		}
		if c, usable := s.candidate(state, entry, engine, q); usable {
			all = append(all, c)
		}
		state.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return all, inFlight
}

// candidate returns an endpoint as a candidate and whether it can serve the model. The
// caller holds state.mu.
func (s *Scheduler) candidate(state *endpointState, entry *rlbdeployment.Endpoint, engine *rlbdeployment.Engine, q rlbpeer.AdapterQuery) (c candidate, usable bool) {
	if !state.known || !state.canServe(q.Model) || state.inProgress() {
		return candidate{}, false
	}
	c = candidate{state: state, cost: s.Cost(entry, q.Domain) + s.slotCost(state, engine)}
	if a := state.models[q.Model].adapters[q.Adapter]; a != nil {
		c.readyAt = later(a.readyAt, time.Unix(1, 0)) // not zero, also if the adapter is ready
	}
	return c, true
}

// busyHolders returns the endpoints that serve a loaded adapter while another model is loaded
// or unloaded there. They are no candidates: adapters should spread to endpoints that take orders.
func (s *Scheduler) busyHolders(snapshot *rlbdiscovery.Snapshot, q rlbpeer.AdapterQuery) (ids []string) {
	for _, state := range s.serviceStates(snapshot, q.Service) {
		entry := snapshot.ByID[state.incarnation.ID]
		if entry == nil || entry.Draining || s.Silent(entry.ID) || slices.Contains(q.Avoid, entry.ID) || !state.mu.TryLock() {
			continue
		}
		if state.known && state.inProgress() && state.holdsAdapter(q.Model, q.Adapter, s.now()) {
			ids = append(ids, entry.ID)
		}
		state.mu.Unlock()
	}
	return ids
}

// slotCost returns the cost of freeing an adapter slot, or 0 if one is free. It is
// highest if the adapter to unload may be in use: the endpoint would be busy until that
// use ends.
func (s *Scheduler) slotCost(state *endpointState, engine *rlbdeployment.Engine) time.Duration {
	now := s.now()
	if n, _ := state.countAdapters(now); n < engine.AdapterSlots {
		return 0
	}
	if _, _, lastUsed := state.lruAdapter(); now.Sub(lastUsed) < adapterUseWindow {
		return inUseEvictionCost
	}
	return evictionCost
}

// loadedEndpoints returns the candidates that hold the adapter, and marks it as used
// there. It waits until the adapter is ready on at least one of them.
func (s *Scheduler) loadedEndpoints(ctx context.Context, candidates []candidate, q rlbpeer.AdapterQuery) []string {
	var ids []string
	var readyAt time.Time
	for _, c := range candidates {
		if c.readyAt.IsZero() {
			continue
		}
		ids = append(ids, c.state.incarnation.ID)
		if readyAt.IsZero() || c.readyAt.Before(readyAt) {
			readyAt = c.readyAt
		}
		c.state.mu.Lock()
		if m := c.state.models[q.Model]; m != nil && m.adapters[q.Adapter] != nil {
			m.adapters[q.Adapter].lastUsed = s.now()
		}
		c.state.mu.Unlock()
	}
	if len(ids) > 0 {
		rlbcommon.Sleep(ctx, readyAt.Sub(s.now()))
	}
	return ids
}

// loadAdapter loads an adapter on an endpoint and waits until it is ready. If no slot
// is free it unloads the least recently used adapter first.
func (s *Scheduler) loadAdapter(ctx context.Context, state *endpointState, engine *rlbdeployment.Engine, q rlbpeer.AdapterQuery) bool {
	readyAt, ordered := s.orderAdapter(ctx, state, engine, q)
	if ordered {
		rlbcommon.Sleep(ctx, readyAt.Sub(s.now()))
	}
	return ordered
}

// orderAdapter sends the orders of loadAdapter. It returns the time at which the adapter
// should be ready, and whether the order to load it was accepted.
func (s *Scheduler) orderAdapter(ctx context.Context, state *endpointState, engine *rlbdeployment.Engine, q rlbpeer.AdapterQuery) (time.Time, bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	now := s.now()
	if !state.known || !state.canServe(q.Model) || state.inProgress() || !s.mayOrder(state, now) {
		return time.Time{}, false
	}
	total, fetching := state.countAdapters(now)
	if fetching >= maxAdapterFetches {
		return time.Time{}, false
	}
	on := s.sizesOn(state, engine)
	free, freeable := state.adapterMemory(on, q.Model)
	evict := total >= engine.AdapterSlots || !free
	if !freeable || evict && !state.canEvictAdapter(now) || !s.Limits.Admit(state.endpoint.ID, controlRank) {
		return time.Time{}, false
	}
	if evict {
		model, name, _ := state.lruAdapter()
		s.Limits.Charge(state.endpoint.ID, controlRank)
		o := rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: model, Adapter: name}
		if !s.sendOrder(ctx, state, engine, o, "makes room for "+q.Model+"/"+q.Adapter) {
			return time.Time{}, false
		}
		if free, _ = state.adapterMemory(on, q.Model); !free {
			return time.Time{}, false // the next query unloads another one
		}
	}
	o := rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: q.Model, Adapter: q.Adapter}
	if !s.sendOrder(ctx, state, engine, o, "requested by a caller") {
		return time.Time{}, false
	}
	return state.models[q.Model].adapters[q.Adapter].readyAt, true
}

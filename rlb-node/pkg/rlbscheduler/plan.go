package rlbscheduler

import (
	"context"
	"math"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Weights and limits of a plan.
const (
	moveWeight        = 0.2  // minimum gain of a move
	busyWeight        = 0.05 // cost that each request in flight on an endpoint adds to an unload there
	storeLoadWeight   = 1.0  // additional weight of a load from the weight store over one from a local copy
	replicas          = 2    // per model, where memory is free
	replicaTargetLoad = 12   // requests in flight that a replica handles well
	maxSearches       = 12   // searches for replicas to unload, per plan
	spareLoadLimit    = 1    // loads in progress at which no further spare replica is loaded: a load keeps its endpoint busy
	maxModelLoads     = 6    // concurrent loads of one model
	fullSpeedSeconds  = 7.0  // the weight store serves the loads started within this time at full speed
)

// plan computes the changes for each service with engines and sends their orders.
func (s *Scheduler) plan(ctx context.Context) {
	snapshot := s.View.Snapshot()
	if snapshot.Config == nil {
		return
	}
	demand := s.totalDemand()
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		states := s.serviceStates(snapshot, name)
		s.refreshStates(ctx, snapshot, states)
		s.orderDueUnloads(ctx, snapshot, service.Engine, states)
		input := s.planInput(snapshot, service.Engine, states, demand)
		for _, proposal := range rlbplacement.Plan(input, planOpts(service.Engine)) {
			s.executeProposal(ctx, states, service.Engine, proposal)
		}
	}
}

func planOpts(engine *rlbdeployment.Engine) rlbplacement.Opts {
	return rlbplacement.Opts{
		MoveWeight:  moveWeight,
		BusyWeight:  busyWeight,
		FarWeight:   storeLoadWeight,
		Slots:       min(replicaTargetLoad, float64(engine.Slots)),
		Replicas:    replicas,
		Growth:      maxModelLoads,
		Searches:    maxSearches,
		Spares:      spareLoadLimit,
		LoadsAtOnce: int(math.Ceil(engine.LoadsPerSecond * fullSpeedSeconds)),
	}
}

// totalDemand returns the demand of all instances' callers by model.
func (s *Scheduler) totalDemand() map[string]float64 {
	sum := s.Fleet.Demand(s.now())
	for model, n := range s.Demand() {
		sum[model] += float64(n)
	}
	return sum
}

// planInput returns the input of the placement. Endpoints whose state is not known
// are included with their last known state, and get no orders.
func (s *Scheduler) planInput(snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, states []*endpointState, demand map[string]float64) rlbplacement.Input {
	note := rlbnote.State{Models: map[string]rlbnote.Model{}}
	for name, m := range engine.Models {
		note.Models[name] = rlbnote.Model{Name: name, Memory: m.Memory}
	}
	input := rlbplacement.Input{Note: note, Demand: demand, Settled: true}
	for _, state := range states {
		if e, known := s.describeEndpoint(snapshot, engine, state); known {
			input.Engines = append(input.Engines, e)
		}
	}
	return input
}

// describeEndpoint returns the plan input of an endpoint. For an endpoint with a call in
// flight it returns the previous input or, if there is none, what its entry says, frozen so
// that it gets no order.
func (s *Scheduler) describeEndpoint(snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, state *endpointState) (rlbplacement.Engine, bool) {
	entry := snapshot.ByID[state.incarnation.ID]
	if entry == nil {
		return rlbplacement.Engine{}, false
	}
	if !state.mu.TryLock() {
		last, known := s.lastDescribed[state.incarnation.ID]
		if !known {
			last = s.describeState(engine, newEndpointState(entry), entry)
		}
		last.Frozen, last.Silent = true, s.Silent(state.incarnation.ID)
		return last, true
	}
	defer state.mu.Unlock()
	if state.known {
		s.recordChanges(state, entry)
	}
	e := s.describeState(engine, state, entry)
	s.lastDescribed[state.incarnation.ID] = e
	return e, true
}

// describeState returns the plan input of an endpoint's state. The caller holds state.mu.
func (s *Scheduler) describeState(engine *rlbdeployment.Engine, state *endpointState, entry *rlbdeployment.Endpoint) rlbplacement.Engine {
	if !state.known && len(state.models) == 0 {
		state.applyLoadedModels(entry)
	}
	on := s.sizesOn(state, engine)
	e := rlbplacement.Engine{
		Frozen: !state.known || !s.takesOrders(state),
		ID:     state.endpoint.ID, Domain: state.endpoint.Domain, Software: entry.SoftwareVersion, Memory: state.modelMemory(on), Reserved: state.usedMemory(on), Leaving: entry.Draining,
		Silent:   s.Silent(state.incarnation.ID),
		InFlight: s.Load(state.incarnation.ID).InFlight,
		Near:     slices.Concat(state.endpoint.InMemory, state.endpoint.OnDisk),
	}
	for name, m := range state.models {
		e.Residents = append(e.Residents, rlbengine.Resident{Name: name, Phase: phase(m), Memory: on.of(name).model})
	}
	slices.SortFunc(e.Residents, func(a, b rlbengine.Resident) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return e
}

// sizesOn returns the sizes of the models on an endpoint. The caller holds state.mu.
func (s *Scheduler) sizesOn(state *endpointState, engine *rlbdeployment.Engine) sizes {
	return s.footprints.on(state.endpoint, engine, s.now())
}

func phase(m *modelState) rlbengine.Phase {
	switch {
	case m.unloading, !m.unloadAt.IsZero():
		return rlbengine.PhaseUnloading
	case !m.readyAt.IsZero():
		return rlbengine.PhaseLoading
	default:
		return rlbengine.PhaseReady
	}
}

// executeProposal sends the order of a proposal in the background, or announces it if it
// is an unload. It does neither if the order would unload the last ready replica of a listed
// model, or if the endpoint's state or the load limit does not allow it. It orders no load
// before it knows what models took under earlier configs.
func (s *Scheduler) executeProposal(ctx context.Context, states []*endpointState, engine *rlbdeployment.Engine, p rlbplacement.Proposal) {
	i := slices.IndexFunc(states, func(state *endpointState) bool { return state.incarnation.ID == p.Endpoint })
	if i < 0 {
		return
	}
	if p.Action == rlbengine.ActionUnload && s.readyReplicas(states, p.Name) < 2 && s.listed(engine, p.Name) {
		return // keep the last replica
	}
	go func() {
		state := states[i]
		if !state.mu.TryLock() {
			return // an order is in flight; the next plan takes its outcome into account
		}
		defer state.mu.Unlock()
		if !state.known || !s.takesOrders(state) {
			return
		}
		if p.Action == rlbengine.ActionUnload {
			s.announceUnload(state, p.Name, p.Reason)
			return
		}
		if !s.storedSizes.loadedWith(s.Fence()) || !state.fits(s.sizesOn(state, engine), p.Name) || !state.endpoint.HasLocalCopy(p.Name) && !s.loadLimiter.allow(s.now(), engine.LoadsPerSecond) {
			return
		}
		s.Limits.Charge(state.endpoint.ID, controlRank)
		s.sendOrder(ctx, state, engine, rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: p.Name}, p.Reason)
	}()
}

// listed reports whether an engine's config lists a model.
func (s *Scheduler) listed(engine *rlbdeployment.Engine, name string) bool {
	_, listed := engine.Models[name]
	return listed
}

// readyReplicas returns the number of endpoints that can serve a model, answer requests
// and are not draining.
func (s *Scheduler) readyReplicas(states []*endpointState, name string) int {
	n := 0
	for _, state := range states {
		if !state.mu.TryLock() {
			continue // an order is in flight: does not count as ready
		}
		if state.known && state.canServe(name) && !state.endpoint.Draining && !s.Silent(state.incarnation.ID) {
			n++
		}
		state.mu.Unlock()
	}
	return n
}

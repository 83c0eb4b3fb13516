package rlbscheduler

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// unloadNotice is how long before its order an unload is announced to all instances. From
// the order on an endpoint refuses new requests for the model, and it waits for the running
// ones in any case: requests that end within the notice cost the unload no time.
const unloadNotice = 400 * time.Millisecond

// announceUnload makes the instances send no new requests for a model to an endpoint, and
// schedules the order to unload it. The caller holds state.mu.
func (s *Scheduler) announceUnload(state *endpointState, name, reason string) {
	if !state.canServe(name) {
		return
	}
	m := state.models[name]
	m.unloadAt, m.unloadFor = s.now().Add(unloadNotice), reason
	s.recordChanges(state, s.View.Snapshot().ByID[state.incarnation.ID])
}

// orderDueUnloads sends the orders of announced unloads that are due, in the background. An
// unload is called off if no other endpoint serves the model any more.
func (s *Scheduler) orderDueUnloads(ctx context.Context, snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, states []*endpointState) {
	for _, state := range states {
		name, due := s.dueUnload(state)
		if !due {
			continue
		}
		last := s.readyReplicas(states, name) == 0 && s.listed(engine, name)
		go s.orderUnload(ctx, snapshot, engine, state, name, last)
	}
}

// dueUnload returns the model of an endpoint whose announced unload is due.
func (s *Scheduler) dueUnload(state *endpointState) (name string, due bool) {
	if !state.mu.TryLock() {
		return "", false
	}
	defer state.mu.Unlock()
	now := s.now()
	for name, m := range state.models {
		if !m.unloadAt.IsZero() && !now.Before(m.unloadAt) && s.mayOrder(state, now) {
			return name, true
		}
	}
	return "", false
}

// orderUnload sends the order of an announced unload, or calls it off if the replica is the
// last one that serves the model.
func (s *Scheduler) orderUnload(ctx context.Context, snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, state *endpointState, name string, last bool) {
	if !state.mu.TryLock() {
		return // a call is in flight; the next plan tries again
	}
	defer state.mu.Unlock()
	m := state.models[name]
	if m == nil || m.unloadAt.IsZero() || !state.known || state.inProgress() {
		return
	}
	if last {
		m.unloadAt = time.Time{}
		s.recordChanges(state, snapshot.ByID[state.incarnation.ID])
		return
	}
	s.Limits.Charge(state.endpoint.ID, controlRank)
	s.sendOrder(ctx, state, engine, rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: name}, m.unloadFor)
}

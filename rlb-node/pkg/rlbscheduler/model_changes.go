package rlbscheduler

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// modelChanges are the models of one endpoint that differ from its entry, by their keys.
type modelChanges struct {
	unloaded []uint64 // in the entry, but being unloaded or gone
	loaded   []uint64 // served, but not in the entry yet
}

// changesOf compares the state of an endpoint with its entry. The caller holds state.mu and
// has made sure that the state is known.
func changesOf(state *endpointState, entry *rlbdeployment.Endpoint) modelChanges {
	var c modelChanges
	for _, h := range entry.LoadedModels {
		if !state.canServe(h.Model) {
			c.unloaded = append(c.unloaded, entry.ModelKey(h.Model))
		}
	}
	for name := range state.models {
		if state.canServe(name) && !entry.HasModel(name) {
			c.loaded = append(c.loaded, entry.ModelKey(name))
		}
	}
	slices.Sort(c.loaded) // so that equal changes compare as equal
	return c
}

// empty reports whether the endpoint serves what its entry says.
func (c modelChanges) empty() bool { return len(c.unloaded) == 0 && len(c.loaded) == 0 }

// recordChanges records how the state of an endpoint differs from its entry, for
// ModelChanges. An entry of a later incarnation has nothing to do with the state. The caller
// holds state.mu and has made sure that the state is known.
func (s *Scheduler) recordChanges(state *endpointState, entry *rlbdeployment.Endpoint) {
	if entry == nil || !state.sameIncarnation(entry) {
		return
	}
	endpoint, c := entry.ID, changesOf(state, entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.changes[endpoint]
	switch {
	case c.empty() && !known:
		return
	case c.empty():
		delete(s.changes, endpoint)
	case slices.Equal(c.unloaded, before.unloaded) && slices.Equal(c.loaded, before.loaded):
		return
	default:
		s.changes[endpoint] = c
	}
	s.publishChanges()
}

// publishChanges builds the changes of all endpoints. s.mu is held.
func (s *Scheduler) publishChanges() {
	var unloaded, loaded []uint64
	for _, c := range s.changes {
		unloaded = append(unloaded, c.unloaded...)
		loaded = append(loaded, c.loaded...)
	}
	s.publishedChanges = rlbpeer.NewModelChanges(unloaded, loaded)
}

// ModelChanges returns which models endpoints no longer serve, or serve already, although
// their entries say otherwise, as far as this lease holder knows.
func (s *Scheduler) ModelChanges() rlbpeer.ModelChanges {
	if s.Fence() == 0 {
		return rlbpeer.ModelChanges{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publishedChanges
}

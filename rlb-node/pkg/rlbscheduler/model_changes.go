package rlbscheduler

import (
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
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
	return c
}

// recordChanges records the changes of an endpoint, for ModelChanges.
func (s *Scheduler) recordChanges(endpoint string, c modelChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.unloaded) == 0 && len(c.loaded) == 0 {
		delete(s.changes, endpoint)
		return
	}
	s.changes[endpoint] = c
}

// ModelChanges returns the keys of the models that endpoints no longer serve, or serve
// already, although their entries say otherwise, as far as this lease holder knows.
func (s *Scheduler) ModelChanges() (unloaded, loaded []uint64) {
	if s.Fence() == 0 {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		unloaded = append(unloaded, c.unloaded...)
		loaded = append(loaded, c.loaded...)
	}
	return unloaded, loaded
}

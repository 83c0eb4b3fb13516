package rlbpeer

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// ModelChanges are the models that endpoints no longer serve, or serve already, according to
// the lease holder, while their entries say otherwise.
type ModelChanges struct {
	unloaded, loaded map[uint64]bool // see rlbdeployment.Endpoint.ModelKey
}

// NewModelChanges returns changes from the keys of models.
func NewModelChanges(unloaded, loaded []uint64) ModelChanges {
	return ModelChanges{keySet(unloaded), keySet(loaded)}
}

// Keys returns the keys of the models, for a message.
func (c ModelChanges) Keys() (unloaded, loaded []uint64) {
	return slices.Sorted(maps.Keys(c.unloaded)), slices.Sorted(maps.Keys(c.loaded))
}

func keySet(keys []uint64) map[uint64]bool {
	if len(keys) == 0 {
		return nil
	}
	set := make(map[uint64]bool, len(keys))
	for _, key := range keys {
		set[key] = true
	}
	return set
}

// Serves reports whether an endpoint serves a model: its entry lists the model, unless the
// lease holder knows better.
func (c ModelChanges) Serves(e *rlbdeployment.Endpoint, model string) bool {
	if e.HasModel(model) {
		return len(c.unloaded) == 0 || !c.unloaded[e.ModelKey(model)]
	}
	return len(c.loaded) > 0 && c.loaded[e.ModelKey(model)]
}

// ModelChanges returns the changes that the lease holder published, none if it is not live.
func (f *Fleet) ModelChanges(now time.Time) ModelChanges {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.leaseHolderSeen) > LivenessTimeout {
		return ModelChanges{}
	}
	return f.modelChanges
}

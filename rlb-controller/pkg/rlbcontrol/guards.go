package rlbcontrol

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
)

// guardsKey is the object in which all lease holders record the guards: the
// replicas that must not be unloaded, and those that are being unloaded.
var guardsKey = rlbobject.Key{Kind: "rlb-guard", Name: "models"}

// guardPollInterval is the interval at which a lease holder reads the guards
// while it makes no changes to them.
const guardPollInterval = 3 * time.Second

// guardState is this controller's copy of the guards.
type guardState struct {
	value  rlbplacement.Guards
	valid  bool // value was read or written by the latest update, and no write is in doubt
	busy   bool // an update is in progress
	readAt time.Time
}

// guardChange is a change that this controller requests of the guards. It is
// only made for engines whose order tracker this controller has and which have
// no unresolved order.
type guardChange struct {
	operation     guardOperation
	tracker       *engineTracker
	name, version string
}

type guardOperation int

const (
	guardProtect       guardOperation = iota // guard a replica
	guardRetire                              // record that a replica is going to be unloaded
	guardClearRetiring                       // remove the record of an unload
)

// mayUnload reports whether the guards allow the unload of a version in force.
// While an update is in progress or in doubt nothing is unloaded, as it may make
// that replica the guarded one.
func (g *guardState) mayUnload(c *Controller, p rlbplacement.Proposal) bool {
	if g.busy || !g.valid {
		return false
	}
	guard := g.value.Models[p.Name]
	if guard.Version != p.Version || !slices.Contains(guard.Retiring, p.Endpoint) {
		return false
	}
	guarded, known := c.fleet.Engines().Get(guard.Endpoint)
	return known && !guarded.Unreachable && guarded.Ready(p.Name, p.Version)
}

// runGuards starts an update of the guards with the changes that the plan and
// the state of this controller's engines require. Without changes it reads them
// again after guardPollInterval, or at once if they are not valid; c.mu is held.
func (c *Controller) runGuards(now time.Time) {
	if c.guards.busy {
		return
	}
	changes := c.protectChanges()
	changes = append(changes, c.retireChanges()...)
	if len(changes) == 0 && c.guards.valid && now.Before(c.guards.readAt.Add(guardPollInterval)) {
		return
	}
	c.guards.busy, c.guards.valid = true, false
	c.spawn(func() { c.updateGuards(changes) })
}

// protectChanges returns changes that guard another replica of each model whose
// guarded replica is missing, cannot take new requests, or is to be unloaded by the
// plan.
func (c *Controller) protectChanges() []guardChange {
	blocksPlan := map[string]bool{}
	for _, p := range c.plan {
		if p.Current && c.guards.value.Protects(p.Name, p.Version, p.Endpoint) {
			blocksPlan[p.Name] = true
		}
	}
	var changes []guardChange
	for name, m := range c.fleet.Note().Models {
		guard := c.guards.value.Models[name]
		guarded, known := c.fleet.Engines().Get(guard.Endpoint)
		instance, listed := c.fleet.Instances().Get(guard.Endpoint)
		valid := guard.Version == m.Version && known && guarded.Ready(name, m.Version) && listed && instance.Serves() && !guarded.Draining && !guarded.Unreachable
		if valid && !blocksPlan[name] {
			continue
		}
		if t := c.unguardedReplica(name, m.Version, guard); t != nil {
			changes = append(changes, guardChange{guardProtect, t, name, m.Version})
		}
	}
	return changes
}

// unguardedReplica returns the tracker of an engine of this controller that has a
// ready replica other than the guarded one, or nil.
func (c *Controller) unguardedReplica(name, version string, guard rlbplacement.Guard) *engineTracker {
	for id, t := range c.trackers {
		state, haveState := t.tracker.State()
		if id == guard.Endpoint && guard.Version == version || !haveState || !t.tracker.Idle() || !t.instance.Serves() {
			continue
		}
		engine, _ := c.fleet.Engines().Get(id)
		if engine.Ready(name, version) && !engine.Draining && state.Incarnation == engine.Incarnation {
			return t
		}
	}
	return nil
}

// retireChanges returns changes that record the unloads which the plan proposes,
// and remove the records of unloads that are done or no longer proposed.
func (c *Controller) retireChanges() []guardChange {
	proposed := map[[2]string]bool{}
	var changes []guardChange
	for _, p := range c.plan {
		t, tracked := c.trackers[p.Endpoint]
		if !p.Current || !tracked {
			continue
		}
		proposed[[2]string{p.Name, p.Endpoint}] = true
		guard := c.guards.value.Models[p.Name]
		if !slices.Contains(guard.Retiring, p.Endpoint) && guard.Endpoint != p.Endpoint && t.tracker.Idle() {
			changes = append(changes, guardChange{guardRetire, t, p.Name, p.Version})
		}
	}
	for name, guard := range c.guards.value.Models {
		for _, endpoint := range guard.Retiring {
			t, tracked := c.trackers[endpoint]
			if tracked && t.tracker.Idle() && !proposed[[2]string{name, endpoint}] {
				changes = append(changes, guardChange{guardClearRetiring, t, name, guard.Version})
			}
		}
	}
	return changes
}

// updateGuards reads the guards, applies the changes and writes them back. When
// the write does not take effect, a later plan retries on the value read then.
func (c *Controller) updateGuards(changes []guardChange) {
	ctx, cancel := context.WithTimeout(context.Background(), guardUpdateTimeout)
	defer cancel()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.guards.busy = false
	}()
	guards, version, err := c.readGuards(ctx)
	if err != nil {
		c.Log.WithError(err).Debug("failed to read the guards")
		return
	}
	next := guards
	for _, change := range changes {
		next = c.applyGuardChange(ctx, next, change)
	}
	value, err := json.Marshal(next)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode the guards; they are not updated")
		return
	}
	if before, _ := json.Marshal(guards); string(before) != string(value) { // cannot fail: guards was decoded from JSON
		if _, err := c.Objects.Put(ctx, guardsKey, value, version); err != nil {
			c.Log.WithError(err).Debug("failed to write the guards; a later plan retries")
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guards.value, c.guards.valid, c.guards.readAt = next, true, time.Now()
}

func (c *Controller) readGuards(ctx context.Context) (rlbplacement.Guards, rlbobject.Version, error) {
	var guards rlbplacement.Guards
	object, err := c.Objects.Get(ctx, guardsKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		return guards, 0, nil
	}
	if err != nil {
		return guards, 0, err
	}
	return guards, object.Version, json.Unmarshal(object.Value, &guards)
}

// applyGuardChange applies one change. Before it guards a replica or clears the
// record of an unload, it reads the engine's state: the change is skipped
// if the engine does not answer or has a new order, and a replica is only
// guarded if it is still ready.
func (c *Controller) applyGuardChange(ctx context.Context, g rlbplacement.Guards, change guardChange) rlbplacement.Guards {
	id := change.tracker.instance.ID
	if change.operation == guardRetire {
		next, _ := g.Retire(change.name, change.version, id) // unchanged if the replica has become the guarded one
		return next
	}
	state, err := c.Engine(change.tracker.instance.Control).State(ctx)
	if err != nil || state.ID != id || !c.stillIdle(change.tracker) {
		return g
	}
	if change.operation == guardClearRetiring {
		return g.ClearRetiring(change.name, change.version, id)
	}
	for _, r := range state.Residents {
		if r.Name == change.name && r.Version == change.version && r.Phase == rlbengine.PhaseReady {
			next, _ := g.Protect(change.name, change.version, id) // unchanged if the replica is being unloaded
			return next
		}
	}
	return g
}

// stillIdle reports whether t is still the tracker of its engine and has no
// unresolved order.
func (c *Controller) stillIdle(t *engineTracker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trackers[t.instance.ID] == t && t.tracker.Idle()
}

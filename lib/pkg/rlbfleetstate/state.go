package rlbfleetstate

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// State is one instance's knowledge of the fleet. It is not safe for
// concurrent use.
type State struct {
	note            rlbnote.State
	instances       rlbtable.Replica[string, Instance]
	engines         rlbtable.Replica[string, Engine]
	loads           rlbtable.Replica[string, Load]
	nodes           rlbtable.Replica[NodeKey, Node]
	strikes         rlbtable.Replica[CrashKey, Crash]
	origins         origins
	lastHeartbeats  map[NodeKey]time.Time // when a node's latest heartbeat came, on this instance's clock
	lastReports     map[string]time.Time  // when an engine's latest report came
	removedSince    map[string]time.Time  // when an instance was first known to be gone
	removedRevision rlbtable.Revision     // of instances, by forgetRemoved
}

// removedRetention is how long an instance that is gone is remembered.
const removedRetention = time.Hour

// origins says for each row where it is from.
type origins struct {
	instances, engines, loads originMap[string]
	nodes                     originMap[NodeKey]
}

type originMap[K comparable] map[K]Origin

// filter returns a function that tells whether a row is from one of the
// origins.
func (m originMap[K]) filter(scope []Origin) func(K) bool {
	return func(key K) bool { return slices.Contains(scope, m[key]) }
}

// New returns an empty world.
func New() *State {
	return &State{
		instances: rlbtable.NewReplica[string, Instance](),
		engines:   rlbtable.NewReplica[string, Engine](),
		loads:     rlbtable.NewReplica[string, Load](),
		nodes:     rlbtable.NewReplica[NodeKey, Node](),
		strikes:   rlbtable.NewReplica[CrashKey, Crash](),
		origins: origins{
			instances: originMap[string]{}, engines: originMap[string]{}, loads: originMap[string]{}, nodes: originMap[NodeKey]{},
		},
		lastHeartbeats: map[NodeKey]time.Time{},
		lastReports:    map[string]time.Time{},
		removedSince:   map[string]time.Time{},
	}
}

// Note returns the release state in force here.
func (w *State) Note() rlbnote.State { return w.note }

// Instances returns the table of the platform's list.
func (w *State) Instances() *rlbtable.Table[string, Instance] { return w.instances.Table }

// Engines returns the table of what engines hold.
func (w *State) Engines() *rlbtable.Table[string, Engine] { return w.engines.Table }

// Loads returns the table of how busy engines are.
func (w *State) Loads() *rlbtable.Table[string, Load] { return w.loads.Table }

// Nodes returns the table of the system's own processes.
func (w *State) Nodes() *rlbtable.Table[NodeKey, Node] { return w.nodes.Table }

// Crashes returns the table of strikes.
func (w *State) Crashes() *rlbtable.Table[CrashKey, Crash] { return w.strikes.Table }

// LastHeartbeat returns when the node's latest heartbeat came.
func (w *State) LastHeartbeat(key NodeKey) time.Time { return w.lastHeartbeats[key] }

// LastReport returns when the engine's latest report came.
func (w *State) LastReport(id string) time.Time { return w.lastReports[id] }

// MergeNote takes a release state if it is newer, and reports whether it did.
func (w *State) MergeNote(state rlbnote.State) bool {
	if !state.Newer(w.note) {
		return false
	}
	w.note = state
	return true
}

// MergeInstanceList takes a list read from the platform. Entries that are missing from
// it are marked as removed. A list older than what is known changes nothing.
func (w *State) MergeInstanceList(list rlbinstance.List) {
	present := map[string]bool{}
	for _, instance := range list.Instances {
		present[instance.ID] = true
		old, known := w.instances.Get(instance.ID)
		if known && old.Instance == instance && !old.Removed {
			continue
		}
		w.mergeListed(Instance{Instance: instance, Revision: list.Revision})
	}
	var missing []Instance
	w.instances.All(func(id string, row Instance) bool {
		if !present[id] && !row.Removed {
			missing = append(missing, row)
		}
		return true
	})
	for _, row := range missing {
		row.Removed, row.Revision = true, list.Revision
		w.mergeListed(row)
	}
}

// mergeListed takes a row of the list that this instance read itself.
func (w *State) mergeListed(row Instance) {
	if w.instances.Merge(row.ID, row) {
		w.origins.instances[row.ID] = OriginSelf
	}
}

// MergeEngineState takes an engine's report read at now.
func (w *State) MergeEngineState(state rlbengine.State, now time.Time) {
	w.lastReports[state.ID] = now
	w.origins.engines[state.ID], w.origins.loads[state.ID] = OriginSelf, OriginSelf
	w.engines.Merge(state.ID, Engine{
		ID:          state.ID,
		Incarnation: state.Incarnation,
		Sequence:    state.Sequence,
		Memory:      state.Memory,
		Residents:   state.Residents,
		Draining:    state.Draining,
	})
	w.SetUnreachable(state.ID, false)
	load := Load{
		ID: state.ID, Incarnation: state.Incarnation, Report: state.Report,
		Running: state.Load.Running, Waiting: state.Load.Waiting, Slots: state.Load.Slots, Adapters: state.Load.Adapters,
	}
	if old, known := w.loads.Get(state.ID); known && load.EqualExceptReport(old) {
		return // an unchanged load is not told again
	}
	w.loads.Merge(state.ID, load)
}

// SetUnreachable notes whether the collector of an engine hears from it. It reports
// whether that changed.
func (w *State) SetUnreachable(id string, lost bool) bool {
	row, known := w.engines.Get(id)
	if !known || row.Unreachable == lost {
		return false
	}
	row.Unreachable = lost
	row.ReachabilityChanges++
	w.origins.engines[id] = OriginSelf
	return w.engines.Merge(id, row)
}

// MergeNode takes a heartbeat that came at now.
func (w *State) MergeNode(node Node, origin Origin, now time.Time) {
	if w.nodes.Merge(node.NodeKey, node) {
		w.lastHeartbeats[node.NodeKey] = now
		w.origins.nodes[node.NodeKey] = origin
	}
}

// MergeCrash takes a strike, and reports whether it was new.
func (w *State) MergeCrash(strike Crash) bool {
	return w.strikes.Merge(strike.CrashKey, strike)
}

// Expire drops strikes past their deadline, nodes not heard of since the given
// time, and what is known of instances that are long gone.
func (w *State) Expire(now time.Time, silentSince time.Time) {
	w.dropRemoved(now)
	var lapsed []CrashKey
	w.strikes.All(func(key CrashKey, s Crash) bool {
		if s.Deadline <= now.Unix() {
			lapsed = append(lapsed, key)
		}
		return true
	})
	for _, key := range lapsed {
		w.strikes.Delete(key)
	}
	for key, at := range w.lastHeartbeats {
		if at.Before(silentSince) {
			w.nodes.Delete(key)
			delete(w.lastHeartbeats, key)
			delete(w.origins.nodes, key)
		}
	}
}

func (w *State) dropRemoved(now time.Time) {
	changes, _ := w.instances.Since(w.removedRevision)
	w.removedRevision = w.instances.Revision()
	for _, c := range changes {
		_, known := w.removedSince[c.Key]
		switch {
		case c.Deleted || !c.Row.Removed:
			delete(w.removedSince, c.Key)
		case !known:
			w.removedSince[c.Key] = now
		}
	}
	for id, since := range w.removedSince {
		if now.Sub(since) < removedRetention {
			continue
		}
		w.instances.Delete(id)
		w.engines.Delete(id)
		w.loads.Delete(id)
		delete(w.removedSince, id)
		delete(w.lastReports, id)
		delete(w.origins.instances, id)
		delete(w.origins.engines, id)
		delete(w.origins.loads, id)
	}
}

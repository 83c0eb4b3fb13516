package rlbfleetstate

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// State is the state of the fleet as seen by one instance. It is not safe for
// concurrent use.
type State struct {
	note            rlbnote.State
	instances       rlbtable.Replica[string, Instance]
	engines         rlbtable.Replica[string, Engine]
	loads           rlbtable.Replica[string, Load]
	processes       rlbtable.Replica[ProcessKey, Process]
	crashes         rlbtable.Replica[CrashKey, Crash]
	origins         origins
	lastHeartbeats  map[ProcessKey]time.Time // when the latest heartbeat of a process was received, on this instance's clock
	lastReports     map[string]time.Time     // when the latest report of an engine was read, or a newer load of it was received
	removedSince    map[string]time.Time     // when this instance first saw an instance as removed
	removedRevision rlbtable.Revision        // revision of instances up to which dropRemoved has read
}

// removedRetention is how long removed instances are kept.
const removedRetention = time.Hour

// origins holds the origin of each row, except for crash records, which are sent in
// every scope.
type origins struct {
	instances, engines, loads originMap[string]
	processes                 originMap[ProcessKey]
}

type originMap[K comparable] map[K]Origin

// filter returns a function that reports whether the row of a key has one of the
// origins.
func (m originMap[K]) filter(included []Origin) func(K) bool {
	return func(key K) bool { return slices.Contains(included, m[key]) }
}

// New returns an empty state.
func New() *State {
	return &State{
		instances: rlbtable.NewReplica[string, Instance](),
		engines:   rlbtable.NewReplica[string, Engine](),
		loads:     rlbtable.NewReplica[string, Load](),
		processes: rlbtable.NewReplica[ProcessKey, Process](),
		crashes:   rlbtable.NewReplica[CrashKey, Crash](),
		origins: origins{
			instances: originMap[string]{}, engines: originMap[string]{}, loads: originMap[string]{}, processes: originMap[ProcessKey]{},
		},
		lastHeartbeats: map[ProcessKey]time.Time{},
		lastReports:    map[string]time.Time{},
		removedSince:   map[string]time.Time{},
	}
}

// Note returns the release state in force on this instance.
func (s *State) Note() rlbnote.State { return s.note }

// Instances returns the table of instances in the platform's list.
func (s *State) Instances() *rlbtable.Table[string, Instance] { return s.instances.Table }

// Engines returns the table of engine states.
func (s *State) Engines() *rlbtable.Table[string, Engine] { return s.engines.Table }

// Loads returns the table of engine loads.
func (s *State) Loads() *rlbtable.Table[string, Load] { return s.loads.Table }

// Processes returns the table of gateway and controller processes.
func (s *State) Processes() *rlbtable.Table[ProcessKey, Process] { return s.processes.Table }

// Crashes returns the table of crash records.
func (s *State) Crashes() *rlbtable.Table[CrashKey, Crash] { return s.crashes.Table }

// LastHeartbeat returns when the latest heartbeat of the process was received.
func (s *State) LastHeartbeat(key ProcessKey) time.Time { return s.lastHeartbeats[key] }

// LastReport returns when this instance last read a report of the engine, or last
// received a newer load of it from another instance.
func (s *State) LastReport(id string) time.Time { return s.lastReports[id] }

// MergeNote stores a release state if it is newer, and reports whether it did.
func (s *State) MergeNote(state rlbnote.State) bool {
	if !state.Newer(s.note) {
		return false
	}
	s.note = state
	return true
}

// MergeInstanceList applies a list read from the platform. Instances that are
// missing from it are marked as removed. Rows with a newer revision than the list
// are unchanged.
func (s *State) MergeInstanceList(list rlbinstance.List) {
	present := map[string]bool{}
	for _, instance := range list.Instances {
		present[instance.ID] = true
		old, known := s.instances.Get(instance.ID)
		if known && old.Instance == instance && !old.Removed {
			continue
		}
		s.mergeListed(Instance{Instance: instance, Revision: list.Revision})
	}
	var missing []Instance
	s.instances.All(func(id string, row Instance) bool {
		if !present[id] && !row.Removed {
			missing = append(missing, row)
		}
		return true
	})
	for _, row := range missing {
		row.Removed, row.Revision = true, list.Revision
		s.mergeListed(row)
	}
}

// mergeListed merges a row of a list that this instance read itself.
func (s *State) mergeListed(row Instance) {
	if s.instances.Merge(row.ID, row) {
		s.origins.instances[row.ID] = OriginSelf
	}
}

// MergeEngineState applies a report of an engine, read at now.
func (s *State) MergeEngineState(state rlbengine.State, now time.Time) {
	s.lastReports[state.ID] = now
	takeOver(s.engines, s.origins.engines, state.ID)
	takeOver(s.loads, s.origins.loads, state.ID)
	s.engines.Merge(state.ID, Engine{
		ID:          state.ID,
		Incarnation: state.Incarnation,
		Sequence:    state.Sequence,
		Memory:      state.Memory,
		Residents:   state.Residents,
		Draining:    state.Draining,
	})
	s.SetUnreachable(state.ID, false)
	load := Load{
		ID: state.ID, Incarnation: state.Incarnation, Report: state.Report,
		Running: state.Load.Running, Waiting: state.Load.Waiting, Slots: state.Load.Slots, Adapters: state.Load.Adapters,
	}
	if old, known := s.loads.Get(state.ID); known && load.EqualExceptReport(old) {
		return // an unchanged load is not sent again
	}
	s.loads.Merge(state.ID, load)
}

// takeOver makes this instance the origin of a row. A row that came from another
// instance counts as changed, even if it stays the same: that instance may have failed
// before it sent the row to all the others, and this one did not forward it to them.
func takeOver[R rlbtable.Row[R]](rows rlbtable.Replica[string, R], origins originMap[string], id string) {
	if row, known := rows.Get(id); known && origins[id] != OriginSelf {
		rows.Put(id, row)
	}
	origins[id] = OriginSelf
}

// SetUnreachable records whether the engine is unreachable for this instance, which
// collects its reports. It reports whether that changed.
func (s *State) SetUnreachable(id string, unreachable bool) bool {
	row, known := s.engines.Get(id)
	if !known || row.Unreachable == unreachable {
		return false
	}
	row.Unreachable = unreachable
	row.ReachabilityChanges++
	s.origins.engines[id] = OriginSelf
	return s.engines.Merge(id, row)
}

// MergeHeartbeat applies a heartbeat received at now.
func (s *State) MergeHeartbeat(process Process, origin Origin, now time.Time) {
	if s.processes.Merge(process.ProcessKey, process) {
		s.lastHeartbeats[process.ProcessKey] = now
		s.origins.processes[process.ProcessKey] = origin
	}
}

// MergeCrash stores a crash record if it is new or newer, and reports whether it
// did.
func (s *State) MergeCrash(crash Crash) bool {
	return s.crashes.Merge(crash.CrashKey, crash)
}

// Expire drops crash records past their deadline, processes without a heartbeat
// since silentSince, and instances that this instance first saw as removed at least
// removedRetention ago, together with their engines and loads.
func (s *State) Expire(now time.Time, silentSince time.Time) {
	s.dropRemoved(now)
	var expired []CrashKey
	s.crashes.All(func(key CrashKey, crash Crash) bool {
		if crash.Deadline <= now.Unix() {
			expired = append(expired, key)
		}
		return true
	})
	for _, key := range expired {
		s.crashes.Delete(key)
	}
	for key, at := range s.lastHeartbeats {
		if at.Before(silentSince) {
			s.processes.Delete(key)
			delete(s.lastHeartbeats, key)
			delete(s.origins.processes, key)
		}
	}
}

// dropRemoved drops instances whose removedRetention has passed.
func (s *State) dropRemoved(now time.Time) {
	changes, _ := s.instances.Since(s.removedRevision)
	s.removedRevision = s.instances.Revision()
	for _, c := range changes {
		_, known := s.removedSince[c.Key]
		switch {
		case c.Deleted || !c.Row.Removed:
			delete(s.removedSince, c.Key)
		case !known:
			s.removedSince[c.Key] = now
		}
	}
	for id, since := range s.removedSince {
		if now.Sub(since) < removedRetention {
			continue
		}
		s.instances.Delete(id)
		s.engines.Delete(id)
		s.loads.Delete(id)
		delete(s.removedSince, id)
		delete(s.lastReports, id)
		delete(s.origins.instances, id)
		delete(s.origins.engines, id)
		delete(s.origins.loads, id)
	}
}

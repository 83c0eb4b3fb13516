package rlbfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	engineCount = 12
	modelCount  = 5
)

// controllerState is the controllers' state, from which updates are generated.
type controllerState struct {
	rng       *rand.Rand
	note      rlbnote.State
	instances map[string]rlbfleetstate.Instance
	engines   map[string]rlbfleetstate.Engine
}

func newControllerState(seed uint64) *controllerState {
	s := &controllerState{rng: rand.New(rand.NewPCG(seed, seed)), note: rlbnote.State{Version: 1, Models: map[string]rlbnote.Model{}}, instances: map[string]rlbfleetstate.Instance{}, engines: map[string]rlbfleetstate.Engine{}}
	for n := range modelCount {
		name := fmt.Sprint("m", n)
		s.note.Models[name] = rlbnote.Model{Name: name, Version: "v1"}
	}
	return s
}

// randomChange changes one endpoint and returns the update with that change.
func (s *controllerState) randomChange() rlbfleetstate.Update {
	id := fmt.Sprint("e", s.rng.IntN(engineCount))
	i, e := s.instances[id], s.engines[id]
	i.ID, i.Address, i.Type, e.ID = id, id, rlbinstance.TypeEngine, id
	i.Revision++
	e.Sequence++
	i.Leaving, i.Removed = s.rng.IntN(8) == 0, s.rng.IntN(8) == 0
	e.Unreachable, e.Draining = s.rng.IntN(4) == 0, s.rng.IntN(8) == 0
	if s.rng.IntN(6) == 0 {
		e.Incarnation++
	}
	e.Residents = nil
	for n := range modelCount {
		if s.rng.IntN(2) == 0 {
			phase := []rlbengine.Phase{rlbengine.PhaseReady, rlbengine.PhaseReady, rlbengine.PhaseLoading}[s.rng.IntN(3)]
			e.Residents = append(e.Residents, rlbengine.Resident{Name: fmt.Sprint("m", n), Version: fmt.Sprint("v", s.rng.IntN(2)), Phase: phase})
		}
	}
	s.instances[id], s.engines[id] = i, e
	return rlbfleetstate.Update{Instances: []rlbfleetstate.Instance{i}, Engines: []rlbfleetstate.Engine{e}}
}

// fullUpdate returns an update with the whole state.
func (s *controllerState) fullUpdate() rlbfleetstate.Update {
	u := rlbfleetstate.Update{Note: &s.note}
	for _, i := range s.instances {
		u.Instances = append(u.Instances, i)
	}
	for _, e := range s.engines {
		u.Engines = append(u.Engines, e)
	}
	return u
}

func ids(endpoints []*rlbroute.Endpoint) []string {
	all := []string{}
	for _, e := range endpoints {
		all = append(all, e.ID())
	}
	slices.Sort(all)
	return all
}

// TestRoutesFollow compares routes built incrementally, one update at a time, with
// routes built from one full update.
func TestRoutesFollow(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("seed %d", seed), t, func() {
			state := newControllerState(seed)
			follower := New("d", time.Now)
			follower.ApplyUpdate(rlbfleetstate.Update{Note: &state.note})
			for range 200 {
				before := follower.Routes()
				kept := ids(before.Version("m0", "v1"))
				follower.ApplyUpdate(state.randomChange())
				So(ids(before.Version("m0", "v1")), ShouldResemble, kept) // published routes never change
			}
			fresh := New("d", time.Now)
			fresh.ApplyUpdate(state.fullUpdate())
			for n := range modelCount {
				for _, version := range []string{"v0", "v1"} {
					name := fmt.Sprint("m", n)
					So(ids(follower.Routes().Version(name, version)), ShouldResemble, ids(fresh.Routes().Version(name, version)))
				}
			}
		})
	}
}

// BenchmarkReroute measures the update of the routes after one engine changed, in a
// fleet of 12,000 engines and 1,700 models.
func BenchmarkReroute(b *testing.B) {
	const size, models, each = 12_000, 1_700, 3
	u := rlbfleetstate.Update{Note: &rlbnote.State{Version: 1}}
	for i := range size {
		id := fmt.Sprint("e", i)
		u.Instances = append(u.Instances, rlbfleetstate.Instance{Revision: 1, Instance: rlbinstance.Instance{ID: id, Address: id, Type: rlbinstance.TypeEngine}})
		e := rlbfleetstate.Engine{ID: id, Incarnation: 1}
		for k := range each {
			e.Residents = append(e.Residents, rlbengine.Resident{Name: fmt.Sprint("m", (i*each+k)%models), Version: "v", Phase: rlbengine.PhaseReady})
		}
		u.Engines = append(u.Engines, e)
	}
	f := New("d", time.Now)
	f.ApplyUpdate(u)
	e := u.Engines[7]
	for b.Loop() {
		e.Sequence++
		f.ApplyUpdate(rlbfleetstate.Update{Engines: []rlbfleetstate.Engine{e}})
	}
}

package rlbplacement

import (
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/smartystreets/goconvey/convey"
)

func resident(name string, phase rlbengine.Phase) rlbengine.Resident {
	return rlbengine.Resident{Name: name, Phase: phase, Memory: 70}
}

func note(names ...string) rlbnote.State {
	state := rlbnote.State{Models: map[string]rlbnote.Model{}}
	for _, name := range names {
		state.Models[name] = rlbnote.Model{Name: name, Memory: 70}
	}
	return state
}

func TestFrozenEngines(t *testing.T) {
	opts := Opts{MoveWeight: 0.2, Slots: 10, LoadsAtOnce: 8, Growth: 4, Searches: 8}
	convey.Convey("Given a model with high demand on every engine and a model without replicas", t, func() {
		engines := []Engine{
			{ID: "a", Memory: 100, Reserved: 70, Frozen: true, Residents: []rlbengine.Resident{resident("hot", rlbengine.PhaseUnloading)}},
			{ID: "b", Memory: 100, Reserved: 70, Residents: []rlbengine.Resident{resident("hot", rlbengine.PhaseReady)}},
			{ID: "c", Memory: 100, Reserved: 70, Residents: []rlbengine.Resident{resident("hot", rlbengine.PhaseReady)}},
		}
		in := Input{Note: note("hot", "missing"), Engines: engines, Demand: map[string]float64{"hot": 60}, Settled: true}
		convey.Convey("no replica is evicted while an unload on a frozen engine frees enough memory", func() {
			convey.So(Plan(in, opts), convey.ShouldBeEmpty)
		})
		convey.Convey("a frozen engine gets no orders, but its replicas count", func() {
			engines[0] = Engine{ID: "a", Memory: 100, Reserved: 70, Frozen: true, Residents: []rlbengine.Resident{resident("missing", rlbengine.PhaseReady)}}
			for _, proposal := range Plan(in, opts) {
				convey.So(proposal.Endpoint, convey.ShouldNotEqual, "a")
				convey.So(proposal.Name, convey.ShouldNotEqual, "missing")
			}
		})
	})
}

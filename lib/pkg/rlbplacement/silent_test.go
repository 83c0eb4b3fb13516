package rlbplacement

import (
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/smartystreets/goconvey/convey"
)

func TestSilentEngines(t *testing.T) {
	opts := Opts{MoveWeight: 0.2, Slots: 10, LoadsAtOnce: 8, Growth: 4, Searches: 8}
	one := func(id, model string, silent bool) Engine {
		return Engine{ID: id, Memory: 100, Reserved: 70, Silent: silent, Residents: []rlbengine.Resident{resident(model, rlbengine.PhaseReady)}}
	}
	convey.Convey("Given a hot model on two engines that crashed and one that is left, and a model without replicas", t, func() {
		engines := []Engine{one("a", "hot", true), one("b", "hot", true), one("c", "hot", false)}
		in := Input{Note: note("hot", "missing"), Engines: engines, Demand: map[string]float64{"hot": 60}, Settled: true}
		convey.Convey("its last live replica is not unloaded", func() {
			convey.So(Plan(in, opts), convey.ShouldBeEmpty)
		})
		convey.Convey("it is while the engines answer", func() {
			engines[0].Silent, engines[1].Silent = false, false
			convey.So(Plan(in, opts), convey.ShouldNotBeEmpty)
		})
	})
	convey.Convey("A silent engine gets no order", t, func() {
		engines := []Engine{{ID: "a", Memory: 100, Silent: true}, one("b", "present", false)}
		convey.So(Plan(Input{Note: note("present", "missing"), Engines: engines, Settled: true}, opts), convey.ShouldBeEmpty)
	})
	convey.Convey("Replicas on silent engines do not count as loads under way, which would delay their replacement", t, func() {
		var engines []Engine
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			engines = append(engines, one(id, "hot", true))
		}
		engines = append(engines, one("f", "hot", false), Engine{ID: "g", Memory: 100})
		proposals := Plan(Input{Note: note("hot"), Engines: engines, Demand: map[string]float64{"hot": 60}, Settled: true}, opts)
		convey.So(proposals, convey.ShouldHaveLength, 1)
		convey.So(proposals[0].Endpoint, convey.ShouldEqual, "g")
	})
}

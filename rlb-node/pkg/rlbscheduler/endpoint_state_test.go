package rlbscheduler

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	. "github.com/smartystreets/goconvey/convey"
)

const gigabyte = rlbunit.Bytes(1e9)

func testEngine() *rlbdeployment.Engine {
	e := &rlbdeployment.Engine{Slots: 4, Memory: 200 * gigabyte, AdapterSlots: 2, LoadsPerSecond: 1, Models: map[string]rlbdeployment.Model{}}
	for _, name := range []string{"m", "n", "o"} {
		e.Models[name] = rlbdeployment.Model{
			Name: name, Memory: 72 * gigabyte, Adapters: []string{"a1", "a2", "a3", "a4"}, AdapterMemory: gigabyte / 10,
			FromStore: 8 * time.Second, FromDisk: 2 * time.Second, FromMemory: time.Second,
		}
	}
	return e
}

func report(sequence uint64, busy bool, models ...string) rlbdeployment.Report {
	r := rlbdeployment.Report{Sequence: sequence, Busy: busy, OnDisk: []string{"n"}}
	for _, name := range models {
		r.LoadedModels = append(r.LoadedModels, rlbdeployment.LoadedModel{Model: name})
	}
	return r
}

func TestEndpointState(t *testing.T) {
	Convey("Given the state of an endpoint with one model", t, func() {
		now, engine := time.Unix(1000, 0), testEngine()
		state := newEndpointState(&rlbdeployment.Endpoint{ID: "e", OnDisk: []string{"n"}})
		So(state.applyReport(report(3, false, "m"), now), ShouldBeTrue)
		load := func(model string) {
			state.sequence++
			state.lastAccepted = now
			state.applyOrder(rlbdeployment.Order{Model: model}, engine, now)
		}
		Convey("a model that is being loaded takes memory and keeps the endpoint busy", func() {
			So(state.fits(newSizes(engine), "n"), ShouldBeTrue)
			load("n")
			So(state.busy(), ShouldBeTrue)
			So(state.canServe("n"), ShouldBeFalse)
			So(state.fits(newSizes(engine), "o"), ShouldBeFalse)
			So(state.models["n"].readyAt, ShouldEqual, now.Add(2*time.Second+loadTimeMargin))
			Convey("also if a later report does not list it yet", func() {
				now = now.Add(time.Second)
				So(state.applyReport(report(4, true, "m"), now), ShouldBeTrue)
				So(state.fits(newSizes(engine), "o"), ShouldBeFalse)
				So(state.applyReport(report(4, false, "m", "n"), now), ShouldBeTrue)
				So(state.canServe("n"), ShouldBeTrue)
			})
			Convey("a report from before the order is ignored", func() {
				So(state.applyReport(report(3, false, "m"), now.Add(maxReportLag/2)), ShouldBeFalse)
				So(state.busy(), ShouldBeTrue)
			})
		})
		Convey("the state of an endpoint that is busy with an order of another sender is not known", func() {
			other := newEndpointState(state.endpoint)
			So(other.applyReport(report(12, true, "m"), now), ShouldBeFalse)
			So(other.known, ShouldBeFalse)
		})
		Convey("a model that is being unloaded takes memory until a report shows it removed", func() {
			state.applyOrder(rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: "m"}, engine, now)
			So(state.canServe("m"), ShouldBeFalse)
			So(state.applyReport(report(3, true, "m"), now.Add(time.Second)), ShouldBeTrue)
			So(state.models["m"].unloading, ShouldBeTrue)
			So(state.usedMemory(newSizes(engine)), ShouldEqual, 72*gigabyte)
			So(state.applyReport(report(4, false), now.Add(2*time.Second)), ShouldBeTrue)
			So(state.usedMemory(newSizes(engine)), ShouldEqual, 0)
		})
		Convey("adapters that are being fetched count", func() {
			r := report(4, false, "m")
			r.Fetching = []string{"m/a1", "x/a2"}
			state.applyReport(r, now)
			total, fetching := state.countAdapters(now)
			So([]int{total, fetching}, ShouldResemble, []int{1, 1})
		})
		Convey("an entry with other models makes the state unknown, one with the same models does not", func() {
			state.applyEntry(&rlbdeployment.Endpoint{ID: "e", LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}})
			So(state.known, ShouldBeTrue)
			So(state.endpoint.HasLocalCopy("n"), ShouldBeTrue)
			state.applyEntry(&rlbdeployment.Endpoint{ID: "e", LoadedModels: []rlbdeployment.LoadedModel{{Model: "o"}}})
			So(state.known, ShouldBeFalse)
		})
		Convey("an order without an answer may still reach the next incarnation", func() {
			next := newEndpointState(&rlbdeployment.Endpoint{ID: "e", StartedAt: now})
			all := newDoubts()
			settle := all.open(state.incarnation, now)
			end := now.Add(orderTimeout + inDoubtPeriod)
			So(all.blocks(next.incarnation, end.Add(-1)), ShouldBeTrue)
			So(all.blocks(next.incarnation, end), ShouldBeFalse)
			So(all.blocks(state.incarnation, now), ShouldBeFalse)
			Convey("until its answer arrives, which ends no other doubt", func() {
				all.open(state.incarnation, now.Add(1))
				settle()
				So(all.blocks(next.incarnation, end), ShouldBeTrue)
				So(all.blocks(next.incarnation, end.Add(1)), ShouldBeFalse)
			})
			Convey("and is forgotten after that", func() {
				all.open(&rlbdeployment.Endpoint{ID: "f"}, end)
				So(all.byEndpoint, ShouldNotContainKey, "e")
			})
		})
	})
}

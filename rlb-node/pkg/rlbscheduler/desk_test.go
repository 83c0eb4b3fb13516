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

func TestDesk(t *testing.T) {
	Convey("Given a desk of an endpoint with one model", t, func() {
		now, engine := time.Unix(1000, 0), testEngine()
		d := newDesk(&rlbdeployment.Endpoint{ID: "e", OnDisk: []string{"n"}})
		So(d.report(report(3, false, "m"), now), ShouldBeTrue)
		load := func(model string) {
			d.sequence++
			d.ordered = now
			d.applied(rlbdeployment.Order{Model: model}, engine, now)
		}
		Convey("a model on its way takes memory and keeps the endpoint busy", func() {
			So(d.fits(engine, "n"), ShouldBeTrue)
			load("n")
			So(d.busy(), ShouldBeTrue)
			So(d.holds("n"), ShouldBeFalse)
			So(d.fits(engine, "o"), ShouldBeFalse)
			So(d.models["n"].ready, ShouldEqual, now.Add(2*time.Second+loadSlack))
			Convey("also where a later report does not name it yet", func() {
				now = now.Add(time.Second)
				So(d.report(report(4, true, "m"), now), ShouldBeTrue)
				So(d.fits(engine, "o"), ShouldBeFalse)
				So(d.report(report(4, false, "m", "n"), now), ShouldBeTrue)
				So(d.holds("n"), ShouldBeTrue)
			})
			Convey("a report from before the order tells nothing", func() {
				So(d.report(report(3, false, "m"), now.Add(reportLag/2)), ShouldBeFalse)
				So(d.busy(), ShouldBeTrue)
			})
		})
		Convey("an endpoint that is busy with an order of somebody else is not known", func() {
			other := newDesk(d.endpoint)
			So(other.report(report(12, true, "m"), now), ShouldBeFalse)
			So(other.known, ShouldBeFalse)
		})
		Convey("an unload takes memory until the report shows that it is done", func() {
			d.applied(rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: "m"}, engine, now)
			So(d.holds("m"), ShouldBeFalse)
			So(d.report(report(3, true, "m"), now.Add(time.Second)), ShouldBeTrue)
			So(d.models["m"].leaving, ShouldBeTrue)
			So(d.used(engine), ShouldEqual, 72*gigabyte)
			So(d.report(report(4, false), now.Add(2*time.Second)), ShouldBeTrue)
			So(d.used(engine), ShouldEqual, 0)
		})
		Convey("adapters that are being fetched count", func() {
			r := report(4, false, "m")
			r.Fetching = []string{"m/a1", "x/a2"}
			d.report(r, now)
			all, coming := d.adapters(now)
			So([]int{all, coming}, ShouldResemble, []int{1, 1})
		})
		Convey("an entry with other models makes the state unknown, the same one does not", func() {
			d.take(&rlbdeployment.Endpoint{ID: "e", LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}})
			So(d.known, ShouldBeTrue)
			So(d.endpoint.HasLocalCopy("n"), ShouldBeTrue)
			d.take(&rlbdeployment.Endpoint{ID: "e", LoadedModels: []rlbdeployment.LoadedModel{{Model: "o"}}})
			So(d.known, ShouldBeFalse)
		})
		Convey("an order without an answer may still reach the next life", func() {
			d.unsure = now.Add(lateOrder)
			So(d.reborn(&rlbdeployment.Endpoint{ID: "e", StartedAt: now}).blocked, ShouldEqual, d.unsure)
		})
	})
}

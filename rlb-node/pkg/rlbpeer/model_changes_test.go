package rlbpeer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func TestModelChanges(t *testing.T) {
	e := &rlbdeployment.Endpoint{ID: "e", StartedAt: time.UnixMilli(5), LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}}
	Convey("Given a lease holder of another domain that names a model that is being unloaded and one that is loaded", t, func() {
		now := time.Unix(1000, 0)
		f := NewFleet("a", "x")
		holder := &LeaseHolder{Name: "c", Fence: 3, Unloaded: []uint64{e.ModelKey("m")}, Loaded: []uint64{e.ModelKey("n")}}
		f.ApplySummary(now, Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1, LeaseHolder: holder})
		Convey("what it says goes before the entry", func() {
			So(f.ModelChanges(now).Serves(e, "m"), ShouldBeFalse)
			So(f.ModelChanges(now).Serves(e, "n"), ShouldBeTrue)
			So(f.ModelChanges(now).Serves(e, "o"), ShouldBeFalse)
		})
		Convey("not for the next incarnation of the endpoint", func() {
			next := *e
			next.StartedAt = time.UnixMilli(6)
			So(f.ModelChanges(now).Serves(&next, "m"), ShouldBeTrue)
			So(f.ModelChanges(now).Serves(&next, "n"), ShouldBeFalse)
		})
		Convey("without a live lease holder the entry counts", func() {
			later := now.Add(2 * LivenessTimeout)
			So(f.ModelChanges(later).Serves(e, "m"), ShouldBeTrue)
			So(f.ModelChanges(later).Serves(e, "n"), ShouldBeFalse)
		})
		Convey("the next message replaces it", func() {
			f.ApplySummary(now, Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 2, LeaseHolder: &LeaseHolder{Name: "c", Fence: 3}})
			So(f.ModelChanges(now).Serves(e, "m"), ShouldBeTrue)
		})
	})
}

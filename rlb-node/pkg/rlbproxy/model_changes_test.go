package rlbproxy

import (
	"net/http"
	"testing"

	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRequestsAvoidReplicasThatAreBeingUnloaded(t *testing.T) {
	Convey("Given two engines with the model, of which the nearer one is unloading it", t, func() {
		f := newFixture(t)
		unloading, other := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		f.changes = rlbpeer.NewModelChanges([]uint64{f.view.Snapshot().ByID["e1"].ModelKey("m")}, nil)
		Convey("all requests go to the other one", func() {
			for range 3 {
				So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			}
			shouldHaveRun(unloading, 0)
			shouldHaveRun(other, 3)
		})
		Convey("also those for an adapter that is still loaded there", func() {
			got := f.send(http.MethodPost, "/plan/x", "prompt", map[string]string{"X-Model": "m/a1", "X-Token-Count": "10,4"})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(unloading, 0)
		})
	})
}

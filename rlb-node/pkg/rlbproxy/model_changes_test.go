package rlbproxy

import (
	"context"
	"net/http"
	"slices"
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
		Convey("also those for an adapter that is still loaded there: another endpoint is asked for", func() {
			adapters := &cachedAdapters{cached: "e1", next: "e2"}
			f.server.Adapters = adapters
			other.Load("m", "a1")
			got := f.send(http.MethodPost, "/plan/x", "prompt", map[string]string{"X-Model": "m/a1", "X-Token-Count": "10,4"})
			So(got.status, ShouldEqual, http.StatusOK)
			shouldHaveRun(unloading, 0)
			shouldHaveRun(other, 1)
		})
	})
}

// cachedAdapters is a fake of Adapters that knows one endpoint from before, and another if
// that one is to be avoided.
type cachedAdapters struct{ cached, next string }

func (a *cachedAdapters) Find(_ context.Context, _, _, _ string, avoid []string) ([]string, string) {
	if slices.Contains(avoid, a.cached) {
		return []string{a.next}, ""
	}
	return []string{a.cached}, ""
}

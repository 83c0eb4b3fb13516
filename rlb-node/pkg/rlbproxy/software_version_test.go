package rlbproxy

import (
	"net/http"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// breakBefore makes a replica break its streams off before event n.
func breakBefore(replica *rlbfakedeployment.Replica, n int) {
	replica.Intercept = func(w http.ResponseWriter, q *http.Request, _ int) bool {
		replica.Stream(w, q, n)
		return true
	}
}

// takeUp sends a request that takes up the stream of the fixture's request after event 2.
func (f *fixture) takeUp(resumes string) callerResult {
	header := map[string]string{"X-Model": "m", "X-Token-Count": "10,4", "X-Request-Id": "7b1e0c55d2f04a91", "Last-Event-Id": "2"}
	if resumes != "" {
		header["Resumes"] = resumes
	}
	return f.send(http.MethodPost, "/talk/x", "prompt", header)
}

const firstRequest = "9c41d07be2a35f68" // sent by the fixture

func TestBrokenStreamIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	Convey("A stream that breaks is aborted if only another software version could go on", t, func() {
		f := newFixture(t)
		breakBefore(f.addVersion(t, "e1", "llm", "a", "v1"), 3)
		f.addVersion(t, "e2", "llm", "b", "v2")
		So(f.sendPrompt("/talk/x").body, ShouldEqual, events(1, 2))
	})
}

func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	Convey("A stream that breaks goes on at an endpoint of the same version, although others are nearer", t, func() {
		f := newFixture(t)
		breakBefore(f.addVersion(t, "e1", "llm", "a", "v1"), 3)
		other := f.addVersion(t, "e2", "llm", "a", "v2")
		same := f.addVersion(t, "e3", "llm", "b", "v1")
		f.server.Balancer.Begin(f.view.Snapshot().ByID["e2"], rlbbalancer.RequestLoad{}) // so that e1 is chosen first
		got := f.sendPrompt("/talk/x")
		So(got.err, ShouldBeNil)
		So(got.body, ShouldEqual, events(1, 4))
		shouldHaveRun(other, 0)
		shouldHaveRun(same, 1)
	})
	Convey("A request whose first attempt brought no event may go to any version", t, func() {
		f := newFixture(t)
		breakBefore(f.addVersion(t, "e1", "llm", "a", "v1"), 1)
		f.addVersion(t, "e2", "llm", "b", "v2")
		got := f.sendPrompt("/talk/x")
		So(got.err, ShouldBeNil)
		So(got.body, ShouldEqual, events(1, 4))
	})
}

func TestTakenUpStreamIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	Convey("A take-up is refused if only another software version could go on", t, func() {
		f := newFixture(t)
		breakBefore(f.addVersion(t, "e1", "llm", "a", "v1"), 3)
		f.sendPrompt("/talk/x")
		f.addVersion(t, "e2", "llm", "b", "v2")
		f.drain("e1")
		So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

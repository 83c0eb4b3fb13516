package rlbproxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbadmission"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	. "github.com/smartystreets/goconvey/convey"
)

// withPriorities returns a config in which the service llm has routes of these priorities.
func withPriorities(priorities ...int) *rlbdeployment.Config {
	var routes []rlbdeployment.Route
	for _, priority := range priorities {
		routes = append(routes, rlbdeployment.Route{Priority: priority, Shares: []rlbdeployment.Share{{Service: "llm", Weight: 1}}})
	}
	return rlbdeployment.NewConfig(1, routes, nil, rlbdeployment.Limits{})
}

func TestAdmission(t *testing.T) {
	Convey("Given an engine whose four slots free up once a second", t, func() {
		f := newFixture(t)
		f.add(t, "e1", "llm", "a")
		var others rlbbalancer.Load
		f.server.PeerLoad = func(string) rlbbalancer.Load { return others }
		req := &request{
			inbound: httptest.NewRequest("POST", "/talk/x", nil), service: "llm", model: "m", priority: 1, deadline: f.now().Add(time.Minute), snapshot: &rlbdiscovery.Snapshot{Config: withPriorities(0, 1, 2)},
			route: &rlbdeployment.Route{Kind: rlbdeployment.KindStream, Priority: 1, Resumable: true, MaxAttempts: 2, TargetLatency: 800 * time.Millisecond},
		}
		shouldBe := func(class rlbadmission.Class, priority string) {
			choice := f.server.admit(req, nil)
			req.expectedWait = choice.Wait
			So(req.class, ShouldEqual, class)
			if class != rlbadmission.Refused {
				So(f.server.outgoingRequest(req, choice.Endpoint).Header.Get("X-Request-Priority"), ShouldEqual, priority)
			}
		}
		Convey("a request that finds a slot is in time", func() {
			others.InFlight = 3
			shouldBe(rlbadmission.InTime, "1")
		})
		Convey("a request that misses its target waits behind the others, for its first event longer than they do", func() {
			others.InFlight = 4
			shouldBe(rlbadmission.Late, "6")
			first, _ := f.server.silenceTimeouts(req)
			So(first, ShouldEqual, resumableFirstEventTimeout+lateWaitFactor*time.Second)
		})
		Convey("late requests that wait at the engine do not make the next one late", func() {
			others.InFlight, others.LateWaiting = 6, 3
			shouldBe(rlbadmission.InTime, "1")
		})
		Convey("a request that would wait for too long is refused", func() {
			others.InFlight = 8
			shouldBe(rlbadmission.Refused, "")
		})
		Convey("a request that may not be repeated is refused", func() {
			others.InFlight, req.route.Resumable = 4, false
			shouldBe(rlbadmission.Refused, "")
		})
		Convey("a request is refused if no route of the service is less urgent, or none more urgent", func() {
			others.InFlight = 4
			for _, priorities := range [][]int{{0, 1}, {1, 2}} {
				req.snapshot = &rlbdiscovery.Snapshot{Config: withPriorities(priorities...)}
				shouldBe(rlbadmission.Refused, "")
			}
		})
		Convey("the rest of a stream is sent in any case", func() {
			others.InFlight, req.begun, req.beganAt = 100, true, f.view.Snapshot().ByID["e1"].SoftwareVersion
			shouldBe(rlbadmission.InTime, "1")
		})
	})
}

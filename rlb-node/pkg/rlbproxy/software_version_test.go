package rlbproxy

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
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

func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	Convey("Given a stream that began at one of two versions and broke off", t, func() {
		f := newFixture(t)
		first := f.addVersion(t, "e1", "llm", "a", "v1")
		breakBefore(first, 3)
		f.sendPrompt("/talk/x")
		other := f.addVersion(t, "e2", "llm", "a", "v2")
		same := f.addVersion(t, "e3", "llm", "b", "v1")
		f.drain("e1")
		f.origins.Observe([]rlborigin.Origin{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v2"}}, time.Minute)
		f.origins.noRecordsElsewhere()
		Convey("it goes on at an endpoint of its version", func() {
			got := f.takeUp(firstRequest)
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "e3.1")
		})
		Convey("a second take-up names the request that began it as well", func() {
			breakBefore(same, 4)
			So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusOK)
			So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusOK)
			shouldHaveRun(other, 0)
			shouldHaveRun(same, 2)
		})
		Convey("a take-up of a stream that nobody knows is refused as not run", func() {
			for _, resumes := range []string{"", "unknown"} {
				So(f.takeUp(resumes).status, ShouldEqual, http.StatusServiceUnavailable)
			}
			shouldHaveRun(other, 0)
			shouldHaveRun(same, 0)
		})
		Convey("an adapter is not asked for at another version", func() {
			f.server.Adapters = fakeAdapters{"llm/m/a1": {"e2"}}
			got := f.send(http.MethodPost, "/talk/x", "prompt", map[string]string{"X-Model": "m/a1", "X-Token-Count": "10,4", "Last-Event-Id": "2", "Resumes": firstRequest})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(other, 0)
		})
	})
	Convey("A stream of a service that has one version goes on, whoever began it", t, func() {
		f := newFixture(t)
		f.addVersion(t, "e1", "llm", "a", "v1")
		f.origins.Observe([]rlborigin.Origin{{Service: "llm", Version: "v1"}}, time.Minute)
		f.origins.noRecordsElsewhere()
		got := f.takeUp("unknown")
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldContainSubstring, "id: 3")
	})
}

// TestStreamBeginsOnlyAtAStoredVersion guards against streams joined from two software
// versions: where a stream began must be known elsewhere before its caller has a part of it.
func TestStreamBeginsOnlyAtAStoredVersion(t *testing.T) {
	Convey("Given a near endpoint whose version is not stored yet, and a stored one farther away", t, func() {
		f := newFixture(t)
		fresh := f.addVersion(t, "e1", "llm", "a", "v2")
		stored := f.addVersion(t, "e2", "llm", "b", "v1")
		f.origins.notStored = "v2"
		Convey("a stream that may be taken up begins at the stored one", func() {
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
			shouldHaveRun(fresh, 0)
			shouldHaveRun(stored, 1)
		})
		Convey("it is refused as not run if there is no other", func() {
			f.drain("e2")
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(fresh, 0)
		})
		Convey("an adapter is not asked for there", func() {
			f.server.Adapters = fakeAdapters{"llm/m/a1": {"e1"}}
			got := f.send(http.MethodPost, "/talk/x", "prompt", map[string]string{"X-Model": "m/a1", "X-Token-Count": "10,4"})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(fresh, 0)
		})
		Convey("one that cannot be taken up begins at the nearest", func() {
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			shouldHaveRun(fresh, 1)
		})
	})
}

func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	Convey("A route that is split between services sends a take-up where the first request went", t, func() {
		config := rlbdeployment.NewConfig(1, []rlbdeployment.Route{{
			Host: "h.example", PathPrefix: "/", Kind: rlbdeployment.KindStream, Resumable: true, Timeout: time.Minute,
			Shares: []rlbdeployment.Share{{Service: "one", Weight: 1}, {Service: "two", Weight: 1}},
		}}, nil, rlbdeployment.Limits{})
		route, _ := config.Route("h.example", "/x")
		serviceOf := func(id string, header http.Header) string {
			req := &request{id: id, route: route, inbound: &http.Request{Header: header}}
			return route.PickService(xxhash.Sum64String(req.streamID()))
		}
		for n := range 20 {
			first := strconv.Itoa(n)
			takeUp := http.Header{"Last-Event-Id": {"2"}, "Resumes": {first}}
			So(serviceOf("other", takeUp), ShouldEqual, serviceOf(first, http.Header{}))
		}
	})
}

// TestTakenUpStreamIsNotJoinedFromTwoServices guards against a stream that goes on at another
// service than the one that began it, as the shares of a route differ between two configs.
func TestTakenUpStreamIsNotJoinedFromTwoServices(t *testing.T) {
	split := strings.Replace(config, `"Service":"llm","MaxAttempts":2,"Resumable":true`, `"TrafficSplit":[{"Service":"llm","Weight":1000000},{"Service":"other","Weight":1}],"MaxAttempts":2,"Resumable":true`, 1)
	split = strings.Replace(split, `"Services":[`, `"Services":[{"Name":"other","HealthPath":"/health","MaxConns":360,"Engine":{"Slots":4,"KvTokens":1000,"Stride":1,"WeightsMb":100,"AdapterSlots":2,"LoadsPerS":1,"Models":[{"Name":"m","WeightsMb":40,"LoadS":1,"Adapters":2,"AdapterMb":1}]}},`, 1)
	split = strings.Replace(split, `"Version":3`, `"Version":4`, 1)
	Convey("Given a stream that began at the service that now gets few requests", t, func() {
		f := newFixture(t)
		other, same := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "other", "a")
		f.view.ApplyConfig([]byte(split), "test")
		began := rlborigin.Origin{Service: "other", Version: "v1"}
		f.origins.Observe([]rlborigin.Origin{began, {Service: "llm", Version: "v1"}}, time.Minute)
		f.origins.noRecordsElsewhere()
		Convey("it goes on there", func() {
			f.origins.Began(firstRequest, began, f.now().Add(time.Minute))
			So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusOK)
			shouldHaveRun(other, 0)
			shouldHaveRun(same, 1)
		})
	})
}

// TestTakenUpStreamGoesOnAfterItsRouteHasMoved guards against streams that are refused for good:
// a config has moved their route to another service, where endpoints of their software
// version serve.
func TestTakenUpStreamGoesOnAfterItsRouteHasMoved(t *testing.T) {
	Convey("Given a stream that began at a service that its route no longer names", t, func() {
		f := newFixture(t)
		same, other := f.addVersion(t, "e1", "llm", "a", "v1"), f.addVersion(t, "e2", "llm", "a", "v2")
		f.origins.Observe([]rlborigin.Origin{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v2"}}, time.Minute)
		f.origins.noRecordsElsewhere()
		Convey("it goes on at the service that the route names now, at its software version", func() {
			f.origins.Began(firstRequest, rlborigin.Origin{Service: "before", Version: "v1"}, f.now().Add(time.Minute))
			for range 4 {
				So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusOK)
			}
			shouldHaveRun(same, 4)
			shouldHaveRun(other, 0)
		})
		Convey("it is refused as not run if that service does not have its software version", func() {
			f.origins.Began(firstRequest, rlborigin.Origin{Service: "before", Version: "v3"}, f.now().Add(time.Minute))
			So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(same, 0)
			shouldHaveRun(other, 0)
		})
	})
}

func TestTakenUpStreamIsNotRefusedForTheWaitThatANewRequestWouldHave(t *testing.T) {
	Convey("Given endpoints at which a new request would wait too long", t, func() {
		f := newFixture(t)
		f.addVersion(t, "e1", "llm", "a", "v1")
		f.origins.Observe([]rlborigin.Origin{{Service: "llm", Version: "v1"}}, time.Minute)
		f.origins.noRecordsElsewhere()
		for range 1000 {
			f.server.Balancer.Begin(f.view.Snapshot().ByID["e1"], rlbbalancer.RequestLoad{PromptTokens: 100_000})
		}
		So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusServiceUnavailable)
		Convey("a take-up is sent, as its caller has a part of the answer", func() {
			So(f.takeUp(firstRequest).status, ShouldEqual, http.StatusOK)
		})
	})
}

func TestNewStreamsPreferVersionsWithAnotherEndpointToGoOnAt(t *testing.T) {
	Convey("Given an endpoint that is alone with its version, and two of another one farther away", t, func() {
		f := newFixture(t)
		lone := f.addVersion(t, "e1", "llm", "a", "v1")
		f.addVersion(t, "e2", "llm", "b", "v2")
		f.addVersion(t, "e3", "llm", "b", "v2")
		Convey("a stream that can be resumed begins at the others", func() {
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
			shouldHaveRun(lone, 0)
		})
		Convey("one that cannot be resumed begins at the nearest", func() {
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			shouldHaveRun(lone, 1)
		})
		Convey("the endpoint is used when it is the only one left", func() {
			f.drain("e2")
			f.drain("e3")
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
			shouldHaveRun(lone, 1)
		})
	})
}

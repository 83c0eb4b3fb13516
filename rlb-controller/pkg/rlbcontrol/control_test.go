package rlbcontrol

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

var background = context.Background()

// publishAndWait publishes a note at a controller and waits for the fleet to load
// its models.
func (r *testFleet) publishAndWait(at string, note rlbnote.Note) {
	_, err := r.controllers[at].Publish(background, note)
	So(err, ShouldBeNil)
	time.Sleep(10 * time.Second)
}

// assertVersion checks the version in force at every controller.
func (r *testFleet) assertVersion(version uint64) {
	for _, c := range r.controllers {
		So(c.Note().Version, ShouldEqual, version)
	}
}

func TestNotes(t *testing.T) {
	withFleet(t, 3, 6, func(r *testFleet) {
		Convey("puts an accepted note in force at every controller and loads its models", t, func() {
			_, err := r.controllers["c0"].Publish(background, rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b")}})
			So(err, ShouldBeNil)
			time.Sleep(time.Second)
			r.assertVersion(1)
			time.Sleep(10 * time.Second)
			So(r.ready("a", "v1"), ShouldNotBeEmpty)
			So(r.ready("b", "v1"), ShouldNotBeEmpty)
			r.requireReachable("a", "b")
		})
		Convey("accepts one of two notes on the same base and returns it with the rejection of the other", t, func() {
			_, err := r.controllers["c1"].Publish(background, rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "c")}})
			So(err, ShouldBeNil)
			_, err = r.controllers["c2"].Publish(background, rlbnote.Note{ID: "rival", Base: 1, Withdraw: rlbnote.Names{Models: []string{"a"}}})
			So(rlbnote.Is(err, rlbnote.KindStale), ShouldBeTrue)
			var refused *PublishError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Current, ShouldEqual, 2)
			So(refused.Since, ShouldHaveLength, 1)
			So(refused.Since[0].Note.ID, ShouldEqual, "two")
		})
		Convey("finds a note whose write got no answer by its id and does not publish it twice", t, func() {
			r.objects.Inject(rlbfake.FaultAnswerLost)
			note := rlbnote.Note{ID: "three", Base: 2, Add: rlbnote.Items{Adapters: []rlbnote.Adapter{{Name: "x", Model: "a", Version: "v1"}}}}
			record, err := r.controllers["c0"].Publish(background, note)
			So(err, ShouldBeNil)
			So(record.Version, ShouldEqual, 3)
			again, err := r.controllers["c1"].Publish(background, note)
			So(err, ShouldBeNil)
			So(again, ShouldResemble, record)
			time.Sleep(time.Second)
			r.assertVersion(3)
		})
		Convey("returns every note in the history", t, func() {
			past, err := r.controllers["c2"].History(background, 10)
			So(err, ShouldBeNil)
			So(past, ShouldHaveLength, 3)
			So(past[2].Note.ID, ShouldEqual, "one")
		})
		Convey("rejects a note that the endpoints cannot hold, with the memory sizes", t, func() {
			_, err := r.controllers["c0"].Publish(background, rlbnote.Note{ID: "four", Base: 3, Add: rlbnote.Items{Models: models("v1", "huge")}})
			So(rlbnote.Is(err, rlbnote.KindInfeasible), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "model huge needs 90GiB on one endpoint")
		})
		Convey("rejects a version that is not in the weight store", t, func() {
			_, err := r.controllers["c0"].Publish(background, rlbnote.Note{ID: "five", Base: 3, Add: rlbnote.Items{Models: models("v1", "stranger")}})
			So(rlbnote.Is(err, rlbnote.KindInvalid), ShouldBeTrue)
		})
	})
}

func TestChangedAndWithdrawn(t *testing.T) {
	withFleet(t, 3, 3, func(r *testFleet) {
		Convey("loads a changed version before it unloads the old one, and unloads a withdrawn model", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			r.requireReachable("a", "b", "c")
			r.publishAndWait("c1", rlbnote.Note{ID: "two", Base: 1, Change: rlbnote.Items{Models: models("v2", "a", "b", "c")}})
			time.Sleep(10 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				So(r.ready(name, "v2"), ShouldNotBeEmpty)
				So(r.ready(name, "v1"), ShouldBeEmpty)
			}
			r.requireReachable("a", "b")
			r.publishAndWait("c2", rlbnote.Note{ID: "three", Base: 2, Withdraw: rlbnote.Names{Models: []string{"c"}}})
			So(r.ready("c", "v2"), ShouldBeEmpty)
		})
	})
}

func TestFullMemory(t *testing.T) {
	withFleet(t, 3, 3, func(r *testFleet) {
		Convey("moves a small model to make room for a large one when each endpoint holds a small one", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			r.requireReachable("a", "b", "c")
			r.publishAndWait("c0", rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "big")}})
			time.Sleep(20 * time.Second)
			So(r.ready("big", "v1"), ShouldHaveLength, 1)
		})
	})
}

func TestFullMemoryWithoutAnswers(t *testing.T) {
	withFleet(t, 3, 3, func(r *testFleet) {
		Convey("makes room for a large model although one write loses its answer every 700 ms", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			r.requireReachable("a", "b", "c")
			r.publishAndWait("c0", rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "big")}})
			for range 60 {
				r.objects.Inject(rlbfake.FaultAnswerLost)
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			So(r.ready("big", "v1"), ShouldHaveLength, 1)
		})
	})
}

func TestLeaseHolderDies(t *testing.T) {
	withFleet(t, 3, 6, func(r *testFleet) {
		Convey("the other controllers acquire the leases of a killed one and continue to load models", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a")}})
			r.controllers["c0"].kill()
			r.mu.Lock()
			delete(r.controllers, "c0")
			r.mu.Unlock()
			r.requireReachable("a")
			time.Sleep(15 * time.Second)
			held := map[string]bool{}
			for _, c := range r.controllers {
				for _, process := range c.Status().Processes {
					for _, domain := range process.Leases {
						held[domain] = held[domain] || process.Silent < heartbeatTimeout.Seconds()
					}
				}
			}
			So(held, ShouldResemble, map[string]bool{"d0": true, "d1": true, "d2": true})
			r.publishAndWait("c1", rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "b", "c")}})
			So(r.ready("b", "v1"), ShouldNotBeEmpty)
			So(r.ready("c", "v1"), ShouldNotBeEmpty)
		})
	})
}

func TestEndpointLost(t *testing.T) {
	withFleet(t, 3, 6, func(r *testFleet) {
		Convey("loads the models of an unreachable endpoint elsewhere, and lists the endpoint again on its return", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			lost := r.ready("a", "v1")[0]
			r.setDown(lost, true)
			time.Sleep(30 * time.Second)
			So(r.ready("a", "v1"), ShouldNotBeEmpty)
			r.requireReachable("a", "b", "c")
			r.setDown(lost, false)
			time.Sleep(10 * time.Second)
			So(r.controllers["c0"].Status().Endpoints, ShouldHaveLength, 6)
		})
	})
}

func TestLostOrders(t *testing.T) {
	withFleet(t, 3, 4, func(r *testFleet) {
		Convey("orders without an answer take effect exactly once", t, func() {
			for _, e := range r.engines {
				e.dropAnswers(2)
			}
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			time.Sleep(20 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				So(r.ready(name, "v1"), ShouldHaveLength, 1)
			}
		})
	})
}

func TestOutage(t *testing.T) {
	withFleet(t, 3, 6, func(r *testFleet) {
		Convey("keeps the note and sends no orders for ten minutes without the object API, then recovers", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			r.requireReachable("b", "c")
			r.objects.SetDown(true)
			_, err := r.controllers["c0"].Publish(background, rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "big")}})
			So(rlbobject.Is(err, rlbobject.KindUnavailable), ShouldBeTrue)
			fresh := r.startController(t, "c9", "d0")
			time.Sleep(5 * time.Second)
			So(fresh.Note().Version, ShouldEqual, 1) // received from its peers
			for _, id := range r.ready("a", "v1") {
				if len(r.ready("b", "v1")) == 0 || r.ready("b", "v1")[0] != id {
					r.setDown(id, true)
				}
			}
			time.Sleep(10 * time.Minute)
			r.assertVersion(1)
			for _, c := range r.controllers {
				for _, process := range c.Status().Processes {
					So(process.Leases, ShouldBeEmpty) // without leases no orders are sent
				}
			}
			r.objects.SetDown(false)
			before, beforeWrites := r.objects.Calls()
			time.Sleep(10 * time.Second)
			after, afterWrites := r.objects.Calls()
			So(after-before, ShouldBeLessThan, 10*200) // the object API allows 2,000 reads per second
			So(afterWrites-beforeWrites, ShouldBeLessThan, 10*30)
			time.Sleep(20 * time.Second)
			So(r.ready("a", "v1"), ShouldNotBeEmpty)
			r.requireReachable("b")
			r.publishAndWait("c1", rlbnote.Note{ID: "two", Base: 1, Withdraw: rlbnote.Names{Models: []string{"c"}}})
			r.assertVersion(2)
		})
	})
}

func TestSpareReplicas(t *testing.T) {
	withReplicas(t, 2, 3, 6, func(r *testFleet) {
		Convey("with spare replicas the loss of one endpoint makes no model unreachable, even during an outage of the object API", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b", "c")}})
			time.Sleep(20 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				So(r.ready(name, "v1"), ShouldHaveLength, 2)
			}
			r.requireReachable("a", "b", "c")
			r.objects.SetDown(true)
			r.setDown(r.ready("a", "v1")[0], true)
			time.Sleep(time.Minute)
			r.objects.SetDown(false)
			time.Sleep(time.Minute)
			So(r.ready("a", "v1"), ShouldHaveLength, 2)
		})
	})
}

// subscribeDraining subscribes to a controller as a gateway does. The returned
// function reports whether an update showed that an engine is draining.
func (r *testFleet) subscribeDraining(at string) (isDraining func(id string) bool, stop func()) {
	var mu sync.Mutex
	draining := map[string]bool{}
	_, stop = rlblink.NewClient(background, rlblink.ClientOpts{
		Log: r.controllers[at].Log, Dial: r.network.Dial, Scope: rlbfleetstate.ScopeAll, IdleTimeout: heartbeatTimeout, ReportInterval: time.Second,
		Addresses:   func() []string { return []string{at} },
		BuildReport: func() rlbfleetstate.Update { return rlbfleetstate.Update{} },
		ApplyUpdate: func(u rlbfleetstate.Update) {
			mu.Lock()
			defer mu.Unlock()
			for _, e := range u.Engines {
				draining[e.ID] = e.Draining
			}
		},
	})
	return func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return draining[id]
	}, stop
}

func TestLeavingEndpoint(t *testing.T) {
	withFleet(t, 3, 6, func(r *testFleet) {
		Convey("gateways receive within 2 s that an endpoint drains although the instance list does not show it, and its model is loaded elsewhere", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a")}})
			r.requireReachable("a")
			leaving := r.ready("a", "v1")[0]
			var subscribers []func(string) bool
			for _, at := range []string{"c0", "c1", "c2"} {
				isDraining, stop := r.subscribeDraining(at)
				defer stop()
				subscribers = append(subscribers, isDraining)
			}
			time.Sleep(time.Second)
			r.engines[leaving].Drain()
			time.Sleep(2 * time.Second)
			for _, isDraining := range subscribers {
				So(isDraining(leaving), ShouldBeTrue)
			}
			time.Sleep(20 * time.Second)
			So(len(r.ready("a", "v1")), ShouldEqual, 2) // the draining endpoint keeps its replica, so that its requests can end
		})
	})
}

func TestSlowObjects(t *testing.T) {
	withReplicas(t, 2, 3, 6, func(r *testFleet) {
		Convey("keeps the note and the models while each call of the object API takes 5 s, and sends orders again afterwards", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b")}})
			time.Sleep(10 * time.Second)
			r.requireReachable("a", "b")
			r.objects.SetDelay(5 * time.Second)
			r.setDown(r.ready("a", "v1")[0], true)
			time.Sleep(2 * time.Minute)
			r.assertVersion(1)
			r.objects.SetDelay(0)
			time.Sleep(30 * time.Second)
			So(r.ready("a", "v1"), ShouldHaveLength, 2)
			r.publishAndWait("c1", rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "c")}})
			So(r.ready("c", "v1"), ShouldNotBeEmpty)
		})
	})
}

func TestFailureDomainLost(t *testing.T) {
	withReplicas(t, 2, 3, 6, func(r *testFleet) {
		Convey("after the loss of a failure domain every model stays reachable and gets new spare replicas; the domain is used again on its return", t, func() {
			r.publishAndWait("c0", rlbnote.Note{ID: "one", Add: rlbnote.Items{Models: models("v1", "a", "b")}})
			time.Sleep(20 * time.Second)
			r.requireReachable("a", "b")
			r.controllers["c2"].kill()
			r.mu.Lock()
			delete(r.controllers, "c2")
			r.mu.Unlock()
			r.setDown("e2", true)
			r.setDown("e5", true)
			time.Sleep(time.Minute)
			So(r.ready("a", "v1"), ShouldHaveLength, 2)
			So(r.ready("b", "v1"), ShouldHaveLength, 2)
			r.setDown("e2", false)
			r.setDown("e5", false)
			before := r.orderCount() // taken after the restart, as an engine's record ends with its incarnation
			r.startController(t, "c2", "d2")
			time.Sleep(time.Minute)
			So(r.orderCount(), ShouldEqual, before) // replicas are not moved back without need
			r.publishAndWait("c2", rlbnote.Note{ID: "two", Base: 1, Add: rlbnote.Items{Models: models("v1", "c")}})
			time.Sleep(20 * time.Second)
			So(r.ready("c", "v1"), ShouldHaveLength, 2)
		})
	})
}

func TestClaims(t *testing.T) {
	withFleet(t, 3, 1, func(r *testFleet) {
		claim := func(at string, run byte) rlbclaim.Status {
			entry := rlbclaim.Entry{Key: rlbclaim.HashKey("k"), Run: rlbclaim.RunID{run}, Deadline: time.Now().Add(time.Hour).Unix()}
			body, err := msgpack.Marshal(rlbclaim.Operation{Verb: rlbclaim.VerbClaim, Entry: entry})
			So(err, ShouldBeNil)
			answer, err := r.controllers[at].HandleCall(background, rlbclaim.MethodClaim, body)
			So(err, ShouldBeNil)
			return answer.(rlbclaim.Result).Status
		}
		Convey("grants a key to the first run at any controller and not to a second run at another", t, func() {
			So(claim("c0", 1), ShouldEqual, rlbclaim.Granted)
			So(claim("c1", 2), ShouldEqual, rlbclaim.Taken)
		})
		Convey("does not grant the key again after all controllers restart, nor with a different claim_shards", t, func() {
			for _, id := range []string{"c0", "c1", "c2"} {
				r.controllers[id].kill()
			}
			fresh := r.startController(t, "c0", "d0")
			So(fresh.Settings.Override("controller.claim_shards=7"), ShouldBeNil)
			time.Sleep(5 * time.Second)
			So(claim("c0", 3), ShouldEqual, rlbclaim.Taken)
			So(fresh.Snapshot().Claims, ShouldEqual, 1)
		})
		Convey("a new key is unavailable while the object API is down", t, func() {
			r.objects.SetDown(true)
			So(claim("c0", 4), ShouldEqual, rlbclaim.Taken) // this controller has loaded the shard
			other := r.startController(t, "c1", "d1")
			time.Sleep(time.Second)
			body, err := msgpack.Marshal(rlbclaim.Operation{Entry: rlbclaim.Entry{Key: rlbclaim.HashKey("new"), Run: rlbclaim.RunID{5}}})
			So(err, ShouldBeNil)
			answer, err := other.HandleCall(background, rlbclaim.MethodClaim, body)
			So(err, ShouldBeNil)
			So(answer.(rlbclaim.Result).Status, ShouldEqual, rlbclaim.Unavailable)
			r.objects.SetDown(false)
		})
	})
}

package rlbmembership

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	. "github.com/smartystreets/goconvey/convey"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("c%d", i)
	}
	return all
}

func TestRendezvous(t *testing.T) {
	const keys, members = 10_000, 33
	all := names(members)
	Convey("shares are even within 20%", t, func() {
		share := map[string]int{}
		for k := range keys {
			share[Owner(fmt.Sprint(k), all)]++
		}
		for _, m := range all {
			So(share[m], ShouldBeBetween, keys/members*4/5, keys/members*6/5)
		}
	})
	Convey("when a member leaves, only its own keys move", t, func() {
		for k := range keys {
			key := fmt.Sprint(k)
			before, after := Owner(key, all), Owner(key, all[1:])
			So(before == after || before == all[0], ShouldBeTrue)
		}
	})
	Convey("ranks match the order of members and do not depend on the order of the input", t, func() {
		reversed := make([]string, 0, members)
		for i := range all {
			reversed = append(reversed, all[members-1-i])
		}
		for i, m := range Ordered("k", all) {
			So(Rank("k", m, reversed), ShouldEqual, i)
		}
		So(Owner("k", all), ShouldEqual, Ordered("k", all)[0])
		So(Rank("k", "stranger", all), ShouldEqual, -1)
	})
}

// stateOf returns the state of controller c0 with the last heartbeats of other
// controllers and the platform's list.
func stateOf(lastHeartbeats map[string]time.Time, list rlbinstance.List) *rlbfleetstate.State {
	state := rlbfleetstate.New()
	for id, at := range lastHeartbeats {
		state.MergeHeartbeat(rlbfleetstate.Process{ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessController, ID: id}, FailureDomain: "x", Address: id}, rlbfleetstate.OriginSameDomain, at)
	}
	state.MergeInstanceList(list)
	return state
}

func ids(live []Controller) (all []string) {
	for _, c := range live {
		all = append(all, c.ID)
	}
	return all
}

func TestLiveControllers(t *testing.T) {
	now := time.Unix(1000, 0)
	opts := Opts{Self: Controller{ID: "c0", FailureDomain: "x"}, HeartbeatTimeout: 2 * time.Second}
	lastHeartbeats := map[string]time.Time{"c1": now.Add(-time.Second), "c2": now.Add(-3 * time.Second)}
	entry := func(id string, leaving bool) rlbinstance.Instance {
		return rlbinstance.Instance{ID: id, Type: rlbinstance.TypeLoadBalancer, Control: id, Leaving: leaving}
	}
	Convey("heartbeats decide which controllers are live, even if the list still has a failed one and lacks a new one", t, func() {
		state := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c2", false), entry("c3", false)}})
		So(ids(LiveControllers(state, now, opts)), ShouldResemble, []string{"c0", "c1"})
	})
	Convey("a controller listed as leaving is live but not active", t, func() {
		state := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c1", true)}})
		live := LiveControllers(state, now, opts)
		So(ids(live), ShouldResemble, []string{"c0", "c1"})
		So(ActiveControllers(live, "x"), ShouldResemble, []string{"c0"})
	})
	Convey("a failure domain without controllers is served by controllers of other domains", t, func() {
		live := LiveControllers(stateOf(lastHeartbeats, rlbinstance.List{Revision: 1}), now, opts)
		So(ActiveControllers(live, "elsewhere"), ShouldResemble, []string{"c0", "c1"})
		So(Collector("e", ActiveControllers(live, "elsewhere")), ShouldBeIn, "c0", "c1")
	})
	Convey("calls of the object API do not grow with the fleet: the numbers of watchers and contenders are fixed", t, func() {
		lastHeartbeats := map[string]time.Time{}
		for _, id := range names(33) {
			lastHeartbeats[id] = now
		}
		live := LiveControllers(stateOf(lastHeartbeats, rlbinstance.List{Revision: 1}), now, opts)
		watchers, contenders := 0, 0
		for _, c := range live {
			if IsWatcher(c, live, 2) {
				watchers++
			}
			if IsContender(c.ID, "x", live) {
				contenders++
			}
		}
		So(live, ShouldHaveLength, 33)
		So(watchers, ShouldEqual, 2)
		So(contenders, ShouldEqual, 2)
	})
	Convey("peers come from the list and the heartbeats, without leaving controllers", t, func() {
		state := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c3", false), entry("c4", true)}})
		peers := Peers(state, opts.Self, []string{"c9"})
		So(peers, ShouldHaveLength, 3)
		for _, id := range []string{"c1", "c2", "c3"} {
			So(peers, ShouldContainKey, id)
		}
	})
	Convey("a controller without known peers uses the configured addresses", t, func() {
		So(Peers(rlbfleetstate.New(), opts.Self, []string{"c9"}), ShouldResemble, map[string]rlbfleetstate.Scope{"c9": rlbfleetstate.ScopeOtherDomain})
	})
	Convey("a configured address is used until a controller is known there, even if others are known, as those do not tell of it", t, func() {
		state := stateOf(nil, rlbinstance.List{Revision: 1})
		known := func(id string) {
			state.MergeHeartbeat(rlbfleetstate.Process{ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessController, ID: id}, FailureDomain: "domain of " + id, Address: id}, rlbfleetstate.OriginOtherDomain, now)
		}
		known("c1")
		So(Peers(state, opts.Self, []string{"c1", "c9"}), ShouldResemble, map[string]rlbfleetstate.Scope{"c1": rlbfleetstate.ScopeOtherDomain, "c9": rlbfleetstate.ScopeOtherDomain})
		known("c8")
		So(Peers(state, opts.Self, []string{"c1", "c8"}), ShouldHaveLength, 2)
	})
	Convey("with 720 controllers in 22 domains, each receives from its own domain and from few others, and every pair of domains is linked", t, func() {
		state, all := rlbfleetstate.New(), []Controller{}
		for i := range 720 {
			c := Controller{ID: fmt.Sprint("c", i), FailureDomain: fmt.Sprint("d", i%22), Address: fmt.Sprint("a", i)}
			all = append(all, c)
			state.MergeHeartbeat(rlbfleetstate.Process{ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessController, ID: c.ID}, FailureDomain: c.FailureDomain, Address: c.Address}, rlbfleetstate.OriginOtherDomain, now)
		}
		pairs, links, most := map[string]bool{}, 0, 0
		for _, c := range all {
			foreign := 0
			for address, scope := range Peers(state, c, nil) {
				links++
				if scope == rlbfleetstate.ScopeOtherDomain {
					foreign++
					var i int
					_, err := fmt.Sscanf(address, "a%d", &i)
					So(err, ShouldBeNil)
					pairs[c.FailureDomain+all[i].FailureDomain] = true
				}
			}
			most = max(most, foreign)
		}
		So(pairs, ShouldHaveLength, 22*21)
		So(links, ShouldBeLessThan, 720*(33+4))
		So(most, ShouldBeLessThan, 16)
	})
}

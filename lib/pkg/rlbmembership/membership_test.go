package rlbmembership

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
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
	Convey("shares are even within a fifth", t, func() {
		share := map[string]int{}
		for k := range keys {
			share[Owner(fmt.Sprint(k), all)]++
		}
		for _, m := range all {
			So(share[m], ShouldBeBetween, keys/members*4/5, keys/members*6/5)
		}
	})
	Convey("when a member goes only its own keys move", t, func() {
		for k := range keys {
			key := fmt.Sprint(k)
			before, after := Owner(key, all), Owner(key, all[1:])
			So(before == after || before == all[0], ShouldBeTrue)
		}
	})
	Convey("ranks agree with the order, whatever the order of the list", t, func() {
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

// stateOf is what controller c0 knows of controllers that were heard at given
// times, and of the platform's list.
func stateOf(lastHeartbeats map[string]time.Time, list rlbinstance.List) *rlbworld.World {
	w := rlbworld.New()
	for id, at := range lastHeartbeats {
		w.MergeNode(rlbworld.Node{NodeKey: rlbworld.NodeKey{Type: rlbworld.NodeController, ID: id}, FailureDomain: "x", Address: id}, rlbworld.OriginDomain, at)
	}
	w.MergeList(list)
	return w
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
		return rlbinstance.Instance{ID: id, Type: rlbinstance.TypeEntry, Control: id, Leaving: leaving}
	}
	Convey("heartbeats decide, although the list still has the dead and lacks the new", t, func() {
		w := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c2", false), entry("c3", false)}})
		So(ids(LiveControllers(w, now, opts)), ShouldResemble, []string{"c0", "c1"})
	})
	Convey("one that the list calls leaving is alive but takes no duties", t, func() {
		w := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c1", true)}})
		live := LiveControllers(w, now, opts)
		So(ids(live), ShouldResemble, []string{"c0", "c1"})
		So(ActiveControllers(live, "x"), ShouldResemble, []string{"c0"})
	})
	Convey("a failure domain without controllers is served by the others", t, func() {
		live := LiveControllers(stateOf(lastHeartbeats, rlbinstance.List{Revision: 1}), now, opts)
		So(ActiveControllers(live, "elsewhere"), ShouldResemble, []string{"c0", "c1"})
		So(Collector("e", ActiveControllers(live, "elsewhere")), ShouldBeIn, "c0", "c1")
	})
	Convey("calls of the object API do not grow with the fleet: few watch and few contend", t, func() {
		heard := map[string]time.Time{}
		for _, id := range names(33) {
			heard[id] = now
		}
		live := LiveControllers(stateOf(heard, rlbinstance.List{Revision: 1}), now, opts)
		watch, contend := 0, 0
		for _, c := range live {
			if IsWatcher(c, live, 2) {
				watch++
			}
			if IsContender(c.ID, "x", live) {
				contend++
			}
		}
		So(live, ShouldHaveLength, 33)
		So(watch, ShouldEqual, 2)
		So(contend, ShouldEqual, 2)
	})
	Convey("peers come from settings, list and heartbeats, without the leaving", t, func() {
		w := stateOf(lastHeartbeats, rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{entry("c3", false), entry("c4", true)}})
		peers := Peers(w, opts.Self, []string{"c9"})
		So(peers, ShouldHaveLength, 3)
		for _, id := range []string{"c1", "c2", "c3"} {
			So(peers, ShouldContainKey, id)
		}
	})
	Convey("who knows nobody yet listens to the configured addresses", t, func() {
		So(Peers(rlbworld.New(), opts.Self, []string{"c9"}), ShouldResemble, map[string]rlbworld.Scope{"c9": rlbworld.ScopeForeign})
	})
	Convey("at 720 controllers in 22 domains one listens to its own domain and to few others, and every pair of domains is linked", t, func() {
		w, all := rlbworld.New(), []Controller{}
		for i := range 720 {
			c := Controller{ID: fmt.Sprint("c", i), FailureDomain: fmt.Sprint("d", i%22), Address: fmt.Sprint("a", i)}
			all = append(all, c)
			w.MergeNode(rlbworld.Node{NodeKey: rlbworld.NodeKey{Type: rlbworld.NodeController, ID: c.ID}, FailureDomain: c.FailureDomain, Address: c.Address}, rlbworld.OriginForeign, now)
		}
		pairs, links, most := map[string]bool{}, 0, 0
		for _, c := range all {
			foreign := 0
			for address, scope := range Peers(w, c, nil) {
				links++
				if scope == rlbworld.ScopeForeign {
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

package rlbfleetstate

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the drawn cases, so that each run has the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

// TestNoteNeverReverts draws instances that restart empty, read the object API
// late and hear from one another in any order: what an instance serves never
// goes down within its life, and a restarted one that heard from any peer is
// not behind what that peer had then.
func TestNoteNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		worlds := make([]*State, instances)
		cursors := make([][]*Cursor, instances)
		reset := func(i int) {
			worlds[i] = New()
			for j := range cursors {
				if cursors[j] == nil {
					cursors[j] = make([]*Cursor, instances)
				}
				cursors[i][j], cursors[j][i] = NewCursor(ScopeAll), NewCursor(ScopeAll)
			}
		}
		for i := range instances {
			reset(i)
		}
		published := []rlbnote.State{{}}
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			before := worlds[i].Note().Version
			switch rapid.SampledFrom([]string{"publish", "read", "hear", "hear", "restart"}).Draw(t, "event") {
			case "publish":
				last := published[len(published)-1]
				next, err := last.Apply(rlbnote.Note{ID: "n", Base: last.Version}, start)
				if err != nil {
					t.Fatal(err)
				}
				published = append(published, next)
			case "read": // also a stale one
				worlds[i].MergeNote(published[rapid.IntRange(0, len(published)-1).Draw(t, "version")])
			case "hear":
				j := rapid.IntRange(0, instances-1).Draw(t, "peer")
				told := worlds[j].Delta(cursors[j][i])
				if rapid.Bool().Draw(t, "lost") {
					cursors[j][i] = NewCursor(ScopeAll) // the link ended, a new one begins anew
					break
				}
				worlds[i].Merge(told, OriginSameDomain, start)
				if worlds[i].Note().Version < worlds[j].Note().Version {
					t.Fatalf("instance %d has %d after hearing from one with %d", i, worlds[i].Note().Version, worlds[j].Note().Version)
				}
			case "restart":
				reset(i)
				before = 0
			}
			if worlds[i].Note().Version < before {
				t.Fatalf("instance %d went from %d to %d", i, before, worlds[i].Note().Version)
			}
		}
	})
}

func engineReport(incarnation, sequence, report uint64, running int) rlbengine.State {
	return rlbengine.State{ID: "e", Incarnation: incarnation, Sequence: sequence, Report: report, Load: rlbengine.Load{Running: running}}
}

func TestLateReports(t *testing.T) {
	Convey("a late report of an engine changes nothing", t, func() {
		w := New()
		w.MergeEngineState(engineReport(2, 5, 9, 3), start)
		w.MergeEngineState(engineReport(2, 4, 8, 1), start)
		w.MergeEngineState(engineReport(1, 7, 90, 2), start)
		row, _ := w.Engines().Get("e")
		load, _ := w.Loads().Get("e")
		So(row.Sequence, ShouldEqual, 5)
		So(load.Running, ShouldEqual, 3)
		w.MergeEngineState(engineReport(3, 0, 0, 0), start)
		row, _ = w.Engines().Get("e")
		So(row.Incarnation, ShouldEqual, 3)
	})
}

func TestUnreachableEngine(t *testing.T) {
	Convey("that an engine is lost reaches those who had its row, and so does its return", t, func() {
		collector, other := New(), New()
		cursor := NewCursor(ScopeSameDomain)
		lost := func() bool {
			other.Merge(collector.Delta(cursor), OriginSameDomain, start)
			row, _ := other.Engines().Get("e")
			return row.Unreachable
		}
		collector.MergeEngineState(engineReport(1, 1, 1, 0), start)
		So(lost(), ShouldBeFalse)
		So(collector.SetUnreachable("e", true), ShouldBeTrue)
		So(collector.SetUnreachable("e", true), ShouldBeFalse)
		So(lost(), ShouldBeTrue)
		collector.MergeEngineState(engineReport(1, 1, 2, 0), start)
		So(lost(), ShouldBeFalse)
	})
}

func TestInstanceList(t *testing.T) {
	list := func(revision uint64, instances ...rlbinstance.Instance) rlbinstance.List {
		return rlbinstance.List{Revision: revision, Instances: instances}
	}
	serves := func(w *State, id string) bool {
		i, known := w.Instances().Get(id)
		return known && i.Serves()
	}
	a, leaving := rlbinstance.Instance{ID: "a"}, rlbinstance.Instance{ID: "a", Leaving: true}
	Convey("a leaving instance does not come back through an older list", t, func() {
		w, other := New(), New()
		w.MergeInstanceList(list(5, a))
		So(serves(w, "a"), ShouldBeTrue)
		w.MergeInstanceList(list(7, leaving))
		other.MergeInstanceList(list(6, a))
		w.Merge(other.Delta(NewCursor(ScopeAll)), OriginSameDomain, start)
		So(serves(w, "a"), ShouldBeFalse)
	})
	Convey("one that is missing is removed, also for those who hear it from a peer", t, func() {
		w, other := New(), New()
		w.MergeInstanceList(list(5, a))
		cursor := NewCursor(ScopeAll)
		other.Merge(w.Delta(cursor), OriginSameDomain, start)
		w.MergeInstanceList(list(6))
		other.Merge(w.Delta(cursor), OriginSameDomain, start)
		So(serves(other, "a"), ShouldBeFalse)
	})
}

func TestScopes(t *testing.T) {
	told := func(scope Scope, origin Origin) int {
		w := New()
		w.Merge(Update{
			Engines: []Engine{{ID: "e", Incarnation: 1}}, Loads: []Load{{ID: "e", Incarnation: 1}},
			Nodes: []Node{{NodeKey: NodeKey{NodeController, "x"}, Epoch: 1}}, Instances: []Instance{{Revision: 1}},
		}, origin, start)
		u := w.Delta(NewCursor(scope))
		return len(u.Engines) + len(u.Loads) + len(u.Nodes) + len(u.Instances)
	}
	Convey("a row goes on by its origin: within a domain from its collector, between domains from the domain it is of", t, func() {
		const everything = 4
		for _, origin := range []Origin{OriginSelf, OriginSameDomain, OriginOtherDomain} {
			So(told(ScopeAll, origin), ShouldEqual, everything)
		}
		So(told(ScopeSameDomain, OriginSelf), ShouldEqual, everything)
		So(told(ScopeSameDomain, OriginSameDomain), ShouldEqual, 0)
		So(told(ScopeSameDomain, OriginOtherDomain), ShouldEqual, everything)
		So(told(ScopeOtherDomain, OriginSelf), ShouldEqual, everything)
		So(told(ScopeOtherDomain, OriginSameDomain), ShouldEqual, everything)
		So(told(ScopeOtherDomain, OriginOtherDomain), ShouldEqual, 0)
	})
	Convey("of a large domain other domains hear no loads, and of nodes those with its summary", t, func() {
		w := New()
		for i := range maxOtherDomainLoads + 1 {
			id := fmt.Sprint(i)
			w.MergeEngineState(rlbengine.State{ID: id, Incarnation: 1}, start)
			w.MergeNode(Node{NodeKey: NodeKey{NodeGateway, id}, Epoch: 1}, OriginSameDomain, start)
		}
		w.MergeNode(Node{NodeKey: NodeKey{NodeController, "x"}, Epoch: 1, Domain: &DomainSummary{Gateways: 65}}, OriginSelf, start)
		u := w.Delta(NewCursor(ScopeOtherDomain))
		So(u.Loads, ShouldBeEmpty)
		So(u.Nodes, ShouldHaveLength, 1)
		So(u.Engines, ShouldHaveLength, maxOtherDomainLoads+1)
	})
}

func TestRoundTrip(t *testing.T) {
	Convey("an update is the same after its way over the wire", t, func() {
		w := New()
		w.MergeEngineState(engineReport(1, 1, 1, 1), start)
		w.MergeNode(Node{NodeKey: NodeKey{NodeGateway, "g"}, Epoch: 1, Demand: []Demand{{Model: "m", Requests: 2}}}, OriginSelf, start)
		w.MergeCrash(Crash{CrashKey: CrashKey{1, "e", 1}, Deadline: 9})
		w.MergeInstanceList(rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{{ID: "a", Fencing: true}}})
		sent := w.Delta(NewCursor(ScopeAll))
		body, err := msgpack.Marshal(sent)
		So(err, ShouldBeNil)
		var got Update
		So(rlbmsgpack.Unmarshal(body, &got), ShouldBeNil)
		So(got, ShouldResemble, sent)
	})
}

func TestDropRemoved(t *testing.T) {
	Convey("an instance that is gone is forgotten after an hour, and a late copy does not bring it back", t, func() {
		w := New()
		a := rlbinstance.Instance{ID: "e"}
		w.MergeInstanceList(rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{a}})
		w.MergeEngineState(engineReport(1, 1, 1, 0), start)
		w.MergeInstanceList(rlbinstance.List{Revision: 2})
		w.Expire(start, start)
		w.Expire(start.Add(removedRetention-time.Second), start)
		So(w.Instances().Len()+w.Engines().Len()+w.Loads().Len(), ShouldEqual, 3)
		w.Expire(start.Add(removedRetention), start)
		So(w.Instances().Len()+w.Engines().Len()+w.Loads().Len(), ShouldEqual, 0)
		w.Merge(Update{Instances: []Instance{{Instance: a, Revision: 1}}}, OriginSameDomain, start)
		So(w.Instances().Len(), ShouldEqual, 0)
	})
}

func TestExpire(t *testing.T) {
	Convey("strikes past their deadline and silent nodes are dropped", t, func() {
		w := New()
		w.MergeCrash(Crash{CrashKey: CrashKey{1, "e", 1}, Deadline: start.Unix() + 10})
		w.MergeNode(Node{NodeKey: NodeKey{NodeGateway, "g"}, Epoch: 1}, OriginSelf, start)
		w.Expire(start.Add(9*time.Second), start.Add(-time.Second))
		So(w.Crashes().Len()+w.Nodes().Len(), ShouldEqual, 2)
		w.Expire(start.Add(10*time.Second), start.Add(time.Second))
		So(w.Crashes().Len()+w.Nodes().Len(), ShouldEqual, 0)
	})
}

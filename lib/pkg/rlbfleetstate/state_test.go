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

// TestMain fixes the seed of rapid, so that every run generates the same cases.
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

// TestNoteNeverReverts generates instances that restart with an empty state, read
// stale versions from the object API and receive updates from each other in any
// order. The note version of an instance must never decrease within one
// incarnation, and an instance that received an update from a peer must have at
// least the version that the peer had at that time.
func TestNoteNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		states := make([]*State, instances)
		cursors := make([][]*Cursor, instances)
		reset := func(i int) {
			states[i] = New()
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
			before := states[i].Note().Version
			switch rapid.SampledFrom([]string{"publish", "read", "receive", "receive", "restart"}).Draw(t, "event") {
			case "publish":
				last := published[len(published)-1]
				next, err := last.Apply(rlbnote.Note{ID: "n", Base: last.Version}, start)
				if err != nil {
					t.Fatal(err)
				}
				published = append(published, next)
			case "read": // the version read can be stale
				states[i].MergeNote(published[rapid.IntRange(0, len(published)-1).Draw(t, "version")])
			case "receive": // an update from a peer
				j := rapid.IntRange(0, instances-1).Draw(t, "peer")
				update := states[j].Delta(cursors[j][i])
				if rapid.Bool().Draw(t, "lost") {
					cursors[j][i] = NewCursor(ScopeAll) // the link broke; a new link starts from an empty cursor
					break
				}
				states[i].Merge(update, OriginSameDomain, start)
				if states[i].Note().Version < states[j].Note().Version {
					t.Fatalf("instance %d has version %d after an update from a peer with version %d", i, states[i].Note().Version, states[j].Note().Version)
				}
			case "restart":
				reset(i)
				before = 0
			}
			if states[i].Note().Version < before {
				t.Fatalf("note version of instance %d went from %d to %d", i, before, states[i].Note().Version)
			}
		}
	})
}

func engineReport(incarnation, sequence, report uint64, running int) rlbengine.State {
	return rlbengine.State{ID: "e", Incarnation: incarnation, Sequence: sequence, Report: report, Load: rlbengine.Load{Running: running}}
}

func TestLateReports(t *testing.T) {
	Convey("a late report of an engine changes nothing", t, func() {
		s := New()
		s.MergeEngineState(engineReport(2, 5, 9, 3), start)
		s.MergeEngineState(engineReport(2, 4, 8, 1), start)
		s.MergeEngineState(engineReport(1, 7, 90, 2), start)
		row, _ := s.Engines().Get("e")
		load, _ := s.Loads().Get("e")
		So(row.Sequence, ShouldEqual, 5)
		So(load.Running, ShouldEqual, 3)
		s.MergeEngineState(engineReport(3, 0, 0, 0), start)
		row, _ = s.Engines().Get("e")
		So(row.Incarnation, ShouldEqual, 3)
	})
}

func TestCollectorReplaced(t *testing.T) {
	Convey("a new collector of an engine sends its row to those that the failed one did not reach, even if the engine has not changed", t, func() {
		failed, next := New(), New()
		failed.MergeEngineState(engineReport(1, 5, 9, 3), start)
		cursor := NewCursor(ScopeSameDomain)
		next.Merge(failed.Delta(NewCursor(ScopeSameDomain)), OriginSameDomain, start)
		So(next.Delta(cursor).Engines, ShouldBeEmpty)
		next.MergeEngineState(engineReport(1, 5, 10, 3), start)
		update := next.Delta(cursor)
		So(update.Engines, ShouldHaveLength, 1)
		So(update.Loads, ShouldHaveLength, 1)
		Convey("and only once", func() {
			next.MergeEngineState(engineReport(1, 5, 11, 3), start)
			update := next.Delta(cursor)
			So(update.Engines, ShouldBeEmpty)
			So(update.Loads, ShouldBeEmpty)
		})
	})
}

func TestUnreachableEngine(t *testing.T) {
	Convey("subscribers receive that an engine became unreachable, and that it is reachable again", t, func() {
		collector, other := New(), New()
		cursor := NewCursor(ScopeSameDomain)
		unreachable := func() bool {
			other.Merge(collector.Delta(cursor), OriginSameDomain, start)
			row, _ := other.Engines().Get("e")
			return row.Unreachable
		}
		collector.MergeEngineState(engineReport(1, 1, 1, 0), start)
		So(unreachable(), ShouldBeFalse)
		So(collector.SetUnreachable("e", true), ShouldBeTrue)
		So(collector.SetUnreachable("e", true), ShouldBeFalse)
		So(unreachable(), ShouldBeTrue)
		collector.MergeEngineState(engineReport(1, 1, 2, 0), start)
		So(unreachable(), ShouldBeFalse)
	})
}

func TestInstanceList(t *testing.T) {
	list := func(revision uint64, instances ...rlbinstance.Instance) rlbinstance.List {
		return rlbinstance.List{Revision: revision, Instances: instances}
	}
	serves := func(s *State, id string) bool {
		i, known := s.Instances().Get(id)
		return known && i.Serves()
	}
	a, leaving := rlbinstance.Instance{ID: "a"}, rlbinstance.Instance{ID: "a", Leaving: true}
	Convey("a leaving instance is not restored by an older list", t, func() {
		s, other := New(), New()
		s.MergeInstanceList(list(5, a))
		So(serves(s, "a"), ShouldBeTrue)
		s.MergeInstanceList(list(7, leaving))
		other.MergeInstanceList(list(6, a))
		s.Merge(other.Delta(NewCursor(ScopeAll)), OriginSameDomain, start)
		So(serves(s, "a"), ShouldBeFalse)
	})
	Convey("a missing instance is removed, also on instances that receive the list from a peer", t, func() {
		s, other := New(), New()
		s.MergeInstanceList(list(5, a))
		cursor := NewCursor(ScopeAll)
		other.Merge(s.Delta(cursor), OriginSameDomain, start)
		s.MergeInstanceList(list(6))
		other.Merge(s.Delta(cursor), OriginSameDomain, start)
		So(serves(other, "a"), ShouldBeFalse)
	})
}

func TestScopes(t *testing.T) {
	rowsSent := func(scope Scope, origin Origin) int {
		s := New()
		s.Merge(Update{
			Engines: []Engine{{ID: "e", Incarnation: 1}}, Loads: []Load{{ID: "e", Incarnation: 1}},
			Processes: []Process{{ProcessKey: ProcessKey{ProcessController, "x"}, StartedAt: 1}}, Instances: []Instance{{Revision: 1}},
		}, origin, start)
		u := s.Delta(NewCursor(scope))
		return len(u.Engines) + len(u.Loads) + len(u.Processes) + len(u.Instances)
	}
	Convey("rows are sent by origin: within a domain by the collecting instance, between domains by the domain that collected them", t, func() {
		const everything = 4
		for _, origin := range []Origin{OriginSelf, OriginSameDomain, OriginOtherDomain} {
			So(rowsSent(ScopeAll, origin), ShouldEqual, everything)
		}
		So(rowsSent(ScopeSameDomain, OriginSelf), ShouldEqual, everything)
		So(rowsSent(ScopeSameDomain, OriginSameDomain), ShouldEqual, 0)
		So(rowsSent(ScopeSameDomain, OriginOtherDomain), ShouldEqual, everything)
		So(rowsSent(ScopeOtherDomain, OriginSelf), ShouldEqual, everything)
		So(rowsSent(ScopeOtherDomain, OriginSameDomain), ShouldEqual, everything)
		So(rowsSent(ScopeOtherDomain, OriginOtherDomain), ShouldEqual, 0)
	})
	Convey("for a large domain, other domains receive no loads and only the processes with a domain summary", t, func() {
		s := New()
		for i := range maxOtherDomainLoads + 1 {
			id := fmt.Sprint(i)
			s.MergeEngineState(rlbengine.State{ID: id, Incarnation: 1}, start)
			s.MergeHeartbeat(Process{ProcessKey: ProcessKey{ProcessGateway, id}, StartedAt: 1}, OriginSameDomain, start)
		}
		s.MergeHeartbeat(Process{ProcessKey: ProcessKey{ProcessController, "x"}, StartedAt: 1, Domain: &DomainSummary{Gateways: 65}}, OriginSelf, start)
		u := s.Delta(NewCursor(ScopeOtherDomain))
		So(u.Loads, ShouldBeEmpty)
		So(u.Processes, ShouldHaveLength, 1)
		So(u.Engines, ShouldHaveLength, maxOtherDomainLoads+1)
	})
}

func TestRoundTrip(t *testing.T) {
	Convey("an update is unchanged by encoding and decoding", t, func() {
		s := New()
		s.MergeEngineState(engineReport(1, 1, 1, 1), start)
		s.MergeHeartbeat(Process{ProcessKey: ProcessKey{ProcessGateway, "g"}, StartedAt: 1, Demand: []Demand{{Model: "m", Requests: 2}}}, OriginSelf, start)
		s.MergeCrash(Crash{CrashKey: CrashKey{1, "e", 1}, Deadline: 9})
		s.MergeInstanceList(rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{{ID: "a", Fencing: true}}})
		sent := s.Delta(NewCursor(ScopeAll))
		body, err := msgpack.Marshal(sent)
		So(err, ShouldBeNil)
		var got Update
		So(rlbmsgpack.Unmarshal(body, &got), ShouldBeNil)
		So(got, ShouldResemble, sent)
	})
}

func TestDropRemoved(t *testing.T) {
	Convey("a removed instance is dropped after an hour, and a late copy does not restore it", t, func() {
		s := New()
		a := rlbinstance.Instance{ID: "e"}
		s.MergeInstanceList(rlbinstance.List{Revision: 1, Instances: []rlbinstance.Instance{a}})
		s.MergeEngineState(engineReport(1, 1, 1, 0), start)
		s.MergeInstanceList(rlbinstance.List{Revision: 2})
		s.Expire(start, start)
		s.Expire(start.Add(removedRetention-time.Second), start)
		So(s.Instances().Len()+s.Engines().Len()+s.Loads().Len(), ShouldEqual, 3)
		s.Expire(start.Add(removedRetention), start)
		So(s.Instances().Len()+s.Engines().Len()+s.Loads().Len(), ShouldEqual, 0)
		s.Merge(Update{Instances: []Instance{{Instance: a, Revision: 1}}}, OriginSameDomain, start)
		So(s.Instances().Len(), ShouldEqual, 0)
	})
}

func TestExpire(t *testing.T) {
	Convey("crash records past their deadline and processes without heartbeats are dropped", t, func() {
		s := New()
		s.MergeCrash(Crash{CrashKey: CrashKey{1, "e", 1}, Deadline: start.Unix() + 10})
		s.MergeHeartbeat(Process{ProcessKey: ProcessKey{ProcessGateway, "g"}, StartedAt: 1}, OriginSelf, start)
		s.Expire(start.Add(9*time.Second), start.Add(-time.Second))
		So(s.Crashes().Len()+s.Processes().Len(), ShouldEqual, 2)
		s.Expire(start.Add(10*time.Second), start.Add(time.Second))
		So(s.Crashes().Len()+s.Processes().Len(), ShouldEqual, 0)
	})
}

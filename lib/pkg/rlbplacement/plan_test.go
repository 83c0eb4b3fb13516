package rlbplacement

import (
	"fmt"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	. "github.com/smartystreets/goconvey/convey"
)

var testOpts = Opts{MoveWeight: 0.2, Slots: 32, LoadsAtOnce: 8}

func noteOf(models ...rlbnote.Model) rlbnote.State {
	s := rlbnote.State{Version: 1, Models: map[string]rlbnote.Model{}}
	for _, m := range models {
		s.Models[m.Name] = m
	}
	return s
}

func model(name string, memory rlbunit.Bytes) rlbnote.Model {
	return rlbnote.Model{Name: name, Version: "v1", Memory: memory}
}

func engineOf(id string, memory rlbunit.Bytes, residents ...rlbengine.Resident) Engine {
	e := Engine{ID: id, Domain: id, Memory: memory, Residents: residents}
	for _, r := range residents {
		e.Reserved += r.Memory
	}
	return e
}

func readyOf(m rlbnote.Model) rlbengine.Resident {
	return rlbengine.Resident{Name: m.Name, Version: m.Version, Phase: rlbengine.PhaseReady, Memory: m.Memory}
}

func loadingOf(m rlbnote.Model) rlbengine.Resident {
	r := readyOf(m)
	r.Phase = rlbengine.PhaseLoading
	return r
}

func unloadingOf(m rlbnote.Model) rlbengine.Resident {
	r := readyOf(m)
	r.Phase = rlbengine.PhaseUnloading
	return r
}

func lines(proposals []Proposal) (all []string) {
	for _, p := range proposals {
		all = append(all, p.String())
	}
	return all
}

func TestPlan(t *testing.T) {
	a, b, c, d := model("a", 6), model("b", 6), model("c", 4), model("d", 4)
	old := a
	old.Version = "v0"
	guarded := Guards{}
	for _, m := range []rlbnote.Model{a, b, c} {
		guarded, _ = guarded.Protect(m.Name, m.Version, "e0")
	}
	cases := []struct {
		name string
		in   Input
		want []string
	}{
		{"models without replicas are loaded on the engines with the most free memory", Input{Note: noteOf(a, b), Engines: []Engine{engineOf("e0", 10), engineOf("e1", 9)}},
			[]string{"load a@v1 on e0: no replica", "load b@v1 on e1: no replica"}},
		{"nothing is loaded into reserved memory", Input{Note: noteOf(a), Engines: []Engine{{ID: "e0", Memory: 10, Reserved: 5}}}, nil},
		{"nothing is loaded on a leaving engine, and its replica does not count", Input{Note: noteOf(a),
			Engines: []Engine{{ID: "e0", Memory: 10, Reserved: 6, Leaving: true, Residents: []rlbengine.Resident{readyOf(a)}}, engineOf("e1", 10)}},
			[]string{"load a@v1 on e1: no replica"}},
		{"the replaced version stays while the new one is not guarded", Input{Note: noteOf(a), Settled: true,
			Engines: []Engine{engineOf("e0", 10, readyOf(old)), engineOf("e1", 10)}},
			[]string{"load a@v1 on e1: no replica"}},
		{"the old version is unloaded once the new one is guarded", Input{Note: noteOf(a), Settled: true, Guards: guarded,
			Engines: []Engine{engineOf("e0", 10, readyOf(a)), engineOf("e1", 10, readyOf(old))}},
			[]string{"unload a@v0 on e1: not in force"}},
		{"the old version stays until every gateway has applied the note", Input{Note: noteOf(a), Guards: guarded,
			Engines: []Engine{engineOf("e0", 10, readyOf(a)), engineOf("e1", 10, readyOf(old))}}, nil},
		{"a second replica is evicted for a model without replicas", Input{Note: noteOf(a, b), Settled: true,
			Engines: []Engine{engineOf("e0", 6, readyOf(a)), engineOf("e1", 6, readyOf(a))}},
			[]string{"unload a@v1 on e0: makes room for b"}},
		{"a model with a single replica is loaded elsewhere first", Input{Note: noteOf(a, c), Settled: true,
			Engines: []Engine{engineOf("e0", 6, readyOf(c)), engineOf("e1", 4)}},
			[]string{"load c@v1 on e1: moves away for a"}},
		{"while that load is under way, no other model is moved", Input{Note: noteOf(a, c, d), Settled: true,
			Engines: []Engine{engineOf("e0", 6, readyOf(c)), engineOf("e1", 4, loadingOf(c)), engineOf("e2", 6, readyOf(d)), engineOf("e3", 4)}}, nil},
		{"demand adds a replica", Input{Note: noteOf(a), Demand: map[string]float64{"a": 40},
			Engines: []Engine{engineOf("e0", 10, readyOf(a)), engineOf("e1", 10)}}, []string{"load a@v1 on e1: demand"}},
		{"low demand adds no replica", Input{Note: noteOf(a), Demand: map[string]float64{"a": 10},
			Engines: []Engine{engineOf("e0", 10, readyOf(a)), engineOf("e1", 10)}}, nil},
		{"high demand evicts an idle second replica", Input{Note: noteOf(a, b), Demand: map[string]float64{"a": 64},
			Engines: []Engine{engineOf("e0", 6, readyOf(a)), engineOf("e1", 6, readyOf(b)), engineOf("e2", 6, readyOf(b))}},
			[]string{"unload b@v1 on e1: makes room for a"}},
		{"no second replica is evicted while an unload under way frees enough memory", Input{Note: noteOf(a, b), Demand: map[string]float64{"a": 64},
			Engines: []Engine{engineOf("e0", 6, readyOf(a)), engineOf("e1", 6, unloadingOf(b)), engineOf("e2", 6, readyOf(b)), engineOf("e3", 6, readyOf(b))}}, nil},
		{"memory freed by an unload is reserved for one model only", Input{Note: noteOf(a, b, c),
			Engines: []Engine{engineOf("e0", 6, unloadingOf(old)), engineOf("e1", 6, readyOf(c)), engineOf("e2", 6, readyOf(c))}},
			[]string{"unload c@v1 on e1: makes room for b"}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() { So(lines(Plan(c.in, testOpts)), ShouldResemble, c.want) })
	}
	Convey("spare replicas are loaded into free memory of other failure domains, without evictions", t, func() {
		spare := testOpts
		spare.Replicas = 2
		in := Input{Note: noteOf(a, c), Engines: []Engine{engineOf("e0", 12, readyOf(a)), engineOf("e1", 4, readyOf(c)), engineOf("e2", 4)}}
		in.Engines[0].Domain, in.Engines[2].Domain = "x", "x"
		So(lines(Plan(in, spare)), ShouldResemble, []string{"load c@v1 on e0: spare replica"})
		in.Engines[1].Domain = "x"
		So(Plan(in, spare), ShouldBeEmpty)
	})
	Convey("a higher move weight means fewer moves", t, func() {
		in := Input{Note: noteOf(a), Demand: map[string]float64{"a": 40}, Engines: []Engine{engineOf("e0", 10, readyOf(a)), engineOf("e1", 10)}}
		heavy := testOpts
		heavy.MoveWeight = 1
		So(Plan(in, testOpts), ShouldHaveLength, 1)
		So(Plan(in, heavy), ShouldBeEmpty)
	})
	Convey("a plan starts no more loads than the weight store serves at once", t, func() {
		in := Input{Note: noteOf(), Engines: []Engine{engineOf("e0", 1000)}}
		for i := range 20 {
			m := model(fmt.Sprint("m", i), 1)
			in.Note.Models[m.Name] = m
		}
		So(Plan(in, testOpts), ShouldHaveLength, 8)
	})
}

func TestFeasible(t *testing.T) {
	Convey("a release note that fits is feasible", t, func() {
		So(CheckFeasible(noteOf(model("a", 6), model("b", 4)), []Engine{engineOf("e0", 10)}), ShouldBeNil)
	})
	Convey("one that does not fit is rejected with the amounts of memory", t, func() {
		err := CheckFeasible(noteOf(model("a", 6), model("b", 5)), []Engine{engineOf("e0", 10)})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldEqual, `model b needs 5B on one endpoint of role "", but the roomiest of 1 has 4B left; all models of this role need 11B of 10B`)
	})
	Convey("a role without endpoints is rejected", t, func() {
		m := model("a", 1)
		m.Role = "dispatch"
		e := engineOf("e0", 10)
		e.Role = "planner"
		So(CheckFeasible(noteOf(m), []Engine{e}), ShouldNotBeNil)
	})
}

// TestGuards checks the rules that keep lease holders with different views from
// together unloading the last replica of a version.
func TestGuards(t *testing.T) {
	Convey("the guarded replica cannot be retired, a retiring one cannot be guarded", t, func() {
		g, ok := Guards{}.Protect("a", "v1", "e0")
		So(ok, ShouldBeTrue)
		_, ok = g.Retire("a", "v1", "e0")
		So(ok, ShouldBeFalse)
		g, ok = g.Retire("a", "v1", "e1")
		So(ok, ShouldBeTrue)
		_, ok = g.Protect("a", "v1", "e1")
		So(ok, ShouldBeFalse)
		g = g.ClearRetiring("a", "v1", "e1")
		g, ok = g.Protect("a", "v1", "e1")
		So(ok, ShouldBeTrue)
		So(g.Protects("a", "v1", "e1"), ShouldBeTrue)
	})
	Convey("no replica of a version without a guarded one can be retired", t, func() {
		g, _ := Guards{}.Protect("a", "v1", "e0")
		_, ok := g.Retire("a", "v2", "e1")
		So(ok, ShouldBeFalse)
		So(g.Guarded("a", "v2"), ShouldBeFalse)
	})
}

// TestConvergence applies plans to a small fleet step by step. Every model in force
// gets a replica and keeps at least one from then on, and no engine's memory is
// exceeded.
func TestConvergence(t *testing.T) {
	const size = 10
	note := noteOf(model("a", 6), model("b", 6), model("c", 4), model("d", 4), model("e", 3))
	for seed := range 20 {
		Convey(fmt.Sprintf("seed %d", seed), t, func() {
			engines := []Engine{engineOf("e0", size), engineOf("e1", size), engineOf("e2", size)}
			had := map[string]bool{}
			for step := range 60 {
				in := Input{Note: note, Engines: engines, Settled: true, Demand: map[string]float64{"a": float64((step * (seed + 3)) % 90), "d": float64(seed)}}
				for _, p := range Plan(in, testOpts) {
					engines = applyProposal(engines, p)
				}
				for i := range engines {
					So(engines[i].Reserved, ShouldBeLessThanOrEqualTo, size)
				}
				for name, m := range note.Models {
					n := newPlanner(Input{Note: note, Engines: engines}, testOpts).readyReplicas(m)
					So(n > 0 || !had[name], ShouldBeTrue)
					had[name] = had[name] || n > 0
				}
			}
			So(had, ShouldHaveLength, len(note.Models))
			for name := range note.Models {
				So(had[name], ShouldBeTrue)
			}
		})
	}
}

// applyProposal returns the engines after a proposal took effect.
func applyProposal(engines []Engine, p Proposal) []Engine {
	var next []Engine
	for _, e := range engines {
		if e.ID == p.Endpoint {
			var kept []rlbengine.Resident
			for _, r := range e.Residents {
				if p.Action != rlbengine.ActionUnload || r.Name != p.Name {
					kept = append(kept, r)
				}
			}
			if p.Action == rlbengine.ActionLoad {
				kept = append(kept, rlbengine.Resident{Name: p.Name, Version: p.Version, Phase: rlbengine.PhaseReady, Memory: p.Memory})
			}
			e = engineOf(e.ID, e.Memory, kept...)
		}
		next = append(next, e)
	}
	return next
}

// BenchmarkPlan measures one plan for 1,700 models with the engines of one failure
// domain (550) and with those of the whole fleet (12,000).
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{550, 12_000} {
		b.Run(fmt.Sprint("engines=", size), func(b *testing.B) {
			in := benchInput(size)
			for b.Loop() {
				Plan(in, testOpts)
			}
		})
	}
}

func benchInput(engines int) Input {
	in := Input{Note: noteOf(), Demand: map[string]float64{}, Settled: true}
	for i := range 1700 {
		m := model(fmt.Sprint("m", i), 10)
		in.Note.Models[m.Name] = m
		in.Demand[m.Name] = float64(i % 50)
	}
	for i := range engines {
		e := engineOf(fmt.Sprint("e", i), 80)
		for k := range 7 {
			m := in.Note.Models[fmt.Sprint("m", (i*7+k)%1700)]
			e.Residents = append(e.Residents, readyOf(m))
			e.Reserved += m.Memory
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

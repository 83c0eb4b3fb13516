package rlbplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// planner builds one plan. Its engines are copies that proposals are applied
// to, so that a plan never proposes two loads into the same memory.
type planner struct {
	in        Input
	opts      Opts
	engines   []Engine
	proposals []Proposal
	loading   int
	models    []wanted           // in force, the most wanted first
	counts    map[string]*counts // by model in force
	searches  int                // left for replicas to give way
}

// counts are the replicas of a model's version in force, on engines that stay.
type counts struct{ held, ready int }

// maxSearches bounds the searches for replicas to give way in one plan, where its
// terms do not: the weight store allows no more loads than that before the next
// plan.
const maxSearches = 4

// Plan returns the changes to begin now, the most urgent first. Equal inputs
// give equal plans.
func Plan(in Input, opts Opts) []Proposal {
	p := newPlanner(in, opts)
	p.unloadReplaced()
	p.placeMissing()
	p.followDemand()
	p.spread()
	return p.proposals
}

func newPlanner(in Input, opts Opts) *planner {
	p := &planner{in: in, opts: opts, engines: slices.Clone(in.Engines), models: byDemand(in), counts: map[string]*counts{}, searches: cmp.Or(opts.Searches, maxSearches)}
	for name := range in.Note.Models {
		p.counts[name] = &counts{}
	}
	for i := range p.engines {
		e := &p.engines[i]
		e.Residents = slices.Clone(e.Residents)
		for _, r := range e.Residents {
			if r.Phase == rlbengine.PhaseLoading {
				p.loading++
			}
			p.count(*e, r, 1)
		}
	}
	return p
}

// count adds or takes away a resident.
func (p *planner) count(e Engine, r rlbengine.Resident, by int) {
	m, inForce := p.in.Note.Models[r.Name]
	if !inForce || m.Version != r.Version || e.Leaving || r.Phase == rlbengine.PhaseUnloading {
		return
	}
	p.counts[r.Name].held += by
	if r.Phase == rlbengine.PhaseReady {
		p.counts[r.Name].ready += by
	}
}

// wanted is a model in force with its demand.
type wanted struct {
	rlbnote.Model
	demand float64
}

// byDemand returns the models in force, the most wanted first.
func byDemand(in Input) []wanted {
	all := make([]wanted, 0, len(in.Note.Models))
	for name, m := range in.Note.Models {
		all = append(all, wanted{m, in.Demand[name]})
	}
	slices.SortFunc(all, func(a, b wanted) int {
		if c := cmp.Compare(b.demand, a.demand); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return all
}

// unloadReplaced unloads versions that are not in force. The version that a
// changed model replaces stays until a replica of the new one is guarded.
func (p *planner) unloadReplaced() {
	for i := range p.engines {
		for _, r := range p.engines[i].Residents {
			m, inForce := p.in.Note.Models[r.Name]
			if r.Phase == rlbengine.PhaseUnloading || inForce && m.Version == r.Version || !p.in.Settled {
				continue
			}
			if inForce && !p.in.Guards.Guarded(m.Name, m.Version) {
				continue
			}
			p.unload(i, r, false, "not in force")
		}
	}
}

// placeMissing loads every model in force that has no replica.
func (p *planner) placeMissing() {
	for _, w := range p.models {
		m := w.Model
		if p.replicas(m) > 0 {
			continue
		}
		if i := p.roomiest(m); i >= 0 {
			p.load(i, m, "no replica")
			continue
		}
		p.makeRoom(m)
	}
}

func (p *planner) replicas(m rlbnote.Model) int { return p.counts[m.Name].held }

func free(e Engine) rlbunit.Bytes { return e.Memory - e.Reserved }

// roomiest returns the engine with the most free memory that can take the
// model, or -1. Failure domains without a replica go first.
func (p *planner) roomiest(m rlbnote.Model) int {
	best := -1
	inDomain := p.perDomain(m)
	for i, e := range p.engines {
		if p.canLoad(e, m) && (best < 0 || better(e, p.engines[best], m.Name, inDomain)) {
			best = i
		}
	}
	return best
}

func (p *planner) canLoad(e Engine, m rlbnote.Model) bool {
	present := slices.ContainsFunc(e.Residents, func(r rlbengine.Resident) bool { return r.Name == m.Name && r.Version == m.Version })
	return !e.Leaving && !e.Frozen && matches(e, m.Role) && !present && free(e) >= m.Memory
}

// couldHold reports whether an engine could take the model if it were empty.
func couldHold(e Engine, m rlbnote.Model) bool {
	return !e.Leaving && matches(e, m.Role) && e.Memory >= m.Memory
}

func better(a, b Engine, model string, inDomain map[string]int) bool {
	if nearA, nearB := slices.Contains(a.Near, model), slices.Contains(b.Near, model); nearA != nearB {
		return nearA
	}
	if inA, inB := inDomain[a.Domain], inDomain[b.Domain]; inA != inB {
		return inA < inB
	}
	if free(a) != free(b) {
		return free(a) > free(b)
	}
	return a.ID < b.ID
}

// perDomain returns the number of a model's replicas in each failure domain.
func (p *planner) perDomain(m rlbnote.Model) map[string]int {
	n := map[string]int{}
	if p.replicas(m) == 0 {
		return n
	}
	for _, e := range p.engines {
		if !e.Leaving && holds(e, m.Name, m.Version) {
			n[e.Domain]++
		}
	}
	return n
}

func (p *planner) ready(m rlbnote.Model) int { return p.counts[m.Name].ready }

// search reports whether one more search is allowed.
func (p *planner) search() bool {
	p.searches--
	return p.searches >= 0
}

// spread loads further replicas into free memory, in failure domains without
// one, so that the loss of an endpoint leaves every model reachable. It never
// unloads anything for that.
func (p *planner) spread() {
	for _, w := range p.models {
		m := w.Model
		if n := p.replicas(m); n == 0 || n >= p.opts.Replicas || p.growing(m) {
			continue
		}
		if p.loading >= min(p.opts.LoadsAtOnce, cmp.Or(p.opts.Spares, p.opts.LoadsAtOnce)) {
			return
		}
		i := p.roomiest(m)
		if i >= 0 && p.perDomain(m)[p.engines[i].Domain] == 0 {
			p.load(i, m, "spare replica")
		}
	}
}

func (p *planner) load(i int, m rlbnote.Model, reason string) {
	if p.loading >= p.opts.LoadsAtOnce {
		return
	}
	p.loading++
	e := &p.engines[i]
	e.Reserved += m.Memory
	r := rlbengine.Resident{Name: m.Name, Version: m.Version, Phase: rlbengine.PhaseLoading, Memory: m.Memory}
	e.Residents = append(e.Residents, r)
	p.count(*e, r, 1)
	p.proposals = append(p.proposals, Proposal{
		Endpoint: e.ID, Action: rlbengine.ActionLoad, Name: m.Name, Version: m.Version, Memory: m.Memory, Reason: reason,
	})
}

func (p *planner) unload(i int, r rlbengine.Resident, current bool, reason string) {
	e := &p.engines[i]
	at := slices.IndexFunc(e.Residents, func(x rlbengine.Resident) bool { return x.Name == r.Name && x.Version == r.Version })
	p.count(*e, e.Residents[at], -1)
	e.Residents[at].Phase = rlbengine.PhaseUnloading // its memory is free only once the engine says so
	p.proposals = append(p.proposals, Proposal{
		Endpoint: e.ID, Action: rlbengine.ActionUnload, Name: r.Name, Version: r.Version, Memory: r.Memory, Current: current, Reason: reason,
	})
}

// String returns the proposal as one line.
func (p Proposal) String() string {
	return fmt.Sprintf("%s %s@%s on %s: %s", p.Action, p.Name, p.Version, p.Endpoint, p.Reason)
}

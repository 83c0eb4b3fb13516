package rlbplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// planner builds one plan. Proposals are applied to its copies of the engines,
// so that a plan never proposes two loads into the same memory.
type planner struct {
	in           Input
	opts         Opts
	engines      []Engine
	proposals    []Proposal
	loading      int
	models       []modelDemand             // in force, by decreasing demand
	counts       map[string]*replicaCounts // by model in force
	searchesLeft int                       // for replicas to evict
	// pairedSoftware holds the software versions of at least two engines; nil: there is one.
	pairedSoftware map[string]bool
}

// replicaCounts counts the replicas of a model's version in force on engines that
// are not leaving. Those on silent engines are present, not ready.
type replicaCounts struct {
	present, ready, silent int
	bySoftware             map[string]int // present ones by the software version of their engines; nil: there is one version
}

// defaultSearches limits the searches for replicas to evict in one plan if
// Opts.Searches is 0. The weight store allows no more loads than this before the
// next plan.
const defaultSearches = 4

// Plan returns the changes to start now, most urgent first. Equal inputs give
// equal plans.
func Plan(in Input, opts Opts) []Proposal {
	p := newPlanner(in, opts)
	p.unloadSuperseded()
	p.placeMissing()
	p.scaleToDemand()
	p.addSpareReplicas()
	p.pairLoneReplicas()
	return p.proposals
}

func newPlanner(in Input, opts Opts) *planner {
	p := &planner{in: in, opts: opts, engines: slices.Clone(in.Engines), models: modelsByDemand(in), counts: map[string]*replicaCounts{}, searchesLeft: cmp.Or(opts.Searches, defaultSearches)}
	p.pairedSoftware = pairedSoftware(p.engines)
	for name := range in.Note.Models {
		p.counts[name] = &replicaCounts{}
		if p.pairedSoftware != nil {
			p.counts[name].bySoftware = map[string]int{}
		}
	}
	for i := range p.engines {
		e := &p.engines[i]
		e.Frozen = e.Frozen || e.Silent
		e.Residents = slices.Clone(e.Residents)
		for _, r := range e.Residents {
			if r.Phase == rlbengine.PhaseLoading && !e.Silent {
				p.loading++
			}
			p.countResident(*e, r, 1)
		}
	}
	return p
}

// countResident adds delta to the replica counts of a resident's model.
func (p *planner) countResident(e Engine, r rlbengine.Resident, delta int) {
	m, inForce := p.in.Note.Models[r.Name]
	if !inForce || m.Version != r.Version || e.Leaving || r.Phase == rlbengine.PhaseUnloading {
		return
	}
	p.counts[r.Name].present += delta
	if p.pairedSoftware != nil {
		p.counts[r.Name].bySoftware[e.Software] += delta
	}
	if r.Phase == rlbengine.PhaseReady && !e.Silent {
		p.counts[r.Name].ready += delta
	}
	if e.Silent {
		p.counts[r.Name].silent += delta
	}
}

// modelDemand is a model in force with its demand.
type modelDemand struct {
	rlbnote.Model
	demand float64
}

// modelsByDemand returns the models in force by decreasing demand, then by name.
func modelsByDemand(in Input) []modelDemand {
	all := make([]modelDemand, 0, len(in.Note.Models))
	for name, m := range in.Note.Models {
		all = append(all, modelDemand{m, in.Demand[name]})
	}
	slices.SortFunc(all, func(a, b modelDemand) int {
		if c := cmp.Compare(b.demand, a.demand); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return all
}

// unloadSuperseded unloads versions that are not in force, once every gateway has
// applied the note. When the version of a model changes, replicas of the old version
// also stay until one of the new version is guarded.
func (p *planner) unloadSuperseded() {
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

// placeMissing loads each model in force that has no replica.
func (p *planner) placeMissing() {
	for _, entry := range p.models {
		m := entry.Model
		if p.replicas(m) > 0 {
			continue
		}
		if i := p.bestEngine(m); i >= 0 {
			p.load(i, m, "no replica")
			continue
		}
		p.makeRoom(m)
	}
}

func (p *planner) replicas(m rlbnote.Model) int { return p.counts[m.Name].present }

func freeMemory(e Engine) rlbunit.Bytes { return e.Memory - e.Reserved }

// bestEngine returns the index of the best engine to load the model on, or -1 if
// none can: engines with a local copy first, then software versions that have the model,
// then failure domains with the fewest replicas, then the most free memory.
func (p *planner) bestEngine(m rlbnote.Model) int {
	return p.bestEngineOf(m, func(Engine) bool { return true })
}

// bestEngineOf is bestEngine among the engines that a function allows.
func (p *planner) bestEngineOf(m rlbnote.Model, allowed func(Engine) bool) int {
	best := -1
	placed := replicasBy{p.counts[m.Name].bySoftware, p.replicasPerDomain(m)}
	for i, e := range p.engines {
		if allowed(e) && p.canLoad(e, m) && (best < 0 || betterTarget(e, p.engines[best], m.Name, placed)) {
			best = i
		}
	}
	return best
}

// replicasBy counts the replicas of a model.
type replicasBy struct{ software, domain map[string]int }

func (p *planner) canLoad(e Engine, m rlbnote.Model) bool {
	present := slices.ContainsFunc(e.Residents, func(r rlbengine.Resident) bool { return r.Name == m.Name && r.Version == m.Version })
	return !e.Leaving && !e.Frozen && matchesRole(e, m.Role) && !present && freeMemory(e) >= m.Memory
}

// couldHold reports whether an engine could load the model if it were empty.
func couldHold(e Engine, m rlbnote.Model) bool {
	return !e.Leaving && matchesRole(e, m.Role) && e.Memory >= m.Memory
}

// betterTarget reports whether a is a better engine than b to load the model on.
func betterTarget(a, b Engine, model string, placed replicasBy) bool {
	if hasCopyA, hasCopyB := slices.Contains(a.Near, model), slices.Contains(b.Near, model); hasCopyA != hasCopyB {
		return hasCopyA
	}
	if joinsA, joinsB := placed.software[a.Software] > 0, placed.software[b.Software] > 0; joinsA != joinsB {
		return joinsA
	}
	if inA, inB := placed.domain[a.Domain], placed.domain[b.Domain]; inA != inB {
		return inA < inB
	}
	if freeMemory(a) != freeMemory(b) {
		return freeMemory(a) > freeMemory(b)
	}
	return a.ID < b.ID
}

// replicasPerDomain returns the number of replicas of a model by failure domain.
func (p *planner) replicasPerDomain(m rlbnote.Model) map[string]int {
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

func (p *planner) readyReplicas(m rlbnote.Model) int { return p.counts[m.Name].ready }

// allowSearch counts a search and reports whether the plan's limit allows it.
func (p *planner) allowSearch() bool {
	p.searchesLeft--
	return p.searchesLeft >= 0
}

// addSpareReplicas loads further replicas into free memory in failure domains
// without one, so that every model stays reachable when an endpoint fails. It never
// unloads other replicas.
func (p *planner) addSpareReplicas() {
	for _, entry := range p.models {
		m := entry.Model
		if n := p.replicas(m); n == 0 || n >= p.opts.Replicas || p.growthLimitReached(m) {
			continue
		}
		if p.spareLoadsReached() {
			return
		}
		i := p.bestEngine(m)
		if i >= 0 && p.replicasPerDomain(m)[p.engines[i].Domain] == 0 {
			p.load(i, m, "spare replica")
		}
	}
}

// spareLoadsReached reports whether too many loads are under way for a spare replica.
func (p *planner) spareLoadsReached() bool {
	return p.loading >= min(p.opts.LoadsAtOnce, cmp.Or(p.opts.Spares, p.opts.LoadsAtOnce))
}

// load proposes a load on engine i, unless the weight store already serves as many
// loads as it can at full speed.
func (p *planner) load(i int, m rlbnote.Model, reason string) {
	if p.loading >= p.opts.LoadsAtOnce {
		return
	}
	p.loading++
	e := &p.engines[i]
	e.Reserved += m.Memory
	r := rlbengine.Resident{Name: m.Name, Version: m.Version, Phase: rlbengine.PhaseLoading, Memory: m.Memory}
	e.Residents = append(e.Residents, r)
	p.countResident(*e, r, 1)
	p.proposals = append(p.proposals, Proposal{
		Endpoint: e.ID, Action: rlbengine.ActionLoad, Name: m.Name, Version: m.Version, Memory: m.Memory, Reason: reason,
	})
}

func (p *planner) unload(i int, r rlbengine.Resident, current bool, reason string) {
	e := &p.engines[i]
	at := slices.IndexFunc(e.Residents, func(x rlbengine.Resident) bool { return x.Name == r.Name && x.Version == r.Version })
	p.countResident(*e, e.Residents[at], -1)
	e.Residents[at].Phase = rlbengine.PhaseUnloading // its memory is free only once the engine reports it
	p.proposals = append(p.proposals, Proposal{
		Endpoint: e.ID, Action: rlbengine.ActionUnload, Name: r.Name, Version: r.Version, Memory: r.Memory, Current: current, Reason: reason,
	})
}

// String returns the proposal as one line.
func (p Proposal) String() string {
	return fmt.Sprintf("%s %s@%s on %s: %s", p.Action, p.Name, p.Version, p.Endpoint, p.Reason)
}

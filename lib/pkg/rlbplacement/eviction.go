package rlbplacement

import (
	"cmp"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// makeRoom frees memory for a model that fits on no engine, unless unloads under
// way already do: it unloads replicas of models that have others, or else first
// loads a second replica of some model on another engine. If there is no other way, an
// unload may leave a lone replica of a software version, if it is of a model with less demand.
func (p *planner) makeRoom(m rlbnote.Model) {
	if !p.allowSearch() || p.reservePendingUnload(m) {
		return
	}
	if p.unloadFor(m, 0) || p.fitsAfterLoads(m) || p.loadElsewhere(m) || p.pairedSoftware == nil {
		return
	}
	p.unloadFor(m, p.in.Demand[m.Name])
}

// unloadFor unloads replicas of models that have others, where that costs least, to make room
// for a model. It reports whether there is an engine on which that suffices.
func (p *planner) unloadFor(m rlbnote.Model, loneBelow float64) bool {
	best, cost := -1, 0.0
	var victims []rlbengine.Resident
	for i, e := range p.engines {
		if e.Frozen || !couldHold(e, m) {
			continue
		}
		chosen, victimCost, enough := p.chooseVictims(e, m.Memory, p.readyReplicas, loneBelow)
		victimCost += p.unloadCost(e)
		if enough && (best < 0 || victimCost < cost) {
			best, cost, victims = i, victimCost, chosen
		}
	}
	if best < 0 {
		return false
	}
	for _, r := range victims {
		p.unload(best, r, true, "makes room for "+m.Name)
	}
	p.reserve(best, m)
	return true
}

// reservePendingUnload looks for an engine on which unloads under way free enough
// memory for a model, and reserves that memory. It reports whether there is one;
// no other replica is evicted for the model in the meantime.
func (p *planner) reservePendingUnload(m rlbnote.Model) bool {
	i := slices.IndexFunc(p.engines, func(e Engine) bool {
		unloading := unloadingMemory(e)
		return unloading > 0 && couldHold(e, m) && !holds(e, m.Name, m.Version) && freeMemory(e)+unloading >= m.Memory
	})
	if i < 0 {
		return false
	}
	p.reserve(i, m)
	return true
}

// reserve reserves memory of an engine for a model, so that later models of this
// plan do not use it.
func (p *planner) reserve(i int, m rlbnote.Model) { p.engines[i].Reserved += m.Memory }

// unloadingMemory returns the memory that unloads under way free on an engine.
func unloadingMemory(e Engine) (n rlbunit.Bytes) {
	for _, r := range e.Residents {
		if r.Phase == rlbengine.PhaseUnloading {
			n += r.Memory
		}
	}
	return n
}

// chooseVictims returns the residents of an engine to unload for need bytes, the
// lowest removal cost first, their total cost, and whether they free enough. Only
// models with more than one replica by the given count are evicted, and of those with a demand of
// at least loneBelow none that leaves a lone replica of a software version.
func (p *planner) chooseVictims(e Engine, need rlbunit.Bytes, replicas func(rlbnote.Model) int, loneBelow float64) (chosen []rlbengine.Resident, cost float64, enough bool) {
	missing := need - freeMemory(e) - unloadingMemory(e)
	candidates := p.redundantReplicas(e, replicas, loneBelow)
	for _, r := range candidates {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, r)
		missing -= r.Memory
		cost += 1 + p.removalCost(r.Name)
	}
	return chosen, cost, missing <= 0
}

// redundantReplicas returns the ready replicas on an engine whose models have other
// replicas, by increasing removal cost.
func (p *planner) redundantReplicas(e Engine, replicas func(rlbnote.Model) int, loneBelow float64) []rlbengine.Resident {
	var all []rlbengine.Resident
	for _, r := range e.Residents {
		m, inForce := p.in.Note.Models[r.Name]
		if inForce && m.Version == r.Version && r.Phase == rlbengine.PhaseReady && replicas(m) > 1 && (p.in.Demand[r.Name] < loneBelow || !p.leavesLone(e, r)) {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b rlbengine.Resident) int { return cmp.Compare(p.removalCost(a.Name), p.removalCost(b.Name)) })
	return all
}

// fitsAfterLoads reports whether evictions can make room for a model once the loads
// under way are ready. In that case no further move is needed.
func (p *planner) fitsAfterLoads(m rlbnote.Model) bool {
	return slices.ContainsFunc(p.engines, func(e Engine) bool {
		if !couldHold(e, m) {
			return false
		}
		_, _, enough := p.chooseVictims(e, m.Memory, p.replicas, 0)
		return enough
	})
}

// loadElsewhere prepares an eviction for m. On an engine that m could use, it picks
// a model without other replicas and loads a second one on another engine, so that
// the first can be unloaded later. It reports whether it does.
func (p *planner) loadElsewhere(m rlbnote.Model) bool {
	for _, e := range p.engines {
		if e.Frozen || !couldHold(e, m) {
			continue
		}
		for _, r := range e.Residents {
			other, inForce := p.in.Note.Models[r.Name]
			if !inForce || other.Version != r.Version || p.replicas(other) > 1 || r.Memory+freeMemory(e) < m.Memory {
				continue
			}
			if to := p.bestEngine(other); to >= 0 {
				p.load(to, other, "moves away for "+m.Name)
				return true
			}
		}
	}
	return false
}

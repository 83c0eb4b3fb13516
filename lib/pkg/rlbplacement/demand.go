package rlbplacement

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// pressure returns the load term (d/s)^2 of the wait estimate (d/s)^2 / r, for d
// requests in flight, s slots per replica and r replicas. The gain of one more
// replica and the cost of one fewer are differences of this estimate.
func (p *planner) pressure(name string) float64 {
	d := p.in.Demand[name] / p.opts.Slots
	return d * d
}

// marginalGain returns how much the wait estimate drops when a model gets one
// more replica.
func marginalGain(pressure float64, replicas int) float64 {
	return pressure/float64(replicas) - pressure/float64(replicas+1)
}

// removalCost returns how much the wait estimate rises when a model loses one
// ready replica.
func (p *planner) removalCost(name string) float64 {
	m := p.in.Note.Models[name]
	n := p.readyReplicas(m)
	if n < 2 {
		return p.pressure(name)
	}
	return marginalGain(p.pressure(name), n-1)
}

// scaleToDemand adds replicas where the gain exceeds the cost: one move for a
// load into free memory, two moves and the cost of the removal when another
// replica is evicted.
func (p *planner) scaleToDemand() {
	for _, entry := range p.models {
		if p.replicas(entry.Model) > 0 {
			p.addReplicas(entry.Model)
		}
	}
}

// addReplicas adds replicas of one model. Memory reserved for the model counts
// as a replica.
func (p *planner) addReplicas(m rlbnote.Model) {
	for reserved := 0; p.pendingReplicas(m)+reserved < max(p.opts.Growth, 1); {
		gain := marginalGain(p.pressure(m.Name), p.replicas(m)+reserved)
		if gain <= p.opts.MoveWeight || p.loading >= p.opts.LoadsAtOnce || !p.allowSearch() {
			return
		}
		if i := p.bestEngine(m); i >= 0 && gain > p.opts.MoveWeight+p.remoteLoadCost(i, m) {
			p.load(i, m, "demand")
			continue
		}
		if !p.reservePendingUnload(m) && !p.evictReplica(m, gain) {
			return
		}
		reserved++
	}
}

// pendingReplicas returns how many replicas of a model are being loaded.
func (p *planner) pendingReplicas(m rlbnote.Model) int {
	return p.replicas(m) - p.readyReplicas(m) - p.counts[m.Name].silent
}

// growthLimitReached reports whether as many loads of the model are under way as
// Opts.Growth allows. Further replicas wait until the effect of these shows.
func (p *planner) growthLimitReached(m rlbnote.Model) bool {
	return p.pendingReplicas(m) >= max(p.opts.Growth, 1)
}

// unloadCost returns the cost of an unload on an engine due to the requests in
// progress that it waits for.
func (p *planner) unloadCost(e Engine) float64 { return p.opts.BusyWeight * float64(e.InFlight) }

// remoteLoadCost returns the extra cost of loading a model on an engine that has
// no local copy of it.
func (p *planner) remoteLoadCost(i int, m rlbnote.Model) float64 {
	if slices.Contains(p.engines[i].Near, m.Name) {
		return 0
	}
	return p.opts.FarWeight
}

// evictReplica unloads the replica with the lowest removal cost to make room for
// a model, on an engine where one eviction frees enough memory. It reports false
// if there is no such engine or the gain does not exceed the cost of the eviction
// and its moves.
func (p *planner) evictReplica(m rlbnote.Model, gain float64) bool {
	const moves = 2 // an unload and a load
	best, cost := -1, gain-moves*p.opts.MoveWeight
	for i, e := range p.engines {
		if e.Leaving || e.Frozen || !matchesRole(e, m.Role) || holds(e, m.Name, m.Version) {
			continue
		}
		chosen, _, enough := p.chooseVictims(e, m.Memory, p.readyReplicas, 0)
		if !enough || len(chosen) != 1 || chosen[0].Name == m.Name {
			continue
		}
		if evictionCost := p.removalCost(chosen[0].Name) + p.remoteLoadCost(i, m) + p.unloadCost(e); evictionCost < cost {
			best, cost = i, evictionCost
		}
	}
	if best < 0 {
		return false
	}
	chosen, _, _ := p.chooseVictims(p.engines[best], m.Memory, p.readyReplicas, 0)
	p.unload(best, chosen[0], true, "makes room for "+m.Name)
	p.reserve(best, m)
	return true
}

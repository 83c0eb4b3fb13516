package rlbplacement

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// pressure is the relief that one more replica of a model brings, and the loss
// that one fewer means: with d requests in flight, s slots a replica and r
// replicas, the waiting grows with (d/s)^2 / r.
func (p *planner) pressure(name string) float64 {
	d := p.in.Demand[name] / p.opts.Slots
	return d * d
}

func marginalGain(pressure float64, replicas int) float64 {
	return pressure/float64(replicas) - pressure/float64(replicas+1)
}

// removalCost returns what one replica fewer of a model costs.
func (p *planner) removalCost(name string) float64 {
	m := p.in.Note.Models[name]
	n := p.readyReplicas(m)
	if n < 2 {
		return p.pressure(name)
	}
	return marginalGain(p.pressure(name), n-1)
}

// scaleToDemand adds replicas where the relief is worth the moves: into free
// memory for one move, in place of a less wanted replica for two and its loss.
func (p *planner) scaleToDemand() {
	for _, w := range p.models {
		if p.replicas(w.Model) > 0 {
			p.addReplicas(w.Model)
		}
	}
}

// addReplicas adds replicas of one model. Room that is being made counts as a replica.
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

// pendingReplicas returns how many replicas of a model are on their way.
func (p *planner) pendingReplicas(m rlbnote.Model) int { return p.replicas(m) - p.readyReplicas(m) }

// growthLimitReached reports whether a replica of the model is on its way: its effect is
// awaited before the next.
func (p *planner) growthLimitReached(m rlbnote.Model) bool {
	return p.pendingReplicas(m) >= max(p.opts.Growth, 1)
}

// unloadCost returns what an unload on an engine costs for the requests it waits for.
func (p *planner) unloadCost(e Engine) float64 { return p.opts.BusyWeight * float64(e.InFlight) }

// remoteLoadCost returns what the load of a model on an engine costs beyond one from a copy
// that the engine has itself.
func (p *planner) remoteLoadCost(i int, m rlbnote.Model) float64 {
	if slices.Contains(p.engines[i].Near, m.Name) {
		return 0
	}
	return p.opts.FarWeight
}

// evictReplica unloads a less wanted replica to make room for a model; it reports
// whether there is one.
func (p *planner) evictReplica(m rlbnote.Model, gain float64) bool {
	const moves = 2 // an unload and a load
	best, cost := -1, gain-moves*p.opts.MoveWeight
	for i, e := range p.engines {
		if e.Leaving || e.Frozen || !matchesRole(e, m.Role) || holds(e, m.Name, m.Version) {
			continue
		}
		chosen, _, enough := p.chooseVictims(e, m.Memory, p.readyReplicas)
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
	chosen, _, _ := p.chooseVictims(p.engines[best], m.Memory, p.readyReplicas)
	p.unload(best, chosen[0], true, "makes room for "+m.Name)
	p.reserve(best, m)
	return true
}

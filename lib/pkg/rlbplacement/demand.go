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

func relief(pressure float64, replicas int) float64 {
	return pressure/float64(replicas) - pressure/float64(replicas+1)
}

// lossOf returns what one replica fewer of a model costs.
func (p *planner) lossOf(name string) float64 {
	m := p.in.Note.Models[name]
	n := p.ready(m)
	if n < 2 {
		return p.pressure(name)
	}
	return relief(p.pressure(name), n-1)
}

// followDemand adds replicas where the relief is worth the moves: into free
// memory for one move, in place of a less wanted replica for two and its loss.
func (p *planner) followDemand() {
	for _, w := range p.models {
		if p.replicas(w.Model) > 0 {
			p.grow(w.Model)
		}
	}
}

// grow adds replicas of one model. Room that is being made counts as a replica.
func (p *planner) grow(m rlbnote.Model) {
	for rooms := 0; p.comes(m)+rooms < max(p.opts.Growth, 1); {
		gain := relief(p.pressure(m.Name), p.replicas(m)+rooms)
		if gain <= p.opts.MoveWeight || p.loading >= p.opts.LoadsAtOnce || !p.search() {
			return
		}
		if i := p.roomiest(m); i >= 0 && gain > p.opts.MoveWeight+p.far(i, m) {
			p.load(i, m, "demand")
			continue
		}
		if !p.awaitsRoom(m) && !p.replace(m, gain) {
			return
		}
		rooms++
	}
}

// comes returns how many replicas of a model are on their way.
func (p *planner) comes(m rlbnote.Model) int { return p.replicas(m) - p.ready(m) }

// growing reports whether a replica of the model is on its way: its effect is
// awaited before the next.
func (p *planner) growing(m rlbnote.Model) bool {
	return p.comes(m) >= max(p.opts.Growth, 1)
}

// busy returns what an unload on an engine costs for the requests it waits for.
func (p *planner) busy(e Engine) float64 { return p.opts.BusyWeight * float64(e.InFlight) }

// far returns what the load of a model on an engine costs beyond one from a copy
// that the engine has itself.
func (p *planner) far(i int, m rlbnote.Model) float64 {
	if slices.Contains(p.engines[i].Near, m.Name) {
		return 0
	}
	return p.opts.FarWeight
}

// replace unloads a less wanted replica to make room for a model; it reports
// whether there is one.
func (p *planner) replace(m rlbnote.Model, gain float64) bool {
	const moves = 2 // an unload and a load
	best, cost := -1, gain-moves*p.opts.MoveWeight
	for i, e := range p.engines {
		if e.Leaving || e.Frozen || !matches(e, m.Role) || holds(e, m.Name, m.Version) {
			continue
		}
		chosen, _, enough := p.victims(e, m.Memory, p.ready)
		if !enough || len(chosen) != 1 || chosen[0].Name == m.Name {
			continue
		}
		if loss := p.lossOf(chosen[0].Name) + p.far(i, m) + p.busy(e); loss < cost {
			best, cost = i, loss
		}
	}
	if best < 0 {
		return false
	}
	chosen, _, _ := p.victims(p.engines[best], m.Memory, p.ready)
	p.unload(best, chosen[0], true, "makes room for "+m.Name)
	p.keepRoom(best, m)
	return true
}

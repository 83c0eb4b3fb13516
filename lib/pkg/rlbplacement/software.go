package rlbplacement

import (
	"maps"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// pairedSoftware returns the software versions that at least two engines have that are not
// leaving; nil: all engines have one version, and what follows does not matter.
func pairedSoftware(engines []Engine) map[string]bool {
	n := map[string]int{}
	for _, e := range engines {
		if !e.Leaving {
			n[e.Software]++
		}
	}
	if len(n) < 2 {
		return nil
	}
	paired := map[string]bool{}
	for version, engines := range n {
		if engines >= 2 {
			paired[version] = true
		}
	}
	return paired
}

// leavesLone reports whether the unload of a replica leaves its model one replica on engines of
// a software version: what that one has begun could not go on elsewhere if its engine crashes.
func (p *planner) leavesLone(e Engine, r rlbengine.Resident) bool {
	return p.counts[r.Name].bySoftware[e.Software] == 2
}

// pairLoneReplicas loads a second replica of each model that has one replica on engines of a
// software version, into free memory of that version. It never unloads other replicas.
func (p *planner) pairLoneReplicas() {
	if p.pairedSoftware == nil {
		return
	}
	for _, entry := range p.models {
		m := entry.Model
		if p.growthLimitReached(m) {
			continue
		}
		if p.spareLoadsReached() {
			return
		}
		for _, version := range slices.Sorted(maps.Keys(p.pairedSoftware)) {
			if p.counts[m.Name].bySoftware[version] == 1 {
				p.pairReplica(m, version)
			}
		}
	}
}

// pairReplica loads a replica on an engine of a software version, if one has the memory.
func (p *planner) pairReplica(m rlbnote.Model, version string) {
	if i := p.bestEngineOf(m, func(e Engine) bool { return e.Software == version }); i >= 0 && !p.spareLoadsReached() {
		p.load(i, m, "second replica of software version "+version)
	}
}

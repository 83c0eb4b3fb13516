package rlbplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// CheckFeasible reports why the engines cannot hold one replica of each model in
// force, or nil. Models are packed by decreasing size, those with a role first,
// each into the engine that it leaves with the least free memory.
func CheckFeasible(state rlbnote.State, engines []Engine) error {
	models := make([]rlbnote.Model, 0, len(state.Models))
	for _, m := range state.Models {
		models = append(models, m)
	}
	slices.SortFunc(models, func(a, b rlbnote.Model) int {
		if (a.Role == "") != (b.Role == "") {
			return cmp.Compare(b.Role, a.Role)
		}
		if c := cmp.Compare(b.Memory, a.Memory); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	left := make([]rlbunit.Bytes, len(engines))
	for i, e := range engines {
		left[i] = e.Memory
	}
	for _, m := range models {
		best := -1
		for i, e := range engines {
			if !e.Leaving && matches(e, m.Role) && left[i] >= m.Memory && (best < 0 || left[i] < left[best]) {
				best = i
			}
		}
		if best < 0 {
			return infeasible(m, models, engines, left)
		}
		left[best] -= m.Memory
	}
	return nil
}

func infeasible(m rlbnote.Model, models []rlbnote.Model, engines []Engine, left []rlbunit.Bytes) error {
	var need, have, most rlbunit.Bytes
	for _, other := range models {
		if m.Role == "" || other.Role == m.Role {
			need += other.Memory
		}
	}
	count := 0
	for i, e := range engines {
		if !e.Leaving && matches(e, m.Role) {
			have += e.Memory
			most = max(most, left[i])
			count++
		}
	}
	return fmt.Errorf("model %s needs %s on one endpoint of role %q, but the roomiest of %d has %s left; all models of this role need %s of %s",
		m.Name, m.Memory, m.Role, count, most, need, have)
}

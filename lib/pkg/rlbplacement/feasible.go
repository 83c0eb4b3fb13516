package rlbplacement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// CheckFeasible returns an error if the engines cannot hold one replica of each
// model in force. It packs models best-fit decreasing: models with a role first,
// then by decreasing size, each into the engine with the least free memory that
// fits it.
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
	free := make([]rlbunit.Bytes, len(engines))
	for i, e := range engines {
		free[i] = e.Memory
	}
	for _, m := range models {
		best := -1
		for i, e := range engines {
			if !e.Leaving && matchesRole(e, m.Role) && free[i] >= m.Memory && (best < 0 || free[i] < free[best]) {
				best = i
			}
		}
		if best < 0 {
			return infeasibleError(m, models, engines, free)
		}
		free[best] -= m.Memory
	}
	return nil
}

// infeasibleError describes the memory shortage of the engines that match the
// role of a model.
func infeasibleError(m rlbnote.Model, models []rlbnote.Model, engines []Engine, free []rlbunit.Bytes) error {
	var required, total, largestFree rlbunit.Bytes
	for _, other := range models {
		if m.Role == "" || other.Role == m.Role {
			required += other.Memory
		}
	}
	count := 0
	for i, e := range engines {
		if !e.Leaving && matchesRole(e, m.Role) {
			total += e.Memory
			largestFree = max(largestFree, free[i])
			count++
		}
	}
	return fmt.Errorf("model %s needs %s on one endpoint of role %q, but the roomiest of %d has %s left; all models of this role need %s of %s",
		m.Name, m.Memory, m.Role, count, largestFree, required, total)
}

// Package rlborder decides which orders an endpoint is sent and how much of its
// memory may be in use. Each order is recorded as an intent in the endpoint's
// object, by a conditional write, before it is sent; the record's serial number
// is the order's fencing number. It does no I/O.
package rlborder

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Record is the value of an endpoint's object.
type Record struct {
	Fence       uint64         `json:"fence"`       // of the lease under which it was written
	Serial      uint64         `json:"serial"`      // rises with each write; fencing number of orders
	Incarnation uint64         `json:"incarnation"` // of the endpoint it speaks of
	Pending     *Intent        `json:"pending,omitempty"`
	InDoubt     []InDoubtOrder `json:"ghosts,omitempty"`
}

// Intent is an order that may have been sent.
type Intent struct {
	Serial  uint64           `json:"serial"` // of the record that first held it
	Action  rlbengine.Action `json:"action"`
	Name    string           `json:"name"`
	Version string           `json:"version"`
	Memory  rlbunit.Bytes    `json:"memory"`
}

// InDoubtOrder is an order of which a copy may still take effect, at an endpoint that
// ignores fencing numbers. It lasts until the endpoint restarts.
type InDoubtOrder struct {
	Action  rlbengine.Action `json:"action"`
	Name    string           `json:"name"`
	Version string           `json:"version"`
	Memory  rlbunit.Bytes    `json:"memory"`
}

// inDoubt returns what remains of an intent whose copies may be late.
func (i Intent) inDoubt() InDoubtOrder { return InDoubtOrder{i.Action, i.Name, i.Version, i.Memory} }

// effective reports whether the state shows the intent's effect.
func (i Intent) effective(state rlbengine.State) bool {
	at := findResident(state.Residents, i.Name, i.Version)
	if i.Action == rlbengine.ActionLoad {
		return at >= 0
	}
	return at < 0 || state.Residents[at].Phase == rlbengine.PhaseUnloading
}

func findResident(residents []rlbengine.Resident, name, version string) int {
	return slices.IndexFunc(residents, func(r rlbengine.Resident) bool { return r.Name == name && r.Version == version })
}

// Reserved returns the memory that is used, or may come to be used by orders
// that may still take effect.
func Reserved(record Record, residents []rlbengine.Resident) rlbunit.Bytes {
	var sum rlbunit.Bytes
	for _, r := range residents {
		sum += r.Memory
	}
	counted := map[[2]string]bool{}
	add := func(action rlbengine.Action, name, version string, memory rlbunit.Bytes) {
		key := [2]string{name, version}
		if action != rlbengine.ActionLoad || counted[key] || findResident(residents, name, version) >= 0 {
			return
		}
		counted[key] = true
		sum += memory
	}
	if p := record.Pending; p != nil {
		add(p.Action, p.Name, p.Version, p.Memory)
	}
	for _, g := range record.InDoubt {
		add(g.Action, g.Name, g.Version, g.Memory)
	}
	return sum
}

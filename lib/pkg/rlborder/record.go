// Package rlborder decides which orders are sent to an endpoint and how much of its
// memory is reserved. Each order is recorded as an intent in the endpoint's object
// by a conditional write before it is sent. The record's serial number is the
// order's fencing number. It does no I/O.
package rlborder

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Record is the value of an endpoint's object.
type Record struct {
	Fence       uint64         `json:"fence"`       // fencing number of the writer's lease
	Serial      uint64         `json:"serial"`      // increases with each write; fencing number of orders
	Incarnation uint64         `json:"incarnation"` // incarnation of the endpoint
	Pending     *Intent        `json:"pending,omitempty"`
	InDoubt     []InDoubtOrder `json:"ghosts,omitempty"`
}

// Intent is an order that may have been sent.
type Intent struct {
	Serial  uint64           `json:"serial"` // serial number of the first record with this intent
	Action  rlbengine.Action `json:"action"`
	Name    string           `json:"name"`
	Version string           `json:"version"`
	Memory  rlbunit.Bytes    `json:"memory"`
}

// InDoubtOrder is an order to an endpoint without fencing of which a late copy may
// still take effect. It is kept until the endpoint restarts.
type InDoubtOrder struct {
	Action  rlbengine.Action `json:"action"`
	Name    string           `json:"name"`
	Version string           `json:"version"`
	Memory  rlbunit.Bytes    `json:"memory"`
}

// asInDoubt returns the intent as an order in doubt.
func (i Intent) asInDoubt() InDoubtOrder { return InDoubtOrder{i.Action, i.Name, i.Version, i.Memory} }

// effective reports whether the state shows that the intent has taken effect.
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

// Reserved returns the memory of the residents plus that of loads that may still
// take effect.
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
	for _, o := range record.InDoubt {
		add(o.Action, o.Name, o.Version, o.Memory)
	}
	return sum
}

package rlboperator

import (
	"fmt"
	"reflect"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
)

// Snapshot is the complete state of one controller with the input and result of
// placement, for later analysis.
type Snapshot struct {
	Taken     time.Time                  `json:"taken"`
	Instance  string                     `json:"instance"`
	Instances []rlbfleetstate.Instance   `json:"instances"`
	Engines   []rlbfleetstate.Engine     `json:"engines"`
	Loads     []rlbfleetstate.Load       `json:"loads"`
	Processes []rlbfleetstate.Process    `json:"nodes"`
	Crashes   []rlbfleetstate.Crash      `json:"strikes"`
	Leases    map[string]string          `json:"leases"`  // holder by failure domain
	Intents   map[string]rlborder.Record `json:"intents"` // by engine, of the leases held by this controller
	Claims    int                        `json:"claims"`  // idempotency keys in the shards loaded by this controller
	Input     rlbplacement.Input         `json:"input"`   // includes the note in force
	Opts      rlbplacement.Opts          `json:"opts"`
	Plan      []rlbplacement.Proposal    `json:"plan"`
}

// Replay runs placement on the recorded input. It returns the result and whether
// it equals the recorded one.
func (s Snapshot) Replay() ([]rlbplacement.Proposal, bool) {
	plan := rlbplacement.Plan(s.Input, s.Opts)
	return plan, len(plan) == len(s.Plan) && (len(plan) == 0 || reflect.DeepEqual(plan, s.Plan))
}

// Differences describes the changes between two snapshots, one line per change.
func Differences(from, to Snapshot) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if from.Input.Note.Version != to.Input.Note.Version {
		add("note: version %d -> %d", from.Input.Note.Version, to.Input.Note.Version)
	}
	for domain, holder := range to.Leases {
		if from.Leases[domain] != holder {
			add("lease %s: %s -> %s", domain, from.Leases[domain], holder)
		}
	}
	oldEngines := map[string]rlbfleetstate.Engine{}
	for _, e := range from.Engines {
		oldEngines[e.ID] = e
	}
	for _, e := range to.Engines {
		old, known := oldEngines[e.ID]
		delete(oldEngines, e.ID)
		switch {
		case !known:
			add("endpoint %s: new", e.ID)
		case old.Incarnation != e.Incarnation:
			add("endpoint %s: restarted with %s", e.ID, residents(e))
		case !reflect.DeepEqual(old.Residents, e.Residents):
			add("endpoint %s: %s -> %s", e.ID, residents(old), residents(e))
		case old.Unreachable != e.Unreachable:
			add("endpoint %s: unreachable %t -> %t", e.ID, old.Unreachable, e.Unreachable)
		}
	}
	for id := range oldEngines {
		add("endpoint %s: removed", id)
	}
	return lines
}

func residents(e rlbfleetstate.Engine) string {
	list := ""
	for _, r := range e.Residents {
		list += " " + r.Name + "@" + r.Version + " " + string(r.Phase)
	}
	if list == "" {
		return "nothing"
	}
	return list[1:]
}

package rlboperator

import (
	"fmt"
	"reflect"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
)

// Snapshot is what one controller knows, with the placement's input and result,
// for an expert who returns.
type Snapshot struct {
	Taken     time.Time                  `json:"taken"`
	Instance  string                     `json:"instance"`
	Instances []rlbfleetstate.Instance   `json:"instances"`
	Engines   []rlbfleetstate.Engine     `json:"engines"`
	Loads     []rlbfleetstate.Load       `json:"loads"`
	Nodes     []rlbfleetstate.Node       `json:"nodes"`
	Crashes   []rlbfleetstate.Crash      `json:"strikes"`
	Leases    map[string]string          `json:"leases"`  // holder by failure domain
	Intents   map[string]rlborder.Record `json:"intents"` // by engine, of leases held here
	Claims    int                        `json:"claims"`  // keys known in shards loaded here
	Input     rlbplacement.Input         `json:"input"`   // holds the note in force, too
	Opts      rlbplacement.Opts          `json:"opts"`
	Plan      []rlbplacement.Proposal    `json:"plan"`
}

// Replay runs the placement on the recorded input and returns its result, and
// whether it is the recorded one.
func (s Snapshot) Replay() ([]rlbplacement.Proposal, bool) {
	plan := rlbplacement.Plan(s.Input, s.Opts)
	return plan, len(plan) == len(s.Plan) && (len(plan) == 0 || reflect.DeepEqual(plan, s.Plan))
}

// Differences returns what differs from one snapshot to another, a line each.
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
	before := map[string]rlbfleetstate.Engine{}
	for _, e := range from.Engines {
		before[e.ID] = e
	}
	for _, e := range to.Engines {
		old, known := before[e.ID]
		delete(before, e.ID)
		switch {
		case !known:
			add("endpoint %s: new", e.ID)
		case old.Incarnation != e.Incarnation:
			add("endpoint %s: restarted, holds %s", e.ID, residents(e))
		case !reflect.DeepEqual(old.Residents, e.Residents):
			add("endpoint %s: %s -> %s", e.ID, residents(old), residents(e))
		case old.Unreachable != e.Unreachable:
			add("endpoint %s: lost %t -> %t", e.ID, old.Unreachable, e.Unreachable)
		}
	}
	for id := range before {
		add("endpoint %s: gone", id)
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

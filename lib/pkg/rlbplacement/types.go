// Package rlbplacement decides which models are loaded on which engines: every
// model in force keeps a ready replica, memory is never planned beyond what an
// engine has, and further replicas follow the demand as far as that is worth
// the moves. It does no I/O.
package rlbplacement

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Engine is an engine as the placement sees it.
type Engine struct {
	ID        string
	Domain    string
	Role      string
	Memory    rlbunit.Bytes
	Reserved  rlbunit.Bytes // used, or may come to be used
	Residents []rlbengine.Resident
	Leaving   bool     // gets no loads, and its replicas do not count
	InFlight  int      // requests in progress: an unload waits for those of its model
	Frozen    bool     // gets no orders now; its replicas count
	Near      []string // models of which it has copies of its own: they need no load from the weight store
}

// Input is what a plan is made from.
type Input struct {
	Note    rlbnote.State
	Engines []Engine // in a fixed order
	Demand  map[string]float64
	Guards  Guards
	// Settled reports that every gateway has the note: versions that it
	// replaced get no new requests.
	Settled bool
}

// Opts weigh a plan.
type Opts struct {
	MoveWeight  float64 // relief that a move must bring to be worth it
	Slots       float64 // requests that a replica serves at once
	LoadsAtOnce int     // that the weight store serves at full speed
	Growth      int     // loads of one model that may be under way while its demand asks for more; 0: 1
	Spares      int     // loads under way at which no replica is loaded that is only a spare; 0: LoadsAtOnce
	BusyWeight  float64 // loss that each request in progress at an engine adds to an unload there
	Searches    int     // for replicas to give way, in one plan; 0: few
	FarWeight   float64 // relief that a load from the weight store must bring beyond one from a copy nearby
	Replicas    int     // that each model keeps where memory is free, in different failure domains
}

// Proposal is a change that a plan proposes.
type Proposal struct {
	Endpoint string
	Action   rlbengine.Action
	Name     string
	Version  string
	Memory   rlbunit.Bytes
	Current  bool   // an unload of a version in force: the guards must allow it
	Reason   string // for people
}

func matchesRole(e Engine, role string) bool { return role == "" || e.Role == "" || e.Role == role }

func holds(e Engine, name, version string) bool {
	return slices.ContainsFunc(e.Residents, func(r rlbengine.Resident) bool {
		return r.Name == name && r.Version == version && r.Phase != rlbengine.PhaseUnloading
	})
}

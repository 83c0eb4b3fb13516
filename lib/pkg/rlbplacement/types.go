// Package rlbplacement decides which models are loaded on which engines. Every
// model in force keeps a ready replica, an engine's memory is never
// overcommitted, and further replicas are added where the demand justifies the
// cost of the moves. It does no I/O.
package rlbplacement

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Engine is the state of one engine as input of the placement.
type Engine struct {
	ID        string
	Domain    string
	Role      string
	Software  string // version of the engine's software; streams go on only at engines of the same one
	Memory    rlbunit.Bytes
	Reserved  rlbunit.Bytes // in use, or needed by orders that may still take effect
	Residents []rlbengine.Resident
	Leaving   bool     // receives no loads; its replicas do not count
	InFlight  int      // requests in flight; an unload waits for those of its model
	Frozen    bool     // receives no orders for now; its replicas count
	Silent    bool     // answers no requests: receives no orders, and its replicas are not relied on, as a crash may have unloaded them
	Near      []string // models with a local copy, which load without the weight store
}

// Input is the state from which a plan is made.
type Input struct {
	Note    rlbnote.State
	Engines []Engine           // in a fixed order, so that equal inputs give equal plans
	Demand  map[string]float64 // requests in flight or refused, by model
	Guards  Guards
	// Settled reports that every gateway has applied the note, so that the
	// versions it replaced receive no new requests.
	Settled bool
}

// Opts are the weights and limits of a plan.
type Opts struct {
	MoveWeight  float64 // minimum gain for each move
	Slots       float64 // requests that a replica serves at once
	LoadsAtOnce int     // concurrent loads that the weight store serves at full speed
	Growth      int     // limit of concurrent loads of one model that has a replica; 0: 1
	Spares      int     // no spare replica is loaded while this many loads are under way; 0: LoadsAtOnce
	BusyWeight  float64 // cost that each request in flight on an engine adds to an unload there
	Searches    int     // limit of searches for replicas to evict in one plan; 0: defaultSearches
	FarWeight   float64 // extra cost of a load from the weight store over one from a local copy
	Replicas    int     // target per model where memory is free, in different failure domains
}

// Proposal is one load or unload of a plan.
type Proposal struct {
	Endpoint string
	Action   rlbengine.Action
	Name     string
	Version  string
	Memory   rlbunit.Bytes
	Current  bool   // unload of a version in force, which the guards must allow
	Reason   string // for operators
}

func matchesRole(e Engine, role string) bool { return role == "" || e.Role == "" || e.Role == role }

func holds(e Engine, name, version string) bool {
	return slices.ContainsFunc(e.Residents, func(r rlbengine.Resident) bool {
		return r.Name == name && r.Version == version && r.Phase != rlbengine.PhaseUnloading
	})
}

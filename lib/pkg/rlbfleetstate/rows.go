// Package rlbfleetstate holds what an instance knows of the fleet, as tables whose
// rows only move to newer versions, and the updates by which instances tell
// each other what changed. It does no I/O.
package rlbfleetstate

import (
	"reflect"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Instance is an entry of the platform's list. Its version is the revision of
// the list in which it last differed.
type Instance struct {
	rlbinstance.Instance `msgpack:",inline"`
	Revision             uint64 `json:"revision" msgpack:"v"`
	Removed              bool   `json:"removed,omitempty" msgpack:"x,omitempty"` // no longer in the list
}

// Newer implements rlbtable.Row.
func (i Instance) Newer(old Instance) bool { return i.Revision > old.Revision }

// Serves reports whether the instance may be given new work.
func (i Instance) Serves() bool { return !i.Leaving && !i.Removed }

// Engine is what an engine holds. Its version is the engine's own.
type Engine struct {
	ID                  string               `json:"id" msgpack:"i"`
	Incarnation         uint64               `json:"incarnation" msgpack:"c"`
	Sequence            uint64               `json:"sequence" msgpack:"s"`
	Memory              rlbunit.Bytes        `json:"memory" msgpack:"m"`
	Residents           []rlbengine.Resident `json:"residents" msgpack:"r"`
	Draining            bool                 `json:"draining,omitempty" msgpack:"d,omitempty"`
	Unreachable         bool                 `json:"lost,omitempty" msgpack:"l,omitempty"`    // its collector hears nothing
	ReachabilityChanges uint64               `json:"changes,omitempty" msgpack:"h,omitempty"` // of Lost, within one sequence
}

// Newer implements rlbtable.Row.
func (e Engine) Newer(old Engine) bool {
	switch {
	case e.Incarnation != old.Incarnation:
		return e.Incarnation > old.Incarnation
	case e.Sequence != old.Sequence:
		return e.Sequence > old.Sequence
	default:
		return e.ReachabilityChanges > old.ReachabilityChanges
	}
}

// Ready reports whether the engine serves the version of a model.
func (e Engine) Ready(name, version string) bool {
	for _, r := range e.Residents {
		if r.Name == name && r.Version == version {
			return r.Phase == rlbengine.PhaseReady
		}
	}
	return false
}

// Load is how busy an engine is. Its version is the engine's report number.
type Load struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec: loads are most of what is told
	ID          string
	Incarnation uint64
	Report      uint64
	Running     int
	Waiting     int
	Slots       int
	Adapters    []string // resident, as name@version
}

// Newer implements rlbtable.Row.
func (l Load) Newer(old Load) bool {
	if l.Incarnation != old.Incarnation {
		return l.Incarnation > old.Incarnation
	}
	return l.Report > old.Report
}

// EqualExceptReport reports whether the load equals old but for the report number.
func (l Load) EqualExceptReport(old Load) bool {
	l.Report = old.Report
	return reflect.DeepEqual(l, old)
}

// NodeType says which program a node runs.
type NodeType string

// The types of nodes.
const (
	NodeGateway    NodeType = "gateway"
	NodeController NodeType = "controller"
)

// NodeKey names a node: one program on one entry instance.
type NodeKey struct {
	Type NodeType `json:"type" msgpack:"t"`
	ID   string   `json:"id" msgpack:"i"`
}

// Demand is the work asked for a model at one gateway, as a moving average.
type Demand struct {
	Model    string  `json:"model" msgpack:"m"`
	Requests float64 `json:"requests" msgpack:"r"` // a second
	InFlight int     `json:"in_flight" msgpack:"f"`
	Refused  float64 `json:"refused,omitempty" msgpack:"x,omitempty"` // a second
}

// Node is a heartbeat of one of the system's own processes. Its version is the
// time of its start and the number of its heartbeat.
type Node struct {
	NodeKey       `msgpack:",inline"`
	Epoch         int64          `json:"epoch" msgpack:"e"` // start, Unix time in nanoseconds
	Beat          uint64         `json:"beat" msgpack:"b"`
	FailureDomain string         `json:"failure_domain" msgpack:"f"`
	Address       string         `json:"address" msgpack:"a"` // control address of a controller, callers' of a gateway
	NoteVersion   uint64         `json:"note_version" msgpack:"n"`
	Leases        []string       `json:"leases,omitempty" msgpack:"l,omitempty"`
	Demand        []Demand       `json:"demand,omitempty" msgpack:"d,omitempty"`
	Draining      bool           `json:"draining,omitempty" msgpack:"x,omitempty"`
	Domain        *DomainSummary `json:"domain,omitempty" msgpack:"s,omitempty"` // told by a controller to other failure domains
}

// DomainSummary is a failure domain in short, for the other domains.
type DomainSummary struct {
	Gateways    int      `json:"gateways" msgpack:"g"`
	NoteVersion uint64   `json:"note_version" msgpack:"n"` // lowest in force at its gateways
	Demand      []Demand `json:"demand,omitempty" msgpack:"d,omitempty"`
}

// Newer implements rlbtable.Row.
func (n Node) Newer(old Node) bool {
	if n.Epoch != old.Epoch {
		return n.Epoch > old.Epoch
	}
	return n.Beat > old.Beat
}

// CrashKey names a strike: a request, by the fingerprint of its content, was
// running on an endpoint when that endpoint crashed.
type CrashKey struct {
	Fingerprint uint64 `json:"fingerprint" msgpack:"p"`
	Endpoint    string `json:"endpoint" msgpack:"e"`
	Incarnation uint64 `json:"incarnation" msgpack:"c"`
}

// Crash is a strike until a deadline.
type Crash struct {
	CrashKey `msgpack:",inline"`
	Model    string          `json:"model" msgpack:"m"`
	Deadline int64           `json:"deadline" msgpack:"d"` // Unix time in seconds
	Phase    QuarantinePhase `json:"phase,omitempty" msgpack:"h,omitempty"`
	RunsOn   string          `json:"runs_on,omitempty" msgpack:"r,omitempty"` // endpoint of PhaseRunning
}

// QuarantinePhase is how far a request with a strike is.
type QuarantinePhase uint8

// The phases, in their order.
const (
	QuarantineWaiting QuarantinePhase = iota // for its turn to run again
	QuarantineRunning                        // on an endpoint without other suspects
	QuarantineCleared                        // it ran again without a crash
)

// Newer implements rlbtable.Row.
func (s Crash) Newer(old Crash) bool {
	if s.Phase != old.Phase {
		return s.Phase > old.Phase
	}
	return s.Deadline > old.Deadline
}

// Package rlbfleetstate holds the state of the fleet as seen by one instance:
// tables whose rows are only replaced by newer versions, and the updates with
// which instances send each other changed rows. It does no I/O.
package rlbfleetstate

import (
	"reflect"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Instance is an entry of the platform's instance list. Its version is the
// revision of the list that last changed it.
type Instance struct {
	rlbinstance.Instance `msgpack:",inline"`
	Revision             uint64 `json:"revision" msgpack:"v"`
	Removed              bool   `json:"removed,omitempty" msgpack:"x,omitempty"` // no longer in the platform's list
}

// Newer implements rlbtable.Row.
func (i Instance) Newer(old Instance) bool { return i.Revision > old.Revision }

// Serves reports whether the instance can be assigned new work.
func (i Instance) Serves() bool { return !i.Leaving && !i.Removed }

// Engine is the state of an engine: its memory and its resident models. Rows are
// ordered by incarnation, sequence and ReachabilityChanges.
type Engine struct {
	ID                  string               `json:"id" msgpack:"i"`
	Incarnation         uint64               `json:"incarnation" msgpack:"c"`
	Sequence            uint64               `json:"sequence" msgpack:"s"`
	Memory              rlbunit.Bytes        `json:"memory" msgpack:"m"`
	Residents           []rlbengine.Resident `json:"residents" msgpack:"r"`
	Draining            bool                 `json:"draining,omitempty" msgpack:"d,omitempty"`
	Unreachable         bool                 `json:"lost,omitempty" msgpack:"l,omitempty"`    // the collecting instance receives no reports
	ReachabilityChanges uint64               `json:"changes,omitempty" msgpack:"h,omitempty"` // number of changes of Unreachable within one sequence
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

// Ready reports whether the engine serves the given version of a model.
func (e Engine) Ready(name, version string) bool {
	for _, r := range e.Residents {
		if r.Name == name && r.Version == version {
			return r.Phase == rlbengine.PhaseReady
		}
	}
	return false
}

// Load is the load of an engine. Rows are ordered by incarnation and report
// number.
type Load struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec; arrays are shorter, and loads make up most of the updates
	ID          string
	Incarnation uint64
	Report      uint64
	Running     int
	Waiting     int
	Slots       int
	Adapters    []string // resident adapters as name@version
}

// Newer implements rlbtable.Row.
func (l Load) Newer(old Load) bool {
	if l.Incarnation != old.Incarnation {
		return l.Incarnation > old.Incarnation
	}
	return l.Report > old.Report
}

// EqualExceptReport reports whether the load equals old, ignoring the report
// number.
func (l Load) EqualExceptReport(old Load) bool {
	l.Report = old.Report
	return reflect.DeepEqual(l, old)
}

// ProcessType is the program that a process runs.
type ProcessType string

// The types of processes.
const (
	ProcessGateway    ProcessType = "gateway"
	ProcessController ProcessType = "controller"
)

// ProcessKey identifies a process of rhubarblb: one program on one instance.
type ProcessKey struct {
	Type ProcessType `json:"type" msgpack:"t"`
	ID   string      `json:"id" msgpack:"i"`
}

// Demand is the demand for a model at one gateway, as a moving average.
type Demand struct {
	Model    string  `json:"model" msgpack:"m"`
	Requests float64 `json:"requests" msgpack:"r"` // per second
	InFlight int     `json:"in_flight" msgpack:"f"`
	Refused  float64 `json:"refused,omitempty" msgpack:"x,omitempty"` // per second
}

// Process is a gateway or controller, as described by its heartbeats. Rows are
// ordered by start time and heartbeat number.
type Process struct {
	ProcessKey    `msgpack:",inline"`
	StartedAt     int64          `json:"epoch" msgpack:"e"` // Unix time in nanoseconds
	Heartbeat     uint64         `json:"beat" msgpack:"b"`  // number of the heartbeat
	FailureDomain string         `json:"failure_domain" msgpack:"f"`
	Address       string         `json:"address" msgpack:"a"` // control address of a controller, address for callers of a gateway
	NoteVersion   uint64         `json:"note_version" msgpack:"n"`
	Leases        []string       `json:"leases,omitempty" msgpack:"l,omitempty"`
	Demand        []Demand       `json:"demand,omitempty" msgpack:"d,omitempty"`
	Draining      bool           `json:"draining,omitempty" msgpack:"x,omitempty"`
	Domain        *DomainSummary `json:"domain,omitempty" msgpack:"s,omitempty"` // sent by a controller to other failure domains
}

// DomainSummary is the summary of a failure domain that other domains receive.
type DomainSummary struct {
	Gateways    int      `json:"gateways" msgpack:"g"`
	NoteVersion uint64   `json:"note_version" msgpack:"n"` // lowest version in force at its gateways
	Demand      []Demand `json:"demand,omitempty" msgpack:"d,omitempty"`
}

// Newer implements rlbtable.Row.
func (p Process) Newer(old Process) bool {
	if p.StartedAt != old.StartedAt {
		return p.StartedAt > old.StartedAt
	}
	return p.Heartbeat > old.Heartbeat
}

// CrashKey identifies a crash record: a request, identified by the fingerprint of
// its content, was running on an endpoint when that endpoint crashed.
type CrashKey struct {
	Fingerprint uint64 `json:"fingerprint" msgpack:"p"`
	Endpoint    string `json:"endpoint" msgpack:"e"`
	Incarnation uint64 `json:"incarnation" msgpack:"c"`
}

// Crash is a crash record. It is valid until its deadline.
type Crash struct {
	CrashKey `msgpack:",inline"`
	Model    string          `json:"model" msgpack:"m"`
	Deadline int64           `json:"deadline" msgpack:"d"` // Unix time in seconds
	Phase    QuarantinePhase `json:"phase,omitempty" msgpack:"h,omitempty"`
	RunsOn   string          `json:"runs_on,omitempty" msgpack:"r,omitempty"` // endpoint that runs the request in phase QuarantineRunning
	Parts    []uint64        `json:"parts,omitempty" msgpack:"t,omitempty"`   // hashes of the parts of the prompt that other requests may share
}

// QuarantinePhase is the phase of a quarantined request.
type QuarantinePhase uint8

// The phases, in order.
const (
	QuarantineWaiting QuarantinePhase = iota // waits for a quarantine slot to run again
	QuarantineRunning                        // runs on an endpoint without other quarantined requests
	QuarantineCleared                        // ran again without a crash
)

// Newer implements rlbtable.Row.
func (c Crash) Newer(old Crash) bool {
	if c.Phase != old.Phase {
		return c.Phase > old.Phase
	}
	return c.Deadline > old.Deadline
}

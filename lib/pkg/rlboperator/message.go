// Package rlboperator is the interface between operators and a controller:
// JSON over HTTP, with its messages and its client.
//
// Routes: POST /operator/note (publish), POST /operator/note/validate, GET
// /operator/note, GET /operator/note/history, GET /operator/status, GET
// /operator/explain, GET
// /operator/snapshot.
package rlboperator

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// Headers of a note.
const (
	HeaderNoteName = "X-Note-Name" // of its file, for error messages
	HeaderNoteID   = "X-Note-Id"   // its id, if the note itself has none
)

// PublishResult answers a published note.
type PublishResult struct {
	Version   uint64    `json:"version"`
	ID        string    `json:"id"`
	Published time.Time `json:"published"`
}

// ValidateResult answers a validated note.
type ValidateResult struct {
	Base        uint64               `json:"base"`
	Differences []rlbnote.Difference `json:"differences"`
}

// HistoryEntry is one accepted note of the history.
type HistoryEntry struct {
	Version   uint64       `json:"version"`
	Published time.Time    `json:"published"`
	Note      rlbnote.Note `json:"note"`
}

// Rejection answers a note that was not accepted.
type Rejection struct {
	Problem string         `json:"problem"`
	Kind    Kind           `json:"kind"`
	Current uint64         `json:"current,omitempty"` // version in force
	Since   []HistoryEntry `json:"since,omitempty"`   // accepted since the note's base
}

// Kind is the kind of a rejection or of a failed call.
type Kind string

// The kinds.
const (
	KindInvalid     Kind = "invalid"     // the note is wrong
	KindStale       Kind = "stale"       // another note came first
	KindInfeasible  Kind = "infeasible"  // the endpoints cannot hold it
	KindUnavailable Kind = "unavailable" // the platform or the controllers cannot be reached; not accepted
	KindUnsure      Kind = "unsure"      // it may have been accepted
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Endpoint is one endpoint in a status.
type Endpoint struct {
	ID            string   `json:"id"`
	Type          string   `json:"type"`
	FailureDomain string   `json:"failure_domain"`
	Role          string   `json:"role,omitempty"`
	State         string   `json:"state"` // live, leaving, removed, draining, lost
	Memory        string   `json:"memory,omitempty"`
	Used          string   `json:"used,omitempty"`
	Residents     []string `json:"residents,omitempty"` // name@version phase
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
}

// Node is one of the system's own processes in a status.
type Node struct {
	rlbfleetstate.Node
	Silent float64 `json:"silent"` // seconds since its latest heartbeat
}

// Model is one model in force in a status.
type Model struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	Ready   []string `json:"ready"` // endpoints
	Demand  float64  `json:"demand"`
}

// Status is what a controller knows.
type Status struct {
	Instance    string     `json:"instance"`
	NoteVersion uint64     `json:"note_version"`
	NoteID      string     `json:"note_id"`
	InForce     bool       `json:"in_force"` // at every live gateway
	Gateways    int        `json:"gateways"`
	Nodes       []Node     `json:"nodes"`
	Models      []Model    `json:"models"`
	Endpoints   []Endpoint `json:"endpoints"`
}

// Event is one decision or change.
type Event struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Subject  string    `json:"subject"`
	Text     string    `json:"text"`
}

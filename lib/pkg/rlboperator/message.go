// Package rlboperator defines the operator API of a controller, JSON over HTTP,
// and its client.
//
// Routes: POST /operator/note (publish), POST /operator/note/validate, GET
// /operator/note, GET /operator/note/history, GET /operator/status, GET
// /operator/explain, GET /operator/snapshot, GET /operator/burn.
package rlboperator

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
)

// Headers of requests that carry a note.
const (
	HeaderNoteName = "X-Note-Name" // name of the file, for error messages
	HeaderNoteID   = "X-Note-Id"   // ID of the note, unless the note has its own
)

// PublishResult is the response to a published note.
type PublishResult struct {
	Version   uint64    `json:"version"`
	ID        string    `json:"id"`
	Published time.Time `json:"published"`
}

// ValidateResult is the response to a valid note.
type ValidateResult struct {
	Base        uint64               `json:"base"`
	Differences []rlbnote.Difference `json:"differences"`
}

// HistoryEntry is an accepted note in the history.
type HistoryEntry struct {
	Version   uint64       `json:"version"`
	Published time.Time    `json:"published"`
	Note      rlbnote.Note `json:"note"`
}

// Rejection is the response to a note that is not accepted.
type Rejection struct {
	Problem string         `json:"problem"`
	Kind    Kind           `json:"kind"`
	Current uint64         `json:"current,omitempty"` // version in force
	Since   []HistoryEntry `json:"since,omitempty"`   // notes accepted since the base of the rejected note
}

// Kind classifies rejections and failed calls.
type Kind string

// Kinds of rejections and errors.
const (
	KindInvalid     Kind = "invalid"     // the note is invalid
	KindStale       Kind = "stale"       // another note was accepted since the base of the note
	KindInfeasible  Kind = "infeasible"  // the endpoints cannot hold the models of the note
	KindUnavailable Kind = "unavailable" // the platform or the controllers are unreachable; the note is not accepted
	KindUnknown     Kind = "unsure"      // the note may have been accepted
)

// String returns the text of the kind for error messages.
func (k Kind) String() string { return string(k) }

// Endpoint is an endpoint in a status.
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

// Process is a gateway or controller in a status.
type Process struct {
	rlbfleetstate.Process
	Silent float64 `json:"silent"` // seconds since the last heartbeat
}

// Model is a model in force in a status.
type Model struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	Ready   []string `json:"ready"` // IDs of the endpoints on which it is ready
	Demand  float64  `json:"demand"`
}

// Status is the status of the fleet as one controller sees it.
type Status struct {
	Instance    string     `json:"instance"`
	NoteVersion uint64     `json:"note_version"`
	NoteID      string     `json:"note_id"`
	InForce     bool       `json:"in_force"` // whether the note is in force at every live gateway
	Gateways    int        `json:"gateways"`
	Processes   []Process  `json:"nodes"`
	Models      []Model    `json:"models"`
	Endpoints   []Endpoint `json:"endpoints"`
}

// Event is a decision of a controller or a change that it observed.
type Event struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Subject  string    `json:"subject"`
	Text     string    `json:"text"`
}

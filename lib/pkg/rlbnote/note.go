// Package rlbnote parses release notes, applies them to the release state and
// compares states. It does no I/O.
package rlbnote

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// MaxBytes is the maximum length of a release note.
const MaxBytes = 1 * rlbunit.MiB

// Class is the priority class of the requests for a model.
type Class string

// The classes.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch" // yields to interactive requests
)

// Model is a model listed in a release note.
type Model struct {
	Name          string        `json:"name" msgpack:"n"`
	Version       string        `json:"version" msgpack:"v"`
	Role          string        `json:"role,omitempty" msgpack:"r"` // role of the engines that serve it; empty: any role
	Class         Class         `json:"class,omitempty" msgpack:"c"`
	FirstToken    time.Duration `json:"first_token,omitempty" msgpack:"f"` // target latency; 0: none
	NextToken     time.Duration `json:"next_token,omitempty" msgpack:"t"`  // target latency; 0: none
	NonIdempotent bool          `json:"once,omitempty" msgpack:"o"`        // requests are not idempotent
	Memory        rlbunit.Bytes `json:"memory,omitempty" msgpack:"m"`      // memory of the weights, as stated by the weight store
}

// Adapter is an adapter listed in a release note.
type Adapter struct {
	Name    string `json:"name" msgpack:"n"`
	Model   string `json:"model" msgpack:"m"`
	Version string `json:"version" msgpack:"v"`
}

// Service is a plain service listed in a release note.
type Service struct {
	Name       string   `json:"name" msgpack:"n"`
	Prefix     string   `json:"prefix" msgpack:"p"`     // path prefix, such as /stock/
	Idempotent []string `json:"idempotent" msgpack:"i"` // methods that can be retried
}

// Items are the models, adapters and services listed in a section of a note.
type Items struct {
	Models   []Model   `json:"models,omitempty" msgpack:"m,omitempty"`
	Adapters []Adapter `json:"adapters,omitempty" msgpack:"a,omitempty"`
	Services []Service `json:"services,omitempty" msgpack:"s,omitempty"`
}

// Names lists the names of the models, adapters and services that a note withdraws.
type Names struct {
	Models   []string `json:"models,omitempty" msgpack:"m,omitempty"`
	Adapters []string `json:"adapters,omitempty" msgpack:"a,omitempty"`
	Services []string `json:"services,omitempty" msgpack:"s,omitempty"`
}

// Note is a release note: the models, adapters and services that it adds, changes
// and withdraws relative to its base version.
type Note struct {
	ID       string `json:"id" msgpack:"i"`
	Base     uint64 `json:"base" msgpack:"b"`
	Add      Items  `json:"add" msgpack:"a"`
	Change   Items  `json:"change" msgpack:"c"`
	Withdraw Names  `json:"withdraw" msgpack:"w"`
}

// Record identifies an accepted note.
type Record struct {
	Version   uint64    `json:"version" msgpack:"v"`
	ID        string    `json:"id" msgpack:"i"`
	Published time.Time `json:"published" msgpack:"p"`
}

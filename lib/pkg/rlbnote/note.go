// Package rlbnote holds release notes: reading them, the state that results
// from a series of notes, and the differences between states. It does no I/O.
package rlbnote

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// MaxBytes is the longest release note.
const MaxBytes = 1 * rlbunit.MiB

// Class says how urgent a model's requests are.
type Class string

// The classes.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch" // yields to interactive requests
)

// Model is a model as listed.
type Model struct {
	Name          string        `json:"name" msgpack:"n"`
	Version       string        `json:"version" msgpack:"v"`
	Role          string        `json:"role,omitempty" msgpack:"r"` // engines of this role serve it; empty: any
	Class         Class         `json:"class,omitempty" msgpack:"c"`
	FirstToken    time.Duration `json:"first_token,omitempty" msgpack:"f"` // target; 0: none
	NextToken     time.Duration `json:"next_token,omitempty" msgpack:"t"`  // target; 0: none
	NonIdempotent bool          `json:"once,omitempty" msgpack:"o"`        // requests are not idempotent
	Memory        rlbunit.Bytes `json:"memory,omitempty" msgpack:"m"`      // from the weight store
}

// Adapter is an adapter as listed.
type Adapter struct {
	Name    string `json:"name" msgpack:"n"`
	Model   string `json:"model" msgpack:"m"`
	Version string `json:"version" msgpack:"v"`
}

// Service is a plain service as listed.
type Service struct {
	Name       string   `json:"name" msgpack:"n"`
	Prefix     string   `json:"prefix" msgpack:"p"`     // path prefix, such as /stock/
	Idempotent []string `json:"idempotent" msgpack:"i"` // methods that may be repeated
}

// Items are the models, adapters and services that a section lists.
type Items struct {
	Models   []Model   `json:"models,omitempty" msgpack:"m,omitempty"`
	Adapters []Adapter `json:"adapters,omitempty" msgpack:"a,omitempty"`
	Services []Service `json:"services,omitempty" msgpack:"s,omitempty"`
}

// Names are the models, adapters and services that a note withdraws.
type Names struct {
	Models   []string `json:"models,omitempty" msgpack:"m,omitempty"`
	Adapters []string `json:"adapters,omitempty" msgpack:"a,omitempty"`
	Services []string `json:"services,omitempty" msgpack:"s,omitempty"`
}

// Note is a release note: what is added, changed and withdrawn relative to the
// version it builds on.
type Note struct {
	ID       string `json:"id" msgpack:"i"`
	Base     uint64 `json:"base" msgpack:"b"`
	Add      Items  `json:"add" msgpack:"a"`
	Change   Items  `json:"change" msgpack:"c"`
	Withdraw Names  `json:"withdraw" msgpack:"w"`
}

// Record is one accepted note in short.
type Record struct {
	Version   uint64    `json:"version" msgpack:"v"`
	ID        string    `json:"id" msgpack:"i"`
	Published time.Time `json:"published" msgpack:"p"`
}

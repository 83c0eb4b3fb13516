// Package rlbcrash finds the properties of requests that crash the endpoints which run
// them, so that further requests with such a property are refused. A property is the
// whole request, which a caller may send again, or a part of its prompt that other
// requests share.
//
// A crash is evidence against each property of the requests that it cut off, since
// nothing tells which of them caused it. Three rules find the cause: an answer to a
// request with a property refutes the evidence against it, a crash that one property
// explains is no evidence against another, and crashes at the same moment count once, as
// machines fail together, or equal requests run at one endpoint. Instances exchange their records and merge them; merging is
// commutative and idempotent. The package does no I/O.
package rlbcrash

import (
	"slices"
	"time"
)

// Kind is the kind of a property.
type Kind uint8

// Kinds of properties.
const (
	WholeRequest Kind = iota // the request, by a hash of its content
	PromptPart               // a part of a prompt, by its ID
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"whole request", "prompt part"}[k] }

// Property is something that requests may have in common.
type Property struct {
	Kind Kind
	ID   uint64
}

// Crash is a crash of an endpoint while it ran a request with a property.
type Crash struct {
	ID       uint64 // equal at all instances that count the same crash against the property
	Endpoint uint64 // identifies the endpoint's incarnation, which can crash only once
	At       time.Time
	Began    time.Time // start of the attempt that it cut off; zero: not known
	Refuted  bool      // a request with the property was answered: it did not cause the crash
}

// Record is the evidence about one property.
type Record struct {
	Property Property
	Crashes  []Crash // with different IDs, oldest first, at most maxCrashes; a crash keeps the time at which the instance heard of it first
	Answered bool    // a request with the property was answered, before or after the crashes
}

// maxCrashes is the number of crashes that a record holds. Later ones are ignored: with so
// many, requests are refused for as long as the record is kept.
const maxCrashes = 16

// open returns the crashes that are not refuted.
func (r *Record) open() []Crash {
	var open []Crash
	for _, c := range r.Crashes {
		if !c.Refuted {
			open = append(open, c)
		}
	}
	return open
}

// countOpen returns the number of crashes that are not refuted.
func (r *Record) countOpen() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Refuted {
			n++
		}
	}
	return n
}

func (r *Record) lastCrash() time.Time { return r.Crashes[len(r.Crashes)-1].At }

// add adds a crash or merges it with the one of the same ID. It reports whether the
// record has changed.
func (r *Record) add(c Crash) bool {
	for i := range r.Crashes {
		if known := &r.Crashes[i]; known.ID == c.ID {
			changed := c.Refuted && !known.Refuted
			known.Refuted = known.Refuted || c.Refuted
			return changed
		}
	}
	if len(r.Crashes) == maxCrashes && (c.Refuted || !r.dropRefuted()) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.Crashes = slices.Insert(r.Crashes, at, c)
	return true
}

// dropRefuted removes the oldest refuted crash. It reports whether there was one.
func (r *Record) dropRefuted() bool {
	oldest := slices.IndexFunc(r.Crashes, func(c Crash) bool { return c.Refuted })
	if oldest < 0 {
		return false
	}
	r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	return true
}

// refute marks all crashes as not caused by the property. It reports whether the record
// has changed.
func (r *Record) refute() bool {
	changed := !r.Answered
	r.Answered = true
	for i := range r.Crashes {
		changed = changed || !r.Crashes[i].Refuted
		r.Crashes[i].Refuted = true
	}
	return changed
}

// merge adds the evidence of another record of the same property. It reports whether
// the record has changed.
func (r *Record) merge(other Record) bool {
	changed := other.Answered && !r.Answered
	r.Answered = r.Answered || other.Answered
	for _, c := range other.Crashes {
		changed = r.add(c) || changed
	}
	return changed
}

// copy returns a copy that shares no memory with the record.
func (r *Record) copy() Record {
	return Record{Property: r.Property, Crashes: slices.Clone(r.Crashes), Answered: r.Answered}
}

// Package rlbmodelcheck explores every state that a small model can reach and
// checks an invariant in each. Models wrap the real decision code.
package rlbmodelcheck

import (
	"fmt"
	"strings"
)

// State is one state of a model. States are values: Next returns new ones.
type State interface {
	// Key identifies the state: equal keys mean equal futures.
	Key() string
	// Next returns the states that can follow, each with the event that leads
	// there.
	Next() []Step
	// Check returns an error if the state breaks the invariant.
	Check() error
}

// Step is one event and the state after it.
type Step struct {
	Event string
	State State
}

// Result is the outcome of an exploration.
type Result struct {
	States int
	Trace  []string // the events to the first broken state, shortest first
	Err    error    // nil: the invariant holds in every state
}

// String returns the trace and the error.
func (r Result) String() string {
	if r.Err == nil {
		return fmt.Sprintf("%d states, invariant holds", r.States)
	}
	return fmt.Sprintf("%d states: %v after:\n%s", r.States, r.Err, strings.Join(r.Trace, "\n"))
}

// visited links a state to the one before it.
type visited struct {
	before *visited
	event  string
	state  State
}

// Explore visits the states breadth first, at most limit of them; reaching the
// limit is an error.
func Explore(initial State, limit int) Result {
	seen := map[string]struct{}{initial.Key(): {}}
	queue := []*visited{{state: initial}}
	for len(queue) > 0 {
		v := queue[0]
		queue = queue[1:]
		if err := v.state.Check(); err != nil {
			return Result{len(seen), v.trace(), err}
		}
		for _, step := range v.state.Next() {
			key := step.State.Key()
			if _, known := seen[key]; known {
				continue
			}
			if len(seen) >= limit {
				return Result{len(seen), nil, fmt.Errorf("more than %d states", limit)}
			}
			seen[key] = struct{}{}
			queue = append(queue, &visited{v, step.Event, step.State})
		}
	}
	return Result{States: len(seen)}
}

func (v *visited) trace() []string {
	var events []string
	for ; v.before != nil; v = v.before {
		events = append([]string{v.event}, events...)
	}
	return events
}

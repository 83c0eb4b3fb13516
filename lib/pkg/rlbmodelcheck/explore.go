// Package rlbmodelcheck is an explicit-state model checker: it explores all
// reachable states of a small model and checks an invariant in each. Models wrap
// the production decision code.
package rlbmodelcheck

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
)

// State is a state of a model. States are immutable: Next returns new ones.
type State interface {
	// Key identifies the state: states with equal keys have equal successors.
	Key() string
	// Next returns the successor states, each with the event that leads to it.
	Next() []Step
	// Check returns an error if the state violates the invariant.
	Check() error
}

// Step is an event and the state after it.
type Step struct {
	Event string
	State State
}

// Result is the outcome of an exploration.
type Result struct {
	States int
	Trace  []string // events on a shortest path to a violating state
	Err    error    // nil if the invariant holds in all states
}

// String describes the result with its trace and error.
func (r Result) String() string {
	if r.Err == nil {
		return fmt.Sprintf("%d states, invariant holds", r.States)
	}
	return fmt.Sprintf("%d states: %v after:\n%s", r.States, r.Err, strings.Join(r.Trace, "\n"))
}

// node is a visited state with a link to its predecessor.
type node struct {
	parent *node
	event  string
	state  State
}

// batchSize is the number of states that are expanded in parallel.
const batchSize = 4096

// expansion holds the error or the successors of a state.
type expansion struct {
	err   error
	steps []Step
	keys  []string
}

// Explore visits at most limit states breadth first; more states are an error.
// States are expanded in parallel on all processors; the result doesn't depend on
// their number.
func Explore(initial State, limit int) Result {
	seen := map[string]struct{}{initial.Key(): {}}
	queue := []*node{{state: initial}}
	for len(queue) > 0 {
		batch := queue[:min(batchSize, len(queue))]
		queue = queue[len(batch):]
		for i, e := range expandAll(batch) {
			n := batch[i]
			if e.err != nil {
				return Result{len(seen), n.trace(), e.err}
			}
			for k, step := range e.steps {
				if _, known := seen[e.keys[k]]; known {
					continue
				}
				if len(seen) >= limit {
					return Result{len(seen), nil, fmt.Errorf("more than %d states", limit)}
				}
				seen[e.keys[k]] = struct{}{}
				queue = append(queue, &node{n, step.Event, step.State})
			}
		}
	}
	return Result{States: len(seen)}
}

// expandAll expands states in parallel.
func expandAll(states []*node) []expansion {
	all := make([]expansion, len(states))
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(states)); i = next.Add(1) - 1 {
				all[i] = expand(states[i].state)
			}
		})
	}
	workers.Wait()
	return all
}

func expand(s State) expansion {
	e := expansion{err: s.Check()}
	if e.err != nil {
		return e
	}
	e.steps = s.Next()
	for _, step := range e.steps {
		e.keys = append(e.keys, step.State.Key())
	}
	return e
}

func (n *node) trace() []string {
	var events []string
	for ; n.parent != nil; n = n.parent {
		events = append([]string{n.event}, events...)
	}
	return events
}

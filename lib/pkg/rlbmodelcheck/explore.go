// Package rlbmodelcheck explores every state that a small model can reach and
// checks an invariant in each. Models wrap the real decision code.
package rlbmodelcheck

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
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

// node links a state to the one before it.
type node struct {
	parent *node
	event  string
	state  State
}

// batchSize is the number of states whose followers are worked out at once.
const batchSize = 4096

// expansion is what became of one state.
type expansion struct {
	err   error
	steps []Step
	keys  []string
}

// Explore visits the states breadth first, at most limit of them; reaching the
// limit is an error. The followers of states are worked out on all processors; the
// result is the same as on one.
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

// expandAll works out what follows each state.
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

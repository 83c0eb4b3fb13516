// Package rlbpick chooses the endpoint of a request from what this instance and
// the others have in progress there, where the endpoint is, and how its latest
// answers were. It does no I/O.
package rlbpick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsite"
)

// Weights of a choice, in parts of an endpoint's full load.
const (
	otherDomain = 0.35 // an endpoint in another failure domain
	overfull    = 4.0  // each full load beyond the first
	tie         = 0.02 // random, so that equal endpoints share the work
)

// Times for which an endpoint that fails gets no requests while others can.
const (
	firstPause = 300 * time.Millisecond
	longPause  = 5 * time.Second
)

// Outcome is how an endpoint dealt with a request.
type Outcome int

// The outcomes.
const (
	OutcomeNeutral Outcome = iota // says nothing of the endpoint
	OutcomeGood
	OutcomeBad
)

// Table knows the load and the latest outcomes of endpoints. Its methods may be
// called from any goroutine.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
}

type row struct {
	born     time.Time // of the life that the row is about
	inFlight int
	failures int       // in a row
	paused   time.Time // until when others are preferred
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]*row{}} }

func (t *Table) row(e *rlbsite.Endpoint) *row {
	r := t.rows[e.ID]
	if r == nil {
		r = &row{born: e.Born}
		t.rows[e.ID] = r
	}
	if e.Born.After(r.born) {
		r.born, r.failures, r.paused = e.Born, 0, time.Time{}
	}
	return r
}

// Begin notes that a request is sent to an endpoint.
func (t *Table) Begin(e *rlbsite.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(e).inFlight++
}

// End notes how a request that was sent to an endpoint ended.
func (t *Table) End(now time.Time, e *rlbsite.Endpoint, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight--
	switch outcome {
	case OutcomeGood:
		r.failures, r.paused = 0, time.Time{}
	case OutcomeBad:
		pause := min(firstPause<<min(r.failures, 8), longPause)
		r.failures++
		r.paused = now.Add(pause)
	case OutcomeNeutral:
	}
}

// InFlight calls yield for each endpoint with requests in progress.
func (t *Table) InFlight(yield func(id string, n int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if r.inFlight > 0 {
			yield(id, r.inFlight)
		}
	}
}

// Own returns the number of requests in progress at an endpoint.
func (t *Table) Own(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.inFlight
	}
	return 0
}

// Forget drops the rows of endpoints that are not known any more.
func (t *Table) Forget(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if r.inFlight == 0 && !known(id) {
			delete(t.rows, id)
		}
	}
}

// Wanted describes the endpoint that a request needs.
type Wanted struct {
	Domain string                       // of this instance
	Fits   func(*rlbsite.Endpoint) bool // whether the endpoint can run it
	Others func(id string) int          // other instances' requests on an endpoint
}

// Pick returns the best of the endpoints that fit, or nil. Endpoints whose
// latest answers were bad are taken only if there are no others.
func (t *Table) Pick(now time.Time, all []*rlbsite.Endpoint, w Wanted) *rlbsite.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *rlbsite.Endpoint
	bestCost, bestPaused := 0.0, false
	for _, e := range all {
		if e.Leaving || !w.Fits(e) {
			continue
		}
		r := t.row(e)
		paused := now.Before(r.paused)
		cost := w.cost(e, r.inFlight)
		if best == nil || bestPaused && !paused || paused == bestPaused && cost < bestCost {
			best, bestCost, bestPaused = e, cost, paused
		}
	}
	return best
}

func (w Wanted) cost(e *rlbsite.Endpoint, own int) float64 {
	fill := float64(own+w.Others(e.ID)+1) / float64(max(e.Slots, 1))
	cost := fill + tie*rand.Float64()
	if fill > 1 {
		cost += overfull * (fill - 1)
	}
	if e.Domain != w.Domain {
		cost += otherDomain
	}
	return cost
}

// Package rlbpick chooses the endpoint of a request from what this instance and
// the others have in progress there, where the endpoint is, and how its latest
// answers were. It does no I/O.
package rlbpick

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsite"
)

// Terms of what is learnt.
const (
	engineStay = 4 * time.Second       // of a request at an engine, until one has ended
	plainStay  = 60 * time.Millisecond // the same at a plain service
	stayWeight = 0.05                  // of the latest request in the mean stay
	slowWeight = 0.2                   // of the latest stream in an endpoint's share of slow ones
)

// Table knows the load and the latest outcomes of endpoints. Its methods may be
// called from any goroutine.
type Table struct {
	mu    sync.Mutex
	news  uint64 // counts changes of load
	rows  map[string]*row
	stays map[string]time.Duration // mean time that a request takes at an endpoint, by service
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]*row{}, stays: map[string]time.Duration{}} }

// Begin notes that a request is sent to an endpoint. Answered notes, once, that its
// answer has begun.
func (t *Table) Begin(e *rlbsite.Endpoint, work Work) (answered func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight++
	t.news++
	r.unread += work.Tokens
	if work.Urgent {
		r.urgent++
	}
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.unread -= work.Tokens
		t.news++
	})
}

// End notes how a request that began at an endpoint ended, and how long it was
// there.
func (t *Table) End(now time.Time, e *rlbsite.Endpoint, work Work, outcome Outcome, stayed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight--
	if work.Urgent {
		r.urgent--
	}
	t.news++
	switch outcome {
	case OutcomeGood:
		r.failures, r.paused, r.lost = 0, time.Time{}, time.Time{}
		t.noteStay(e.Service, stayed)
	case OutcomeBad, OutcomeLost:
		pause := min(firstPause<<min(r.failures, 8), longPause)
		r.failures++
		r.paused = now.Add(pause)
		if outcome == OutcomeLost {
			r.lost = r.paused
		}
	case OutcomeNeutral:
	}
}

func (t *Table) noteStay(service string, stayed time.Duration) {
	mean, known := t.stays[service]
	if !known {
		t.stays[service] = stayed
		return
	}
	t.stays[service] = mean + time.Duration(stayWeight*float64(stayed-mean))
}

// Refused notes that an endpoint did not run a request for a model, or for an
// adapter as MODEL/ADAPTER: it may be about to unload it, or be full.
func (t *Table) Refused(now time.Time, e *rlbsite.Endpoint, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	if r.closed == nil {
		r.closed = map[string]time.Time{}
	}
	r.closed[what] = now.Add(closedFor)
}

// Wrong notes that an endpoint is not what its entry says: another one has its
// address, or it does not hold what it should.
func (t *Table) Wrong(now time.Time, e *rlbsite.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.wrong, r.wrongTo = e, now.Add(wrongFor)
}

// Loads calls yield for each endpoint with requests in progress, or in doubt.
func (t *Table) Loads(now time.Time, yield func(id string, load Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		load := r.load()
		if now.Before(r.lost) || r.misplaced(now) {
			load.Doubts = 1
		}
		if load.InFlight > 0 || load.Doubts > 0 {
			yield(id, load)
		}
	}
}

// Streamed notes whether a stream of an endpoint had a pause that was too long.
func (t *Table) Streamed(e *rlbsite.Endpoint, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.slow *= 1 - slowWeight
	if slow {
		r.slow += slowWeight
	}
}

// Place returns what an endpoint has for requests, as far as is known.
func (t *Table) Place(e *rlbsite.Endpoint, engine bool) Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(e, engine)
}

func (t *Table) place(e *rlbsite.Endpoint, engine bool) Place {
	stay, known := t.stays[e.Service]
	switch {
	case known:
	case engine:
		stay = engineStay
	default:
		stay = plainStay
	}
	return Place{Slots: e.Slots, Stay: stay, Engine: engine}
}

// News counts up with each change of this instance's load.
func (t *Table) News() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// Own returns this instance's load on an endpoint.
func (t *Table) Own(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.load()
	}
	return Load{}
}

// Paused reports whether the latest answers of an endpoint were bad.
func (t *Table) Paused(now time.Time, e *rlbsite.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(e).doubtful(now)
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

// Package rlbbalancer chooses the endpoint of a request from what this instance and
// the others have in progress there, where the endpoint is, and how its latest
// answers were. It does no I/O.
package rlbbalancer

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Terms of what is learnt.
const (
	engineStay = 4 * time.Second       // of a request at an engine, until one has ended
	plainStay  = 60 * time.Millisecond // the same at a plain service
	stayWeight = 0.05                  // of the latest request in the mean stay
	slowWeight = 0.2                   // of the latest stream in an endpoint's share of slow ones
)

// Balancer knows the load and the latest outcomes of endpoints. Its methods may be
// called from any goroutine.
type Balancer struct {
	mu    sync.Mutex
	news  uint64 // counts changes of load
	rows  map[string]*row
	stays map[string]time.Duration // mean time that a request takes at an endpoint, by service
}

// New returns an empty table.
func New() *Balancer { return &Balancer{rows: map[string]*row{}, stays: map[string]time.Duration{}} }

// Begin notes that a request is sent to an endpoint. Answered notes, once, that its
// answer has begun.
func (t *Balancer) Begin(e *rlbdeployment.Endpoint, work RequestLoad) (answered func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight++
	t.news++
	r.unread += work.PromptTokens
	if work.Urgent {
		r.urgent++
	}
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.unread -= work.PromptTokens
		t.news++
	})
}

// End notes how a request that began at an endpoint ended, and how long it was
// there.
func (t *Balancer) End(now time.Time, e *rlbdeployment.Endpoint, work RequestLoad, outcome Outcome, stayed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight--
	if work.Urgent {
		r.urgent--
	}
	t.news++
	switch outcome {
	case OutcomeSucceeded:
		r.failures, r.paused, r.lost = 0, time.Time{}, time.Time{}
		t.noteStay(e.Service, stayed)
	case OutcomeFailed, OutcomeNoAnswer:
		pause := min(firstPause<<min(r.failures, 8), longPause)
		r.failures++
		r.paused = now.Add(pause)
		if outcome == OutcomeNoAnswer {
			r.lost = r.paused
		}
	case OutcomeNeutral:
	}
}

func (t *Balancer) noteStay(service string, stayed time.Duration) {
	mean, known := t.stays[service]
	if !known {
		t.stays[service] = stayed
		return
	}
	t.stays[service] = mean + time.Duration(stayWeight*float64(stayed-mean))
}

// RecordRefusal notes that an endpoint did not run a request for a model, or for an
// adapter as MODEL/ADAPTER: it may be about to unload it, or be full.
func (t *Balancer) RecordRefusal(now time.Time, e *rlbdeployment.Endpoint, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	if r.closed == nil {
		r.closed = map[string]time.Time{}
	}
	r.closed[what] = now.Add(closedFor)
}

// RecordMismatch notes that an endpoint is not what its entry says: another one has its
// address, or it does not hold what it should.
func (t *Balancer) RecordMismatch(now time.Time, e *rlbdeployment.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.wrong, r.wrongTo = e, now.Add(wrongFor)
}

// Loads calls yield for each endpoint with requests in progress, or in doubt.
func (t *Balancer) Loads(now time.Time, yield func(id string, load Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		load := r.load()
		if now.Before(r.lost) || r.misplaced(now) {
			load.FailureReports = 1
		}
		if load.InFlight > 0 || load.FailureReports > 0 {
			yield(id, load)
		}
	}
}

// RecordStream notes whether a stream of an endpoint had a pause that was too long.
func (t *Balancer) RecordStream(e *rlbdeployment.Endpoint, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.slow *= 1 - slowWeight
	if slow {
		r.slow += slowWeight
	}
}

// Capacity returns what an endpoint has for requests, as far as is known.
func (t *Balancer) Capacity(e *rlbdeployment.Endpoint, engine bool) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(e, engine)
}

func (t *Balancer) place(e *rlbdeployment.Endpoint, engine bool) Capacity {
	stay, known := t.stays[e.Service]
	switch {
	case known:
	case engine:
		stay = engineStay
	default:
		stay = plainStay
	}
	return Capacity{Slots: e.Slots, ServiceTime: stay, Engine: engine}
}

// LoadVersion counts up with each change of this instance's load.
func (t *Balancer) LoadVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// LocalLoad returns this instance's load on an endpoint.
func (t *Balancer) LocalLoad(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.load()
	}
	return Load{}
}

// Unhealthy reports whether the latest answers of an endpoint were bad.
func (t *Balancer) Unhealthy(now time.Time, e *rlbdeployment.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(e).doubtful(now)
}

// Prune drops the rows of endpoints that are not known any more.
func (t *Balancer) Prune(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if r.inFlight == 0 && !known(id) {
			delete(t.rows, id)
		}
	}
}

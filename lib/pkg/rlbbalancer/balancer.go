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
	initialEngineServiceTime = 4 * time.Second       // of a request at an engine, until one has ended
	initialPlainServiceTime  = 60 * time.Millisecond // the same at a plain service
	serviceTimeWeight        = 0.05                  // of the latest request in the mean stay
	slowShareWeight          = 0.2                   // of the latest stream in an endpoint's share of slow ones
)

// Balancer knows the load and the latest outcomes of endpoints. Its methods may be
// called from any goroutine.
type Balancer struct {
	mu           sync.Mutex
	loadVersion  uint64 // counts changes of load
	stats        map[string]*endpointStats
	serviceTimes map[string]time.Duration // mean time that a request takes at an endpoint, by service
}

// New returns an empty table.
func New() *Balancer {
	return &Balancer{stats: map[string]*endpointStats{}, serviceTimes: map[string]time.Duration{}}
}

// Begin notes that a request is sent to an endpoint. Answered notes, once, that its
// answer has begun.
func (t *Balancer) Begin(e *rlbdeployment.Endpoint, load RequestLoad) (answered func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(e)
	s.inFlight++
	t.loadVersion++
	s.unreadTokens += load.PromptTokens
	if load.Urgent {
		s.urgent++
	}
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.unreadTokens -= load.PromptTokens
		t.loadVersion++
	})
}

// End notes how a request that began at an endpoint ended, and how long it was
// there.
func (t *Balancer) End(now time.Time, e *rlbdeployment.Endpoint, load RequestLoad, outcome Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(e)
	s.inFlight--
	if load.Urgent {
		s.urgent--
	}
	t.loadVersion++
	switch outcome {
	case OutcomeSucceeded:
		s.failures, s.backoffUntil, s.noAnswerUntil = 0, time.Time{}, time.Time{}
		t.recordServiceTime(e.Service, took)
	case OutcomeFailed, OutcomeNoAnswer:
		backoff := min(initialBackoff<<min(s.failures, 8), maxBackoff)
		s.failures++
		s.backoffUntil = now.Add(backoff)
		if outcome == OutcomeNoAnswer {
			s.noAnswerUntil = s.backoffUntil
		}
	case OutcomeNeutral:
	}
}

func (t *Balancer) recordServiceTime(service string, took time.Duration) {
	mean, known := t.serviceTimes[service]
	if !known {
		t.serviceTimes[service] = took
		return
	}
	t.serviceTimes[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// RecordRefusal notes that an endpoint did not run a request for a model, or for an
// adapter as MODEL/ADAPTER: it may be about to unload it, or be full.
func (t *Balancer) RecordRefusal(now time.Time, e *rlbdeployment.Endpoint, model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(e)
	if s.refusedUntil == nil {
		s.refusedUntil = map[string]time.Time{}
	}
	s.refusedUntil[model] = now.Add(refusalBackoff)
}

// RecordMismatch notes that an endpoint is not what its entry says: another one has its
// address, or it does not hold what it should.
func (t *Balancer) RecordMismatch(now time.Time, e *rlbdeployment.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(e)
	s.mismatched, s.mismatchUntil = e, now.Add(mismatchBackoff)
}

// Loads calls yield for each endpoint with requests in progress, or in doubt.
func (t *Balancer) Loads(now time.Time, yield func(id string, load Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.stats {
		load := s.load()
		if now.Before(s.noAnswerUntil) || s.hasMismatch(now) {
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
	s := t.statsOf(e)
	s.slowShare *= 1 - slowShareWeight
	if slow {
		s.slowShare += slowShareWeight
	}
}

// Capacity returns what an endpoint has for requests, as far as is known.
func (t *Balancer) Capacity(e *rlbdeployment.Endpoint, engine bool) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.capacity(e, engine)
}

func (t *Balancer) capacity(e *rlbdeployment.Endpoint, engine bool) Capacity {
	serviceTime, known := t.serviceTimes[e.Service]
	switch {
	case known:
	case engine:
		serviceTime = initialEngineServiceTime
	default:
		serviceTime = initialPlainServiceTime
	}
	return Capacity{Slots: e.Slots, ServiceTime: serviceTime, Engine: engine}
}

// LoadVersion counts up with each change of this instance's load.
func (t *Balancer) LoadVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadVersion
}

// LocalLoad returns this instance's load on an endpoint.
func (t *Balancer) LocalLoad(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stats[id]; s != nil {
		return s.load()
	}
	return Load{}
}

// Unhealthy reports whether the latest answers of an endpoint were bad.
func (t *Balancer) Unhealthy(now time.Time, e *rlbdeployment.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(e).unhealthy(now)
}

// Prune drops the rows of endpoints that are not known any more.
func (t *Balancer) Prune(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.stats {
		if s.inFlight == 0 && !known(id) {
			delete(t.stats, id)
		}
	}
}

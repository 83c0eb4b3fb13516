// Package rlbbalancer chooses the endpoint for a request from the load that all
// instances put on each endpoint, the endpoint's failure domain and its latest
// outcomes. It does no I/O.
package rlbbalancer

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Initial values and weights of moving averages.
const (
	initialEngineServiceTime = 4 * time.Second // until the first request has succeeded
	initialPlainServiceTime  = 60 * time.Millisecond
	serviceTimeWeight        = 0.05 // weight of the latest request
	slowShareWeight          = 0.2  // weight of the latest stream
)

// Balancer tracks the load and the latest outcomes of endpoints. It is safe for
// concurrent use.
type Balancer struct {
	mu           sync.Mutex
	loadVersion  uint64                    // increases with each change of the load
	stats        map[string]*endpointStats // by endpoint ID
	serviceTimes map[string]time.Duration  // mean time of a request, by service
	prefillRates map[string]*prefillRate   // by service
}

// New returns a balancer without any load.
func New() *Balancer {
	return &Balancer{stats: map[string]*endpointStats{}, serviceTimes: map[string]time.Duration{}, prefillRates: map[string]*prefillRate{}}
}

// Begin records that a request is sent to an endpoint. The returned function
// records that its answer has begun, or that none will; further calls have no
// effect.
func (b *Balancer) Begin(e *rlbdeployment.Endpoint, load RequestLoad) (answered func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	s.inFlight++
	b.loadVersion++
	s.addUnread(load, 1)
	if load.Urgent {
		s.urgent++
	}
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.addUnread(load, -1)
		b.loadVersion++
	})
}

// End records the outcome and the duration of a request that Begin recorded.
func (b *Balancer) End(now time.Time, e *rlbdeployment.Endpoint, load RequestLoad, outcome Outcome, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	s.inFlight--
	if load.Urgent {
		s.urgent--
	}
	b.loadVersion++
	switch outcome {
	case OutcomeSucceeded:
		s.failures, s.backoffUntil, s.noAnswerUntil = 0, time.Time{}, time.Time{}
		b.recordServiceTime(e.Service, took)
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

func (b *Balancer) recordServiceTime(service string, took time.Duration) {
	mean, known := b.serviceTimes[service]
	if !known {
		b.serviceTimes[service] = took
		return
	}
	b.serviceTimes[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// RecordRefusal records that an endpoint refused a request for a model, or for an
// adapter given as MODEL/ADAPTER. The endpoint may be about to unload it, or be full.
func (b *Balancer) RecordRefusal(now time.Time, e *rlbdeployment.Endpoint, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	if s.refusedUntil == nil {
		s.refusedUntil = map[string]time.Time{}
	}
	s.refusedUntil[model] = now.Add(refusalBackoff)
}

// RecordMismatch records that an endpoint does not match its entry: another
// endpoint has its address, or the model or adapter is not loaded.
func (b *Balancer) RecordMismatch(now time.Time, e *rlbdeployment.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	s.mismatched, s.mismatchUntil = e, now.Add(mismatchBackoff)
}

// Loads calls yield for each endpoint that has requests of this instance in
// flight or a failure to report to other instances.
func (b *Balancer) Loads(now time.Time, yield func(id string, load Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.stats {
		load := s.load()
		if s.reportsFailure(now) {
			load.FailureReports = 1
		}
		if load.InFlight > 0 || load.FailureReports > 0 {
			yield(id, load)
		}
	}
}

// RecordStream records whether a stream of an endpoint paused for too long.
func (b *Balancer) RecordStream(e *rlbdeployment.Endpoint, slow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(e)
	s.slowShare *= 1 - slowShareWeight
	if slow {
		s.slowShare += slowShareWeight
	}
}

// Capacity returns the capacity of an endpoint. It assumes an initial service time
// until a request of the service has succeeded.
func (b *Balancer) Capacity(e *rlbdeployment.Endpoint, engine bool) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacity(e, engine)
}

func (b *Balancer) capacity(e *rlbdeployment.Endpoint, engine bool) Capacity {
	serviceTime, known := b.serviceTimes[e.Service]
	switch {
	case known:
	case engine:
		serviceTime = initialEngineServiceTime
	default:
		serviceTime = initialPlainServiceTime
	}
	return Capacity{Slots: e.Slots, ServiceTime: serviceTime, Engine: engine, PrefillRate: b.prefillRate(e.Service).tokensPerMS()}
}

// prefillRate returns the prefill rate of the engines of a service. b.mu is held.
func (b *Balancer) prefillRate(service string) *prefillRate {
	r := b.prefillRates[service]
	if r == nil {
		r = &prefillRate{}
		b.prefillRates[service] = r
	}
	return r
}

// RecordPrefill records how long the first event of an answer took, and how many prompt
// tokens the engine had to read before it, with those of the request itself. Answers that
// had to wait for a slot must not be recorded.
func (b *Balancer) RecordPrefill(service string, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefillRate(service).record(tokens, took)
}

// LoadVersion returns a number that increases with each change of this instance's load.
func (b *Balancer) LoadVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadVersion
}

// LocalLoad returns this instance's load on an endpoint.
func (b *Balancer) LocalLoad(id string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stats[id]; s != nil {
		return s.load()
	}
	return Load{}
}

// Unhealthy reports whether the endpoint is in its backoff after a failure or does
// not match its entry.
func (b *Balancer) Unhealthy(now time.Time, e *rlbdeployment.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.statsOf(e).unhealthy(now)
}

// Prune removes the stats of idle endpoints that have not been known for statsTTL, unless a
// hold-off lasts longer: the entry of a live endpoint may lapse and come back, and the
// endpoint still wants what it wanted before.
func (b *Balancer) Prune(now time.Time, known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.stats {
		switch {
		case known(id):
			s.unknownSince = time.Time{}
		case s.unknownSince.IsZero():
			s.unknownSince = now
		case s.inFlight == 0 && now.Sub(s.unknownSince) >= statsTTL && !s.holdOff.active(now, 1):
			delete(b.stats, id)
		}
	}
}

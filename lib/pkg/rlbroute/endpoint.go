package rlbroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportTrust is the age up to which a load report counts in full; it counts
// for nothing at twice that age.
const reportTrust = 3 * time.Second

// EndpointOpts are the fixed properties of an endpoint.
type EndpointOpts struct {
	ID            string
	Address       string // IP:port for requests
	FailureDomain string
	Incarnation   uint64
	Latency       time.Duration // one way
	Slots         int           // requests it batches at once
}

// Endpoint is one endpoint as a gateway sees it. It is safe for concurrent use.
type Endpoint struct {
	opts     EndpointOpts
	hash     uint64
	inFlight atomic.Int64
	avoid    atomic.Int64 // Unix time in nanoseconds until which others are preferred
	service  atomic.Int64 // moving average of a request's time, in nanoseconds
	first    firstTokens
	report   atomic.Pointer[report]
	mu       sync.Mutex
	batch    []*Preemptible // the latest last
}

// Preemptible is a batch request in flight that may be interrupted.
type Preemptible struct{ interrupt func() }

// Terms of moving averages.
const (
	firstServiceTime = 500 * time.Millisecond // of a request, before any was seen
	averageWeight    = 8                      // one in that many counts for the latest
)

// report is a load report with what this gateway had in flight at its arrival.
type report struct {
	others   int // requests of other gateways
	adapters map[string]struct{}
	at       time.Time
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(opts EndpointOpts) *Endpoint {
	e := &Endpoint{opts: opts, hash: xxhash.Sum64String(opts.ID)}
	e.report.Store(&report{})
	e.service.Store(int64(firstServiceTime))
	return e
}

// ID returns the endpoint's name.
func (e *Endpoint) ID() string { return e.opts.ID }

// Opts returns the fixed properties.
func (e *Endpoint) Opts() EndpointOpts { return e.opts }

// Address returns IP:port for requests.
func (e *Endpoint) Address() string { return e.opts.Address }

// Incarnation returns the number of the endpoint's start.
func (e *Endpoint) Incarnation() uint64 { return e.opts.Incarnation }

// Hash implements Candidate.
func (e *Endpoint) Hash() uint64 { return e.hash }

// InFlight implements Candidate.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// Slots implements Candidate.
func (e *Endpoint) Slots() int { return e.opts.Slots }

// Latency implements Candidate.
func (e *Endpoint) Latency() time.Duration { return e.opts.Latency }

// ServiceTime implements Candidate.
func (e *Endpoint) ServiceTime() time.Duration { return time.Duration(e.service.Load()) }

// RecordServiceTime notes the time of a request that was answered. Concurrent calls may
// lose one of two times.
func (e *Endpoint) RecordServiceTime(took time.Duration) { average(&e.service, int64(took)) }

// OthersInFlight implements Candidate.
func (e *Endpoint) OthersInFlight(now time.Time) int {
	r := e.report.Load()
	age := now.Sub(r.at)
	if age <= reportTrust {
		return r.others
	}
	left := max(0, 2*reportTrust-age)
	return int(float64(r.others) * float64(left) / float64(reportTrust))
}

// HasAdapter implements Candidate.
func (e *Endpoint) HasAdapter(label string) bool {
	_, found := e.report.Load().adapters[label]
	return found
}

// ApplyReport takes a load report that came at now.
func (e *Endpoint) ApplyReport(requests int, adapters []string, now time.Time) {
	r := &report{others: max(0, requests-e.InFlight()), adapters: make(map[string]struct{}, len(adapters)), at: now}
	for _, label := range adapters {
		r.adapters[label] = struct{}{}
	}
	e.report.Store(r)
}

// BeginRequest counts a request in and returns the function that counts it out.
func (e *Endpoint) BeginRequest() (leave func()) {
	e.inFlight.Add(1)
	return func() { e.inFlight.Add(-1) }
}

// BeginPreemptible lets a batch request in flight be interrupted by Preempt, and
// returns the function that ends that.
func (e *Endpoint) BeginPreemptible(interrupt func()) (leave func()) {
	p := &Preemptible{interrupt}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = append(e.batch, p)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if at := slices.Index(e.batch, p); at >= 0 {
			e.batch = slices.Delete(e.batch, at, at+1)
		}
	}
}

// Preempt interrupts the batch request that came last, and reports whether there
// was one.
func (e *Endpoint) Preempt() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(e.batch) - 1
	if last < 0 {
		return false
	}
	p := e.batch[last]
	e.batch = e.batch[:last]
	p.interrupt()
	return true
}

// Avoid prefers other endpoints until a deadline.
func (e *Endpoint) Avoid(until time.Time) { e.avoid.Store(until.UnixNano()) }

// Avoided reports whether others are preferred at now.
func (e *Endpoint) Avoided(now time.Time) bool { return now.UnixNano() < e.avoid.Load() }

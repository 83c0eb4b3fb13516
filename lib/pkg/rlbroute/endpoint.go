package rlbroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportFreshFor is the age up to which a load report counts in full. Its weight
// then falls linearly to zero at twice that age.
const reportFreshFor = 3 * time.Second

// EndpointOpts are the fixed properties of an endpoint.
type EndpointOpts struct {
	ID            string
	Address       string // IP:port for requests
	FailureDomain string
	Incarnation   uint64
	Latency       time.Duration // network latency, one way
	Slots         int           // batch size
}

// Endpoint is the state that a gateway keeps of one endpoint. It is safe for
// concurrent use.
type Endpoint struct {
	opts        EndpointOpts
	hash        uint64
	inFlight    atomic.Int64
	avoidUntil  atomic.Int64 // Unix time in nanoseconds until which other endpoints are preferred
	serviceTime atomic.Int64 // moving average of the time of a request, in nanoseconds
	firstToken  firstTokenEstimate
	report      atomic.Pointer[report]
	mu          sync.Mutex
	preemptible []*Preemptible // oldest first
}

// Preemptible is a batch request in flight that can be interrupted.
type Preemptible struct{ interrupt func() }

// Parameters of moving averages.
const (
	initialServiceTime = 500 * time.Millisecond // until the first request is answered
	averageWeight      = 8                      // the latest value has weight 1/8
)

// report is a load report, less the requests of this gateway in flight when it arrived.
type report struct {
	othersInFlight int // requests of other gateways in flight
	adapters       map[string]struct{}
	receivedAt     time.Time
}

// NewEndpoint returns an endpoint without requests.
func NewEndpoint(opts EndpointOpts) *Endpoint {
	e := &Endpoint{opts: opts, hash: xxhash.Sum64String(opts.ID)}
	e.report.Store(&report{})
	e.serviceTime.Store(int64(initialServiceTime))
	return e
}

// ID returns the ID of the endpoint.
func (e *Endpoint) ID() string { return e.opts.ID }

// Opts returns the fixed properties of the endpoint.
func (e *Endpoint) Opts() EndpointOpts { return e.opts }

// Address returns the IP:port for requests.
func (e *Endpoint) Address() string { return e.opts.Address }

// Incarnation returns the incarnation of the endpoint.
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
func (e *Endpoint) ServiceTime() time.Duration { return time.Duration(e.serviceTime.Load()) }

// RecordServiceTime adds the time of an answered request to the average. Concurrent
// calls may lose a sample.
func (e *Endpoint) RecordServiceTime(took time.Duration) { updateAverage(&e.serviceTime, int64(took)) }

// OthersInFlight implements Candidate.
func (e *Endpoint) OthersInFlight(now time.Time) int {
	r := e.report.Load()
	age := now.Sub(r.receivedAt)
	if age <= reportFreshFor {
		return r.othersInFlight
	}
	left := max(0, 2*reportFreshFor-age)
	return int(float64(r.othersInFlight) * float64(left) / float64(reportFreshFor))
}

// HasAdapter implements Candidate.
func (e *Endpoint) HasAdapter(label string) bool {
	_, found := e.report.Load().adapters[label]
	return found
}

// ApplyReport applies a load report that arrived at now.
func (e *Endpoint) ApplyReport(requests int, adapters []string, now time.Time) {
	r := &report{othersInFlight: max(0, requests-e.InFlight()), adapters: make(map[string]struct{}, len(adapters)), receivedAt: now}
	for _, label := range adapters {
		r.adapters[label] = struct{}{}
	}
	e.report.Store(r)
}

// BeginRequest counts a request as in flight until the returned function is called.
func (e *Endpoint) BeginRequest() (end func()) {
	e.inFlight.Add(1)
	return func() { e.inFlight.Add(-1) }
}

// BeginPreemptible allows Preempt to interrupt a batch request in flight until the
// returned function is called.
func (e *Endpoint) BeginPreemptible(interrupt func()) (end func()) {
	p := &Preemptible{interrupt}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preemptible = append(e.preemptible, p)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if at := slices.Index(e.preemptible, p); at >= 0 {
			e.preemptible = slices.Delete(e.preemptible, at, at+1)
		}
	}
}

// Preempt interrupts the latest preemptible request and reports whether there was
// one.
func (e *Endpoint) Preempt() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(e.preemptible) - 1
	if last < 0 {
		return false
	}
	p := e.preemptible[last]
	e.preemptible = e.preemptible[:last]
	p.interrupt()
	return true
}

// Avoid makes other endpoints preferred until the given time.
func (e *Endpoint) Avoid(until time.Time) { e.avoidUntil.Store(until.UnixNano()) }

// Avoided reports whether other endpoints are preferred at now.
func (e *Endpoint) Avoided(now time.Time) bool { return now.UnixNano() < e.avoidUntil.Load() }

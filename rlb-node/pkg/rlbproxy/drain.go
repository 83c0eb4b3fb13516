package rlbproxy

import (
	"sync"
	"time"
)

// Drain makes the server report that it is not ready, and close each connection after its
// answer. The requests in flight are ended at end, see EndRequests, so that it refuses as not
// run what may last longer.
func (s *Server) Drain(end time.Time) {
	s.requestEnd.Store(&end)
	s.draining.Store(true)
}

// Draining reports whether Drain was called: the instance is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// Close makes the server refuse each further request as not run, because there is
// no time left to answer it.
func (s *Server) Close() { s.closed.Store(true) }

// EndRequests answers the requests in flight at once, as far as their callers have no part
// of an answer yet, with what is known about them. A stream that has started is aborted.
func (s *Server) EndRequests() { s.endRequests() }

// takes reports whether the server may take a request. While it shuts down it takes only
// what can end in time: by its deadline or, if the caller can repeat it elsewhere, by how
// long such requests last.
func (s *Server) takes(req *request) bool {
	if s.closed.Load() {
		return false
	}
	end := s.requestEnd.Load()
	if end == nil || !req.deadline.After(*end) {
		return true
	}
	longest, known := s.durations.longest(req.service)
	return req.route.Retryable() && known && !s.Now().Add(longest).After(*end)
}

// durationDecay divides the difference to a shorter duration by which the longest one sinks.
const durationDecay = 16

// durations tracks how long the longest of the latest requests of a service lasted, among
// those that may be repeated. It is safe for concurrent use.
type durations struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

func newDurations() *durations { return &durations{byService: map[string]time.Duration{}} }

func (d *durations) record(req *request, took time.Duration) {
	if !req.route.Retryable() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.byService[req.service]
	d.byService[req.service] = max(took, longest-(longest-took)/durationDecay)
}

func (d *durations) longest(service string) (longest time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, known = d.byService[service]
	return longest, known
}

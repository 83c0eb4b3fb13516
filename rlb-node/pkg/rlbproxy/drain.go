package rlbproxy

import (
	"sync"
	"time"

	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
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
// what can end in time: by its deadline, or by how long such requests last on average. One that
// may not be repeated must have as much time again to spare.
func (s *Server) takes(req *request) bool {
	if s.closed.Load() {
		return false
	}
	end := s.requestEnd.Load()
	if end == nil || !req.deadline.After(*end) {
		return true
	}
	expected, known := s.durations.expected(req)
	if req.route.Retryable() {
		return !s.Now().Add(expected).After(*end)
	}
	return known && !s.Now().Add(2*expected).After(*end)
}

// durationSamples is how many of the latest requests the average durations are of, about.
const durationSamples = 16

// durations tracks how long the latest requests of each service lasted on average. It is safe
// for concurrent use.
type durations struct {
	mu        sync.Mutex
	byService map[string]serviceDurations
}

// serviceDurations are the average times of a service: until the first event or the whole
// answer, and from then on for each token that a request may generate.
type serviceDurations struct{ first, perToken time.Duration }

func newDurations() *durations { return &durations{byService: map[string]serviceDurations{}} }

// record records a request that was answered, and how long it took until the first event or
// the whole answer, and until its end.
func (d *durations) record(req *request, first, whole time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	average := d.byService[req.service]
	average.first = movingAverage(average.first, first)
	if tokens := outputTokens(req); tokens > 0 {
		average.perToken = movingAverage(average.perToken, (whole-first)/tokens)
	}
	d.byService[req.service] = average
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/durationSamples
}

// maxOutputTokens limits what callers state.
const maxOutputTokens = 1 << 20

// outputTokens returns how many tokens a request may generate, as a factor.
func outputTokens(req *request) time.Duration {
	return time.Duration(min(rlbplatform.OutputTokens(req.inbound.Header), maxOutputTokens))
}

// expected returns how long a request will last, if any of its service has ended.
func (d *durations) expected(req *request) (whole time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	average, known := d.byService[req.service]
	return average.first + average.perToken*outputTokens(req), known
}

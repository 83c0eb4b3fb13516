package rlbproxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps.
const sampleSize = 256

// meters count what happens to requests.
type meters struct {
	registry metrics.Registry
	passed   metrics.Counter
	first    metrics.Histogram // milliseconds to the first event or the answer
	resumed  metrics.Counter
}

func newMeters(registry metrics.Registry) meters {
	return meters{
		registry: registry,
		passed:   metrics.GetOrRegisterCounter("answers_passed", registry),
		first:    metrics.GetOrRegisterHistogram("first_ms", registry, metrics.NewUniformSample(sampleSize)),
		resumed:  metrics.GetOrRegisterCounter("streams_resumed", registry),
	}
}

func (m meters) refused(status int) {
	metrics.GetOrRegisterCounter("refused_"+strconv.Itoa(status), m.registry).Inc(1)
}

func (m meters) answered(took time.Duration) {
	m.passed.Inc(1)
	m.first.Update(took.Milliseconds())
}

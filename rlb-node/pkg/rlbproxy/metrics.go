package rlbproxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps.
const sampleSize = 256

// requestMetrics count what happens to requests.
type requestMetrics struct {
	registry       metrics.Registry
	answersPassed  metrics.Counter
	firstMs        metrics.Histogram // milliseconds to the first event or the answer
	streamsResumed metrics.Counter
}

func newRequestMetrics(registry metrics.Registry) requestMetrics {
	return requestMetrics{
		registry:       registry,
		answersPassed:  metrics.GetOrRegisterCounter("answers_passed", registry),
		firstMs:        metrics.GetOrRegisterHistogram("first_ms", registry, metrics.NewUniformSample(sampleSize)),
		streamsResumed: metrics.GetOrRegisterCounter("streams_resumed", registry),
	}
}

func (m requestMetrics) refused(status int) {
	metrics.GetOrRegisterCounter("refused_"+strconv.Itoa(status), m.registry).Inc(1)
}

func (m requestMetrics) answered(took time.Duration) {
	m.answersPassed.Inc(1)
	m.firstMs.Update(took.Milliseconds())
}

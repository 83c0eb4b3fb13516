package rlbproxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies in the sample of a histogram.
const sampleSize = 256

// requestMetrics holds the metrics of callers' requests.
type requestMetrics struct {
	registry       metrics.Registry
	answersPassed  metrics.Counter
	late           metrics.Counter   // attempts that were sent although the request misses its target
	firstMs        metrics.Histogram // milliseconds until the first event or the whole answer
	streamsResumed metrics.Counter
	quarantined    metrics.Gauge   // properties of requests that are refused
	crashes        metrics.Counter // attempts whose endpoint broke the connection while it ran the request
}

func newRequestMetrics(registry metrics.Registry) requestMetrics {
	return requestMetrics{
		registry:       registry,
		answersPassed:  metrics.GetOrRegisterCounter("answers_passed", registry),
		late:           metrics.GetOrRegisterCounter("late_attempts", registry),
		firstMs:        metrics.GetOrRegisterHistogram("first_ms", registry, metrics.NewUniformSample(sampleSize)),
		streamsResumed: metrics.GetOrRegisterCounter("streams_resumed", registry),
		quarantined:    metrics.GetOrRegisterGauge("quarantined_properties", registry),
		crashes:        metrics.GetOrRegisterCounter("endpoint_crashes", registry),
	}
}

func (m requestMetrics) refused(status int) {
	metrics.GetOrRegisterCounter("refused_"+strconv.Itoa(status), m.registry).Inc(1)
}

func (m requestMetrics) answered(took time.Duration) {
	m.answersPassed.Inc(1)
	m.firstMs.Update(took.Milliseconds())
}

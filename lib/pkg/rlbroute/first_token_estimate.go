package rlbroute

import (
	"sync"
	"sync/atomic"
	"time"
)

// firstTokenEstimate estimates the time to the first token at an endpoint. Engines
// prefill one prompt after the other, so that time grows with the number of requests
// that wait for their first token, even while batch slots are free. Concurrent calls
// may lose a sample.
type firstTokenEstimate struct {
	waiting      atomic.Int64 // requests of this gateway that wait for their first token
	perRequest   atomic.Int64 // moving average of the time per waiting request, in nanoseconds
	waitingShare atomic.Int64 // moving average of the share of in-flight requests that wait, times shareScale
}

// shareScale is the fixed-point representation of a share of 1.
const shareScale = 1024

// AwaitFirstToken counts a request as waiting for its first token until the first
// call of the returned function. Received says whether the token was received.
func (e *Endpoint) AwaitFirstToken(now time.Time) (done func(now time.Time, received bool)) {
	ahead := e.waitingEstimate(now)
	waiting := e.firstToken.waiting.Add(1)
	updateAverage(&e.firstToken.waitingShare, shareScale*waiting/max(waiting, e.inFlight.Load()))
	var once sync.Once
	return func(end time.Time, received bool) {
		once.Do(func() {
			e.firstToken.waiting.Add(-1)
			if received {
				updateAverage(&e.firstToken.perRequest, int64(end.Sub(now))/int64(ahead+1))
			}
		})
	}
}

// AwaitingFirstToken returns the number of requests of this gateway that wait for
// their first token. If it is 0, callers should send a request whatever the estimate
// is, since the estimate is only updated by requests.
func (e *Endpoint) AwaitingFirstToken() int { return int(e.firstToken.waiting.Load()) }

// waitingEstimate returns the estimated number of requests of all gateways that wait
// for their first token. It assumes the same share of waiting requests for other
// gateways as for this one.
func (e *Endpoint) waitingEstimate(now time.Time) int {
	others := int64(e.OthersInFlight(now)) * e.firstToken.waitingShare.Load() / shareScale
	return int(e.firstToken.waiting.Load() + others)
}

// FirstTokenWait implements Candidate.
func (e *Endpoint) FirstTokenWait(now time.Time) time.Duration {
	return time.Duration(e.firstToken.perRequest.Load()) * time.Duration(e.waitingEstimate(now)+1)
}

// updateAverage adds a value to a moving average that begins with the first value.
func updateAverage(a *atomic.Int64, value int64) {
	old := a.Load()
	if old == 0 {
		a.Store(value)
		return
	}
	a.Store(old + (value-old)/averageWeight)
}

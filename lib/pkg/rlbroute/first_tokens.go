package rlbroute

import (
	"sync"
	"sync/atomic"
	"time"
)

// firstTokens estimates how long an endpoint takes to a request's first token.
// Engines read one prompt after the other, so that time grows with the requests
// that wait for theirs, while batch slots may be free. Concurrent calls may lose
// a sample.
type firstTokens struct {
	waiting atomic.Int64 // requests of this gateway without a first token
	turn    atomic.Int64 // moving average of the time for each of those that wait, in nanoseconds
	share   atomic.Int64 // moving average of those that wait among those in flight, in shareUnit
}

// shareUnit is the whole of a share.
const shareUnit = 1024

// AwaitFirstToken counts a request that waits for its first token. The function it
// returns ends that; the first call counts. Came tells whether the token came.
func (e *Endpoint) AwaitFirstToken(now time.Time) (done func(now time.Time, came bool)) {
	ahead := e.awaited(now)
	waiting := e.first.waiting.Add(1)
	average(&e.first.share, shareUnit*waiting/max(waiting, e.inFlight.Load()))
	var once sync.Once
	return func(end time.Time, came bool) {
		once.Do(func() {
			e.first.waiting.Add(-1)
			if came {
				average(&e.first.turn, int64(end.Sub(now))/int64(ahead+1))
			}
		})
	}
}

// AwaitingFirstToken returns how many requests of this gateway wait for their first token.
// Without any, one should be let through whatever the estimate, to renew it.
func (e *Endpoint) AwaitingFirstToken() int { return int(e.first.waiting.Load()) }

// awaited returns how many requests wait for their first token; those of other
// gateways are taken to do so as often as this one's.
func (e *Endpoint) awaited(now time.Time) int {
	others := int64(e.OthersInFlight(now)) * e.first.share.Load() / shareUnit
	return int(e.first.waiting.Load() + others)
}

// FirstTokenWait implements Candidate.
func (e *Endpoint) FirstTokenWait(now time.Time) time.Duration {
	return time.Duration(e.first.turn.Load()) * time.Duration(e.awaited(now)+1)
}

// average takes a value into a moving average that begins with the first.
func average(a *atomic.Int64, value int64) {
	old := a.Load()
	if old == 0 {
		a.Store(value)
		return
	}
	a.Store(old + (value-old)/averageWeight)
}

package rlbbalancer

import (
	"time"
)

// CrossDomainCost is the cost of an endpoint in another failure domain.
const CrossDomainCost = 30 * time.Millisecond

// Parameters of the cost estimate.
const (
	costPerRequest       = 4 * time.Millisecond   // slowdown that each request in flight causes for the others
	prefillDelay         = 300 * time.Millisecond // stream delay caused by prefill at an endpoint all of whose streams pause
	urgentReserveDivisor = 6                      // 1/6 of an engine's slots is reserved for urgent requests
)

// RequestLoad is the load that one request adds to an endpoint.
type RequestLoad struct {
	PromptTokens int
	Late         bool // misses its target: engines run it after all requests that are not late
	Urgent       bool // highest priority: engines run it before other requests and preempt them for it
}

// Load is the load of an endpoint.
type Load struct {
	InFlight       int     // requests in flight
	Urgent         int     // in-flight requests of the highest priority
	LateWaiting    int     // late requests whose answer has not begun
	UnreadTokens   int     // prompt tokens of requests whose answer has not begun, without the late ones
	SlowShare      float64 // moving share of streams that paused longer than their route allows
	FailureReports int     // instances that got no answer from the endpoint or found that it does not match its entry
}

// Capacity describes how fast an endpoint can serve requests.
type Capacity struct {
	Slots       int
	ServiceTime time.Duration // mean time of a request
	Engine      bool          // a model engine, which prefills the prompt before the answer begins
	PrefillRate float64       // of an engine, in prompt tokens per millisecond
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, Urgent: l.Urgent + other.Urgent, LateWaiting: l.LateWaiting + other.LateWaiting, UnreadTokens: l.UnreadTokens + other.UnreadTokens,
		SlowShare: max(l.SlowShare, other.SlowShare), FailureReports: l.FailureReports + other.FailureReports,
	}
}

// prefillCost returns the delay that another prompt adds to running streams while
// earlier prompts are unread; 0 if there are none.
func (l Load) prefillCost() time.Duration {
	if l.UnreadTokens == 0 {
		return 0
	}
	return time.Duration(l.SlowShare * float64(prefillDelay))
}

// Wait returns the expected time until the answer to a request begins that is not
// late. At an engine, urgent requests wait only for other urgent requests. The others
// leave some slots free, so that an urgent request does not have to preempt them. None
// of them waits for a late request whose answer has not begun.
func (l Load) Wait(c Capacity, urgent bool) time.Duration {
	ahead := l.InFlight - l.LateWaiting
	switch {
	case c.Engine && urgent:
		ahead = l.Urgent
	case c.Engine:
		ahead += c.Slots / urgentReserveDivisor
	}
	return l.waitFor(c, ahead)
}

// LateWait returns the expected time until the answer to a late request begins: all other
// requests are ahead of it.
func (l Load) LateWait(c Capacity) time.Duration { return l.waitFor(c, l.InFlight) }

// waitFor returns the expected time until a slot is free for a request with the given number
// ahead of it and, at an engine, until the unread prompts are read.
func (l Load) waitFor(c Capacity, ahead int) time.Duration {
	queued := max(ahead-c.Slots+1, 0)
	wait := time.Duration(queued) * c.ServiceTime / time.Duration(max(c.Slots, 1))
	if c.Engine {
		wait += time.Duration(float64(l.UnreadTokens) / c.PrefillRate * float64(time.Millisecond))
	}
	return wait
}

// Cost returns the cost of sending one more request to an endpoint with this
// load: the expected wait, the slowdown of running requests and the distance.
// It always uses the wait of a request that is not urgent: an urgent request
// would avoid that wait only by making another request wait instead.
func (l Load) Cost(c Capacity, sameDomain bool) time.Duration {
	cost := l.Wait(c, false) + l.prefillCost() + time.Duration(l.InFlight-l.LateWaiting)*costPerRequest
	if !sameDomain {
		cost += CrossDomainCost
	}
	return cost
}

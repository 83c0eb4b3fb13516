package rlbroute

import "time"

// Costs in time that the cost policy expects.
const (
	costPerRequest  = 600 * time.Microsecond // each request in the batch slows a step
	costAdapterMiss = 15 * time.Millisecond
	prefixGain      = 30 * time.Millisecond // prefill saved by a cached prefix
	maxCompared     = 16                    // candidates compared for one request
)

// costPolicy chooses the least expected delay among up to maxCompared
// candidates. The candidate that rendezvous hashing gives the prompt's prefix
// is preferred by what its cache saves, as long as it is not busier by more.
type costPolicy[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *costPolicy[C]) Choose(request *Request, candidates []C) int {
	preferred := -1
	if request.Prefix != 0 {
		preferred = rendezvous(request.Prefix, candidates)
	}
	n := len(candidates)
	at := below(p.random(), n)
	best, least := preferred, time.Duration(0)
	if preferred >= 0 {
		least = cost(request, candidates[preferred]) - prefixGain
	}
	for range min(n, maxCompared) {
		c := cost(request, candidates[at])
		if at != preferred && (best < 0 || c < least) {
			best, least = at, c
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

func cost[C Candidate](request *Request, c C) time.Duration {
	requests := c.InFlight() + c.OthersInFlight(request.Now)
	total := 2*c.Latency() + time.Duration(requests)*costPerRequest
	total += max(SlotWait(requests, c), c.FirstTokenWait(request.Now))
	if request.Adapter != "" && !c.HasAdapter(request.Adapter) {
		total += costAdapterMiss
	}
	return total
}

// SlotWait returns how long a request would wait for a slot of an endpoint that has
// that many requests: a full batch turns over once in a service time.
func SlotWait[C Candidate](requests int, c C) time.Duration {
	excess := requests - c.Slots() + 1
	if excess <= 0 || c.Slots() == 0 {
		return 0
	}
	return c.ServiceTime() * time.Duration(excess) / time.Duration(c.Slots())
}

// rendezvous returns the candidate with the highest hash for key.
func rendezvous[C Candidate](key uint64, candidates []C) int {
	best, highest := 0, uint64(0)
	for i, c := range candidates {
		if h := mix(key, c.Hash()); h > highest {
			best, highest = i, h
		}
	}
	return best
}

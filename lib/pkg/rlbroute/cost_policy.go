package rlbroute

import "time"

// Costs in time that the cost policy expects.
const (
	delayPerRequest    = 600 * time.Microsecond // each request in the batch slows a step
	adapterMissDelay   = 15 * time.Millisecond
	cachedPrefixSaving = 30 * time.Millisecond // prefill saved by a cached prefix
	maxCompared        = 16                    // candidates compared for one request
)

// costPolicy chooses the least expected delay among up to maxCompared
// candidates. The candidate that rendezvous hashing gives the prompt's prefix
// is preferred by what its cache saves, as long as it is not busier by more.
type costPolicy[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *costPolicy[C]) Choose(request *Request, candidates []C) int {
	preferred := -1
	if request.Prefix != 0 {
		preferred = rendezvousIndex(request.Prefix, candidates)
	}
	n := len(candidates)
	at := scaleDraw(p.random(), n)
	best, lowest := preferred, time.Duration(0)
	if preferred >= 0 {
		lowest = expectedDelay(request, candidates[preferred]) - cachedPrefixSaving
	}
	for range min(n, maxCompared) {
		c := expectedDelay(request, candidates[at])
		if at != preferred && (best < 0 || c < lowest) {
			best, lowest = at, c
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

func expectedDelay[C Candidate](request *Request, c C) time.Duration {
	requests := c.InFlight() + c.OthersInFlight(request.Now)
	total := 2*c.Latency() + time.Duration(requests)*delayPerRequest
	total += max(SlotWait(requests, c), c.FirstTokenWait(request.Now))
	if request.Adapter != "" && !c.HasAdapter(request.Adapter) {
		total += adapterMissDelay
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

// rendezvousIndex returns the candidate with the highest hash for key.
func rendezvousIndex[C Candidate](key uint64, candidates []C) int {
	best, highest := 0, uint64(0)
	for i, c := range candidates {
		if h := combineHashes(key, c.Hash()); h > highest {
			best, highest = i, h
		}
	}
	return best
}

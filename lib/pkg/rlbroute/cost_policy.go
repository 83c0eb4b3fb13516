package rlbroute

import "time"

// Parameters of the cost policy.
const (
	delayPerRequest    = 600 * time.Microsecond // slowdown of a batch step by each request
	adapterMissDelay   = 15 * time.Millisecond
	cachedPrefixSaving = 30 * time.Millisecond // prefill time saved by a cached prefix
	maxCompared        = 16                    // candidates compared for one request
)

// costPolicy chooses the candidate with the lowest expected delay among up to
// maxCompared candidates. The candidate that rendezvous hashing assigns to the
// prompt's prefix gets a discount of cachedPrefixSaving: it is chosen unless its
// expected delay is longer by more than its cache saves.
type costPolicy[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *costPolicy[C]) Choose(request *Request, candidates []C) int {
	preferred := -1
	if request.Prefix != 0 {
		preferred = rendezvousIndex(request.Prefix, candidates)
	}
	n := len(candidates)
	i := scaleDraw(p.random(), n)
	best, lowest := preferred, time.Duration(0)
	if preferred >= 0 {
		lowest = expectedDelay(request, candidates[preferred]) - cachedPrefixSaving
	}
	for range min(n, maxCompared) {
		c := expectedDelay(request, candidates[i])
		if i != preferred && (best < 0 || c < lowest) {
			best, lowest = i, c
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}

// expectedDelay returns the expected delay of a request at a candidate.
func expectedDelay[C Candidate](request *Request, c C) time.Duration {
	requests := c.InFlight() + c.OthersInFlight(request.Now)
	total := 2*c.Latency() + time.Duration(requests)*delayPerRequest
	total += max(SlotWait(requests, c), c.FirstTokenWait(request.Now))
	if request.Adapter != "" && !c.HasAdapter(request.Adapter) {
		total += adapterMissDelay
	}
	return total
}

// SlotWait returns the expected wait for a batch slot of an endpoint that has the
// given number of requests. It assumes that a full batch completes once per service
// time.
func SlotWait[C Candidate](requests int, c C) time.Duration {
	excess := requests - c.Slots() + 1
	if excess <= 0 || c.Slots() == 0 {
		return 0
	}
	return c.ServiceTime() * time.Duration(excess) / time.Duration(c.Slots())
}

// rendezvousIndex returns the index of the candidate with the highest hash for key.
func rendezvousIndex[C Candidate](key uint64, candidates []C) int {
	best, highest := 0, uint64(0)
	for i, c := range candidates {
		if h := combineHashes(key, c.Hash()); h > highest {
			best, highest = i, h
		}
	}
	return best
}

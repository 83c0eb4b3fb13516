package rlbroute

import "sync/atomic"

// The baselines that the cost policy is compared with.

type randomPolicy[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *randomPolicy[C]) Choose(_ *Request, candidates []C) int {
	return below(p.random(), len(candidates))
}

type roundRobin[C Candidate] struct{ next atomic.Uint64 }

// Choose implements Policy.
func (p *roundRobin[C]) Choose(_ *Request, candidates []C) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

type leastInFlight[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *leastInFlight[C]) Choose(_ *Request, candidates []C) int {
	n := len(candidates)
	at := below(p.random(), n)
	best := at
	for range n {
		if candidates[at].InFlight() < candidates[best].InFlight() {
			best = at
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

type twoChoices[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *twoChoices[C]) Choose(request *Request, candidates []C) int {
	a, b := below(p.random(), len(candidates)), below(p.random(), len(candidates))
	loadA := candidates[a].InFlight() + candidates[a].OthersInFlight(request.Now)
	loadB := candidates[b].InFlight() + candidates[b].OthersInFlight(request.Now)
	if loadB < loadA {
		return b
	}
	return a
}

type prefixHash[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *prefixHash[C]) Choose(request *Request, candidates []C) int {
	key := request.Prefix
	if key == 0 {
		key = p.random()
	}
	return rendezvous(key, candidates)
}

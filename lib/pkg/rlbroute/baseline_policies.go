package rlbroute

import "sync/atomic"

// Baseline policies for comparison with the cost policy.

// randomPolicy chooses a random candidate.
type randomPolicy[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *randomPolicy[C]) Choose(_ *Request, candidates []C) int {
	return scaleDraw(p.random(), len(candidates))
}

// roundRobin chooses the candidates in turn.
type roundRobin[C Candidate] struct{ next atomic.Uint64 }

// Choose implements Policy.
func (p *roundRobin[C]) Choose(_ *Request, candidates []C) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

// leastInFlight chooses the candidate with the fewest requests of this gateway in
// flight. Ties are broken at random.
type leastInFlight[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *leastInFlight[C]) Choose(_ *Request, candidates []C) int {
	n := len(candidates)
	i := scaleDraw(p.random(), n)
	best := i
	for range n {
		if candidates[i].InFlight() < candidates[best].InFlight() {
			best = i
		}
		if i++; i == n {
			i = 0
		}
	}
	return best
}

// twoChoices draws two candidates and chooses the one with fewer requests of all
// gateways in flight.
type twoChoices[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *twoChoices[C]) Choose(request *Request, candidates []C) int {
	a, b := scaleDraw(p.random(), len(candidates)), scaleDraw(p.random(), len(candidates))
	loadA := candidates[a].InFlight() + candidates[a].OthersInFlight(request.Now)
	loadB := candidates[b].InFlight() + candidates[b].OthersInFlight(request.Now)
	if loadB < loadA {
		return b
	}
	return a
}

// prefixHash chooses by rendezvous hashing of the prompt's prefix.
type prefixHash[C Candidate] struct{ random func() uint64 }

// Choose implements Policy.
func (p *prefixHash[C]) Choose(request *Request, candidates []C) int {
	key := request.Prefix
	if key == 0 {
		key = p.random()
	}
	return rendezvousIndex(key, candidates)
}

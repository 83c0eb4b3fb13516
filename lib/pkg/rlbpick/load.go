package rlbpick

import (
	"time"
)

// Terms of an expected wait.
const (
	readPerMS   = 19                     // prompt tokens that an engine reads in a millisecond
	otherDomain = 30 * time.Millisecond  // that an endpoint in the own failure domain may be slower
	perRequest  = 4 * time.Millisecond   // by which each request in progress slows the others
	crowding    = 300 * time.Millisecond // that prompts being read delay the streams of an endpoint that pauses
	urgentPart  = 6                      // of an engine's slots, one in so many is left to urgent requests
)

// Work is what a request asks of an endpoint.
type Work struct {
	Tokens int  // of its prompt
	Urgent bool // of the most urgent rank: engines run it before others, and in their place
}

// Load is the work at an endpoint.
type Load struct {
	InFlight int     // requests in progress
	Urgent   int     // of these, those of the most urgent rank
	Unread   int     // prompt tokens of those that have no answer yet
	Slow     float64 // part of the latest streams with a pause that was too long
	Doubts   int     // instances to which it was lost, or not what its entry says
}

// Place is what an endpoint has for requests.
type Place struct {
	Slots  int
	Stay   time.Duration // mean time that a request takes there
	Engine bool          // prompts are read before an answer begins
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, Urgent: l.Urgent + other.Urgent, Unread: l.Unread + other.Unread,
		Slow: max(l.Slow, other.Slow), Doubts: l.Doubts + other.Doubts,
	}
}

// crowding returns what a prompt more costs the streams that run.
func (l Load) crowding() time.Duration {
	if l.Unread == 0 {
		return 0
	}
	return time.Duration(l.Slow * float64(crowding))
}

// Wait returns how long a request is expected to wait for its answer to begin at
// a place. An urgent one waits for its like only; others leave it some slots, so
// that it need not take theirs.
func (l Load) Wait(p Place, urgent bool) time.Duration {
	before := l.InFlight
	switch {
	case p.Engine && urgent:
		before = l.Urgent
	case p.Engine:
		before += p.Slots / urgentPart
	}
	queued := max(before-p.Slots+1, 0)
	wait := time.Duration(queued) * p.Stay / time.Duration(max(p.Slots, 1))
	if p.Engine {
		wait += time.Duration(l.Unread) * time.Millisecond / readPerMS
	}
	return wait
}

// Cost returns what speaks against an endpoint with this load, as a wait: the
// wait of a request that is not urgent, since one that is would make another wait
// in its place; what one more request costs those that run; and distance.
func (l Load) Cost(p Place, near bool) time.Duration {
	cost := l.Wait(p, false) + l.crowding() + time.Duration(l.InFlight)*perRequest
	if !near {
		cost += otherDomain
	}
	return cost
}

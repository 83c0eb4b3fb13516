package rlbbalancer

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

// RequestLoad is what a request asks of an endpoint.
type RequestLoad struct {
	PromptTokens int  // of its prompt
	Urgent       bool // of the most urgent rank: engines run it before others, and in their place
}

// Load is the work at an endpoint.
type Load struct {
	InFlight       int     // requests in progress
	Urgent         int     // of these, those of the most urgent rank
	UnreadTokens   int     // prompt tokens of those that have no answer yet
	SlowShare      float64 // part of the latest streams with a pause that was too long
	FailureReports int     // instances to which it was lost, or not what its entry says
}

// Capacity is what an endpoint has for requests.
type Capacity struct {
	Slots       int
	ServiceTime time.Duration // mean time that a request takes there
	Engine      bool          // prompts are read before an answer begins
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, Urgent: l.Urgent + other.Urgent, UnreadTokens: l.UnreadTokens + other.UnreadTokens,
		SlowShare: max(l.SlowShare, other.SlowShare), FailureReports: l.FailureReports + other.FailureReports,
	}
}

// crowding returns what a prompt more costs the streams that run.
func (l Load) crowding() time.Duration {
	if l.UnreadTokens == 0 {
		return 0
	}
	return time.Duration(l.SlowShare * float64(crowding))
}

// Wait returns how long a request is expected to wait for its answer to begin at
// a place. An urgent one waits for its like only; others leave it some slots, so
// that it need not take theirs.
func (l Load) Wait(p Capacity, urgent bool) time.Duration {
	before := l.InFlight
	switch {
	case p.Engine && urgent:
		before = l.Urgent
	case p.Engine:
		before += p.Slots / urgentPart
	}
	queued := max(before-p.Slots+1, 0)
	wait := time.Duration(queued) * p.ServiceTime / time.Duration(max(p.Slots, 1))
	if p.Engine {
		wait += time.Duration(l.UnreadTokens) * time.Millisecond / readPerMS
	}
	return wait
}

// Cost returns what speaks against an endpoint with this load, as a wait: the
// wait of a request that is not urgent, since one that is would make another wait
// in its place; what one more request costs those that run; and distance.
func (l Load) Cost(p Capacity, near bool) time.Duration {
	cost := l.Wait(p, false) + l.crowding() + time.Duration(l.InFlight)*perRequest
	if !near {
		cost += otherDomain
	}
	return cost
}

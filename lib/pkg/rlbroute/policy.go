package rlbroute

import (
	"fmt"
	"math/bits"
	"time"
)

// Candidate is what a policy may know of an endpoint.
type Candidate interface {
	Hash() uint64                     // of its name
	InFlight() int                    // requests of this gateway
	OthersInFlight(now time.Time) int // requests of other gateways, by an aged report
	Slots() int                       // requests it batches at once
	ServiceTime() time.Duration       // of a request that need not wait, as last seen
	Latency() time.Duration           // one way
	// FirstTokenWait is how long a request would wait for its first token, as last
	// seen; 0: not known.
	FirstTokenWait(now time.Time) time.Duration
	HasAdapter(name string) bool // whether an adapter, as name@version, is resident
}

// Request is what a policy may know of a request.
type Request struct {
	Now     time.Time
	Prefix  uint64 // hash of the prompt's beginning; 0: none
	Adapter string // name@version; empty: none
}

// Policy chooses the endpoint of a request. Policies are safe for concurrent
// use when their random source is.
type Policy[C Candidate] interface {
	// Choose returns the index of one of the candidates, of which there is at
	// least one.
	Choose(request *Request, candidates []C) int
}

// NewPolicy returns the policy of a name. Random must be safe for concurrent use.
func NewPolicy[C Candidate](name string, random func() uint64) (Policy[C], error) {
	switch name {
	case "cost":
		return &costPolicy[C]{random}, nil
	case "least-in-flight":
		return &leastInFlight[C]{random}, nil
	case "two-choices":
		return &twoChoices[C]{random}, nil
	case "round-robin":
		return &roundRobin[C]{}, nil
	case "random":
		return &randomPolicy[C]{random}, nil
	case "prefix-hash":
		return &prefixHash[C]{random}, nil
	default:
		return nil, fmt.Errorf("unknown policy %q; write cost, least-in-flight, two-choices, round-robin, random or prefix-hash", name)
	}
}

// below returns a number from 0 to n-1 for a random draw.
func below(draw uint64, n int) int {
	high, _ := bits.Mul64(draw, uint64(n))
	return int(high)
}

// mix combines two hashes into one for rendezvous hashing.
func mix(a, b uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(a^golden, b^(a>>32)|1)
	return high ^ low
}

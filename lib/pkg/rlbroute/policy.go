package rlbroute

import (
	"fmt"
	"math/bits"
	"time"
)

// Candidate is the view that a policy has of an endpoint.
type Candidate interface {
	Hash() uint64                     // of the ID
	InFlight() int                    // requests of this gateway in flight
	OthersInFlight(now time.Time) int // requests of other gateways in flight, from a load report whose weight falls with its age
	Slots() int                       // batch size
	ServiceTime() time.Duration       // moving average of the time from sending a request to the end of its answer
	Latency() time.Duration           // network latency, one way
	// FirstTokenWait is the expected time to the first token of a request; 0 if
	// unknown.
	FirstTokenWait(now time.Time) time.Duration
	HasAdapter(name string) bool // whether an adapter, given as name@version, is resident
}

// Request is the view that a policy has of a request.
type Request struct {
	Now     time.Time
	Prefix  uint64 // hash of the beginning of the prompt; 0 if none
	Adapter string // name@version; empty if none
}

// Policy chooses the endpoint for a request. Policies are safe for concurrent use
// if their random source is.
type Policy[C Candidate] interface {
	// Choose returns the index of the chosen candidate. There must be at least one
	// candidate.
	Choose(request *Request, candidates []C) int
}

// NewPolicy returns the policy with a name. Random must be safe for concurrent use.
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
		return nil, fmt.Errorf("unknown policy %q: use cost, least-in-flight, two-choices, round-robin, random or prefix-hash", name)
	}
}

// scaleDraw maps a random draw to a number from 0 to n-1.
func scaleDraw(draw uint64, n int) int {
	high, _ := bits.Mul64(draw, uint64(n))
	return int(high)
}

// combineHashes combines two hashes into one for rendezvous hashing.
func combineHashes(a, b uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(a^golden, b^(a>>32)|1)
	return high ^ low
}

package rlbpeer

import (
	"math"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
)

// EndpointLimit is what an instance or a failure domain knows about an endpoint that
// limits its requests, as encoded in digests and summaries. Rates are in requests a second.
type EndpointLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Limit  float32   // latest that the endpoint stated; 0: none
	AgeMs  uint32    // of that statement when the message was sent, in milliseconds; noStatement: none is known
	Sent   float32   // requests that were sent to it
	Wanted []float32 // requests for which it is the first choice, by rank
}

// noStatement is the age of a statement that is not known.
const noStatement = math.MaxUint32

// NewEndpointLimit converts what is known about an endpoint to the form in a message sent
// at now.
func NewEndpointLimit(now time.Time, s rlbratelimit.Statement, d rlbratelimit.Demand) EndpointLimit {
	l := EndpointLimit{Limit: float32(s.PerSecond), AgeMs: noStatement, Sent: float32(d.Sent)}
	for _, perSecond := range d.Wanted {
		l.Wanted = append(l.Wanted, float32(perSecond))
	}
	if !s.At.IsZero() {
		l.AgeMs = uint32(min(max(now.Sub(s.At).Milliseconds(), 0), noStatement-1))
	}
	return l
}

// peers converts from the form in a message that was received at receivedAt.
func (l EndpointLimit) peers(receivedAt time.Time) rlbratelimit.Peers {
	p := rlbratelimit.Peers{Demand: rlbratelimit.Demand{Sent: float64(l.Sent)}}
	for rank, perSecond := range l.Wanted {
		p.Demand.Wanted[rlbratelimit.RankOf(rank)] += float64(perSecond)
	}
	if l.AgeMs != noStatement {
		p.Statement = rlbratelimit.Statement{PerSecond: float64(l.Limit), At: receivedAt.Add(-time.Duration(l.AgeMs) * time.Millisecond)}
	}
	return p
}

// Limits returns what the other live instances know about an endpoint that limits its
// requests.
func (f *Fleet) Limits(now time.Time, key uint32) rlbratelimit.Peers {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum rlbratelimit.Peers
	for _, m := range f.members {
		if l, known := m.digest.Limits[key]; known && now.Sub(m.lastSeen) <= LivenessTimeout {
			sum = sum.Add(l.peers(m.lastSeen))
		}
	}
	for _, d := range f.domains {
		if l, known := d.summary.Limits[key]; known && now.Sub(d.lastSeen) <= LivenessTimeout {
			sum = sum.Add(l.peers(d.lastSeen))
		}
	}
	return sum
}

// summarizeLimits returns the sums of what the own digest and the live members know about
// limited endpoints. f.mu must be held.
func (f *Fleet) summarizeLimits(now time.Time, own Digest) map[uint32]EndpointLimit {
	sums := map[uint32]rlbratelimit.Peers{}
	for key, l := range own.Limits {
		sums[key] = l.peers(now)
	}
	for _, m := range f.members {
		if now.Sub(m.lastSeen) > LivenessTimeout {
			continue
		}
		for key, l := range m.digest.Limits {
			sums[key] = sums[key].Add(l.peers(m.lastSeen))
		}
	}
	encoded := map[uint32]EndpointLimit{}
	for key, p := range sums {
		encoded[key] = NewEndpointLimit(now, p.Statement, p.Demand)
	}
	return encoded
}

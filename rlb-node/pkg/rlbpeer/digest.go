// Package rlbpeer links the instances of a fleet. Each tells those of its failure
// domain a short digest several times a second; the first of a domain sums these
// up for the firsts of the other domains, which pass the summary on in theirs. An
// instance may ask another one a question.
package rlbpeer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
)

// Digest is what an instance tells of itself.
type Digest struct {
	Name           string             `msgpack:"n"`
	Domain         string             `msgpack:"d"`
	Address        string             `msgpack:"a"` // IP:port, for digests and for questions
	Incarnation    int64              `msgpack:"l"` // rises with each start of the instance
	Sequence       uint64             `msgpack:"s"` // rises within a life
	Leaving        bool               `msgpack:"x,omitempty"`
	APIUnavailable bool               `msgpack:"o,omitempty"` // the object API does not answer this instance
	APIAvailable   bool               `msgpack:"w,omitempty"` // the object API answered its latest call
	ConfigVersion  uint64             `msgpack:"c,omitempty"` // version in force
	EntryRevision  uint64             `msgpack:"e,omitempty"` // newest revision of an endpoint's entry
	LeaseHolder    *LeaseHolder       `msgpack:"h,omitempty"` // set by the holder of the lease for orders
	Loads          map[uint32]Load    `msgpack:"i,omitempty"` // by endpoint, see Key
	Demand         map[string]float32 `msgpack:"m,omitempty"` // requests in progress or refused, by model
	Crashes        map[uint64]uint8   `msgpack:"k,omitempty"` // endpoints lost while they ran a request, by its fingerprint
}

// LeaseHolder is what the holder of the lease for orders tells of itself.
type LeaseHolder struct {
	Name     string   `msgpack:"n"`
	Address  string   `msgpack:"a"`
	Fence    uint64   `msgpack:"f"`
	LoadAges []uint16 `msgpack:"b,omitempty"` // ages in milliseconds of its latest loads from the weight store
}

// Load is work at an endpoint.
type Load struct {
	InFlight uint16 `msgpack:"i"`           // requests in progress
	Urgent   uint16 `msgpack:"p,omitempty"` // of these, those of the most urgent rank
	Unread   uint32 `msgpack:"u,omitempty"` // prompt tokens of those that have no answer yet
	Slow     uint8  `msgpack:"s,omitempty"` // hundredths of the latest streams that paused too long
	Doubts   uint8  `msgpack:"d,omitempty"` // instances to which it was lost, or not what its entry says
}

// NewLoad returns a load as digests have it.
func NewLoad(l rlbbalancer.Load) Load {
	return Load{
		InFlight: uint16(min(max(l.InFlight, 0), math.MaxUint16)),
		Urgent:   uint16(min(max(l.Urgent, 0), math.MaxUint16)),
		Unread:   uint32(min(max(l.UnreadTokens, 0), math.MaxUint32)),
		Slow:     uint8(100 * min(max(l.SlowShare, 0), 1)),
		Doubts:   uint8(min(max(l.FailureReports, 0), math.MaxUint8)),
	}
}

// product returns the load as the product has it.
func (l Load) product() rlbbalancer.Load {
	return rlbbalancer.Load{InFlight: int(l.InFlight), Urgent: int(l.Urgent), UnreadTokens: int(l.Unread), SlowShare: float64(l.Slow) / 100, FailureReports: int(l.Doubts)}
}

// Summary is what the first instance of a failure domain tells of the domain.
type Summary struct {
	Domain         string             `msgpack:"d"`
	From           string             `msgpack:"n"`
	Address        string             `msgpack:"a"`
	Incarnation    int64              `msgpack:"l"`
	Sequence       uint64             `msgpack:"s"`
	Relayed        bool               `msgpack:"r,omitempty"` // by an instance of the receiver's domain
	Members        int                `msgpack:"p"`
	APIUnavailable bool               `msgpack:"o,omitempty"` // the object API answers none of those that call it
	ConfigVersion  uint64             `msgpack:"c,omitempty"` // newest version in force
	EntryRevision  uint64             `msgpack:"e,omitempty"`
	LeaseHolder    *LeaseHolder       `msgpack:"h,omitempty"`
	Loads          map[uint32]Load    `msgpack:"i,omitempty"`
	Demand         map[string]float32 `msgpack:"m,omitempty"`
	Crashes        map[uint64]uint8   `msgpack:"k,omitempty"`
}

// packet is a datagram. One field is set.
type packet struct {
	Digest  *Digest  `msgpack:"d,omitempty"`
	Summary *Summary `msgpack:"s,omitempty"`
}

// EndpointKey returns the short name of an endpoint in digests.
func EndpointKey(endpoint string) uint32 { return uint32(xxhash.Sum64String(endpoint)) }

// SetLoadAges states when loads began.
func (h *LeaseHolder) SetLoadAges(now time.Time, begun []time.Time) {
	for _, t := range begun {
		h.LoadAges = append(h.LoadAges, uint16(min(now.Sub(t).Milliseconds(), math.MaxUint16)))
	}
}

// begun returns when the loads began of which a holder told at heard.
func (h *LeaseHolder) begun(heard time.Time) []time.Time {
	var all []time.Time
	for _, age := range h.LoadAges {
		all = append(all, heard.Add(-time.Duration(age)*time.Millisecond))
	}
	return all
}

// mark says which message of a sender something was.
type mark struct {
	life   int64
	number uint64
	heard  time.Time
}

// replacedBy reports whether a message replaces an older one of the same sender.
// The time of day, which lives are numbered by, may step back between two starts:
// of a sender that was silent a lower life counts too.
func (m mark) replacedBy(life int64, number uint64, now time.Time) bool {
	if life == m.life {
		return number > m.number
	}
	return life > m.life || now.Sub(m.heard) > LivenessTimeout
}

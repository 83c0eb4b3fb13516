// Package rlbpeer exchanges state between the instances of a fleet. Each instance
// sends a short digest to the instances of its failure domain several times a second.
// The delegate of a domain aggregates the digests into a summary for the delegates of
// the other domains, which relay it within theirs. An instance may also send a query
// to another one.
package rlbpeer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
)

// Digest is the state that an instance publishes within its failure domain.
type Digest struct {
	Name           string             `msgpack:"n"`
	Domain         string             `msgpack:"d"`
	Address        string             `msgpack:"a"` // IP:port for digests and queries
	Incarnation    int64              `msgpack:"l"` // increases with each start of the instance
	Sequence       uint64             `msgpack:"s"` // increases within an incarnation
	Draining       bool               `msgpack:"x,omitempty"`
	APIUnavailable bool               `msgpack:"o,omitempty"`   // the object API does not answer this instance
	CutOff         bool               `msgpack:"cut,omitempty"` // this instance reaches no endpoint directly while others do
	APIAvailable   bool               `msgpack:"w,omitempty"`   // the object API answered the latest call of this instance
	ConfigVersion  uint64             `msgpack:"c,omitempty"`   // config version in force
	EntryRevision  uint64             `msgpack:"e,omitempty"`   // newest revision of an endpoint's entry
	Fingerprint    uint64             `msgpack:"f,omitempty"`   // of the endpoints' entries, see rlbdiscovery.View.Fingerprint; 0: not known
	LeaseHolder    *LeaseHolder       `msgpack:"h,omitempty"`   // set by the holder of the lease for orders
	Loads          map[uint32]Load    `msgpack:"i,omitempty"`   // by endpoint, see EndpointKey
	Demand         map[string]float32 `msgpack:"m,omitempty"`   // requests in flight or refused, by model
	Crashes        []CrashRecord      `msgpack:"q,omitempty"`   // "k" was used by earlier versions

	Limits            map[uint32]EndpointLimit `msgpack:"r,omitempty"` // endpoints that limit their requests, see EndpointKey
	DrainingEndpoints []uint64                 `msgpack:"y,omitempty"` // incarnations that drain although their entries do not say so, or since shortly, see rlbdeployment.Endpoint.IncarnationKey
	RemovedEndpoints  []RemovedEndpoint        `msgpack:"z,omitempty"`
	BegunStreams      []BegunStreams           `msgpack:"b,omitempty"`
	Quotas            []QuotaUsage             `msgpack:"v,omitempty"` // of the workspaces with requests lately
	Spillover         Spillover                `msgpack:"j,omitempty"`
	Traffic           map[string]uint32        `msgpack:"g,omitempty"` // bytes a second with other failure domains, if there is a limit
}

// LeaseHolder is the state that the holder of the lease for orders publishes.
type LeaseHolder struct {
	Name     string   `msgpack:"n"`
	Address  string   `msgpack:"a"`
	Fence    uint64   `msgpack:"f"`
	LoadAges []uint16 `msgpack:"b,omitempty"` // ages in milliseconds of its latest loads from the weight store
	// Unloaded and Loaded name models that endpoints no longer serve, because they are being
	// unloaded, or serve already, while their entries say otherwise; see
	// rlbdeployment.Endpoint.ModelKey.
	Unloaded []uint64 `msgpack:"u,omitempty"`
	Loaded   []uint64 `msgpack:"l,omitempty"`
}

// Load is the load on an endpoint as encoded in digests.
type Load struct {
	InFlight       uint16 `msgpack:"i"`           // requests in flight
	Urgent         uint16 `msgpack:"p,omitempty"` // requests in flight with the most urgent priority
	LateWaiting    uint16 `msgpack:"w,omitempty"` // late requests without a first token
	UnreadTokens   uint32 `msgpack:"u,omitempty"` // prompt tokens of the other requests without a first token
	SlowPercent    uint8  `msgpack:"s,omitempty"` // percentage of the latest streams with a pause that was too long
	FailureReports uint8  `msgpack:"d,omitempty"` // instances that got no answer from the endpoint or found that it does not match its entry
}

// NewLoad converts a load to the form in digests; values out of range are clamped.
func NewLoad(l rlbbalancer.Load) Load {
	return Load{
		InFlight:       uint16(min(max(l.InFlight, 0), math.MaxUint16)),
		Urgent:         uint16(min(max(l.Urgent, 0), math.MaxUint16)),
		LateWaiting:    uint16(min(max(l.LateWaiting, 0), math.MaxUint16)),
		UnreadTokens:   uint32(min(max(l.UnreadTokens, 0), math.MaxUint32)),
		SlowPercent:    uint8(100 * min(max(l.SlowShare, 0), 1)),
		FailureReports: uint8(min(max(l.FailureReports, 0), math.MaxUint8)),
	}
}

// balancerLoad converts a load from the form in digests.
func (l Load) balancerLoad() rlbbalancer.Load {
	return rlbbalancer.Load{InFlight: int(l.InFlight), Urgent: int(l.Urgent), LateWaiting: int(l.LateWaiting), UnreadTokens: int(l.UnreadTokens), SlowShare: float64(l.SlowPercent) / 100, FailureReports: int(l.FailureReports)}
}

// Summary is the state that the delegate of a failure domain publishes for the domain.
type Summary struct {
	Domain         string             `msgpack:"d"`
	From           string             `msgpack:"n"` // name of the delegate
	Address        string             `msgpack:"a"`
	Incarnation    int64              `msgpack:"l"`
	Sequence       uint64             `msgpack:"s"`
	Relayed        bool               `msgpack:"r,omitempty"` // relayed by an instance of the receiver's domain
	Members        int                `msgpack:"p"`           // live instances of the domain
	APIUnavailable bool               `msgpack:"o,omitempty"` // the object API answers none of the instances that call it
	ConfigVersion  uint64             `msgpack:"c,omitempty"` // newest config version in force
	EntryRevision  uint64             `msgpack:"e,omitempty"`
	Fingerprint    uint64             `msgpack:"f,omitempty"` // of an instance with that revision; 0: not known
	LeaseHolder    *LeaseHolder       `msgpack:"h,omitempty"`
	Loads          map[uint32]Load    `msgpack:"i,omitempty"`
	Demand         map[string]float32 `msgpack:"m,omitempty"`
	Crashes        []CrashRecord      `msgpack:"q,omitempty"` // of all instances of the domain; "k" was used by earlier versions

	Limits            map[uint32]EndpointLimit `msgpack:"t,omitempty"`
	DrainingEndpoints []uint64                 `msgpack:"y,omitempty"`
	RemovedEndpoints  []RemovedEndpoint        `msgpack:"z,omitempty"`
	// BegunStreams are those of the only instance of the domain; others of a domain remember
	// each other's.
	BegunStreams []BegunStreams `msgpack:"b,omitempty"`
	Quotas       []QuotaUsage   `msgpack:"v,omitempty"`
	QuotasKnown  bool           `msgpack:"w,omitempty"` // the delegate knows those of its domain
	Spillover    Spillover      `msgpack:"j,omitempty"`
}

// packet is the content of a datagram. Either Digest or Summary is set.
type packet struct {
	Digest  *Digest  `msgpack:"d,omitempty"`
	Summary *Summary `msgpack:"s,omitempty"`
	Forward []string `msgpack:"f,omitempty"` // addresses that the receiver sends the summary to, see relayGroups
}

// EndpointKey returns the key of an endpoint in digests, a hash of its ID.
func EndpointKey(endpoint string) uint32 { return uint32(xxhash.Sum64String(endpoint)) }

// AddLoadAges adds the ages of loads that started at the given times.
func (h *LeaseHolder) AddLoadAges(now time.Time, starts []time.Time) {
	for _, t := range starts {
		h.LoadAges = append(h.LoadAges, uint16(min(now.Sub(t).Milliseconds(), math.MaxUint16)))
	}
}

// loadStarts returns the start times of the loads in a message received at receivedAt.
func (h *LeaseHolder) loadStarts(receivedAt time.Time) []time.Time {
	var all []time.Time
	for _, age := range h.LoadAges {
		all = append(all, receivedAt.Add(-time.Duration(age)*time.Millisecond))
	}
	return all
}

// messageID identifies a received message of one sender.
type messageID struct {
	incarnation int64
	sequence    uint64
	receivedAt  time.Time
}

// supersededBy reports whether another message of the same sender is newer.
// Incarnations are numbered by the time of day, which may step back between two
// starts: after a silence longer than LivenessTimeout a lower incarnation is accepted
// too.
func (m messageID) supersededBy(incarnation int64, sequence uint64, now time.Time) bool {
	if incarnation == m.incarnation {
		return sequence > m.sequence
	}
	return incarnation > m.incarnation || now.Sub(m.receivedAt) > LivenessTimeout
}

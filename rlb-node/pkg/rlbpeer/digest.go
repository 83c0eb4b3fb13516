// Package rlbpeer links the instances of a fleet: each tells the others a short
// digest several times a second, and may ask one of them a question.
package rlbpeer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is what an instance tells of itself.
type Digest struct {
	Name    string             `msgpack:"n"`
	Domain  string             `msgpack:"d"`
	Address string             `msgpack:"a"` // IP:port, for digests and for questions
	Life    int64              `msgpack:"l"` // rises with each start of the instance
	Number  uint64             `msgpack:"s"` // rises within a life
	Leaving bool               `msgpack:"x,omitempty"`
	Lost    bool               `msgpack:"o,omitempty"` // the object API does not answer this instance
	Config  uint64             `msgpack:"c,omitempty"` // version in force
	Entries uint64             `msgpack:"e,omitempty"` // newest revision of an endpoint's entry
	Fence   uint64             `msgpack:"f,omitempty"` // of the lease for orders, if this instance holds it
	Loads   map[uint32]Load    `msgpack:"i,omitempty"` // by endpoint, see Key
	Demand  map[string]float32 `msgpack:"m,omitempty"` // requests in progress or refused, by model
	Begun   []uint16           `msgpack:"b,omitempty"` // ages in milliseconds of the holder's latest loads from the weight store
	Strikes []Strike           `msgpack:"k,omitempty"`
}

// Load is an instance's work at an endpoint.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`
	InFlight uint16   // requests in progress
	Unread   uint32   // prompt tokens of those that have no answer yet
	Slow     uint8    // hundredths of the latest streams that paused too long
}

// Strike tells that a request may have crashed the endpoint that ran it.
type Strike struct {
	Request  uint64 `msgpack:"r"` // fingerprint
	Endpoint uint32 `msgpack:"e"`
}

// Key returns the short name of an endpoint in digests.
func Key(endpoint string) uint32 { return uint32(xxhash.Sum64String(endpoint)) }

// SetBegun states when loads began.
func (d *Digest) SetBegun(now time.Time, begun []time.Time) {
	for _, t := range begun {
		d.Begun = append(d.Begun, uint16(min(now.Sub(t).Milliseconds(), math.MaxUint16)))
	}
}

// begun returns when the loads began of which a digest heard at heard tells.
func (d *Digest) begun(heard time.Time) []time.Time {
	var all []time.Time
	for _, age := range d.Begun {
		all = append(all, heard.Add(-time.Duration(age)*time.Millisecond))
	}
	return all
}

// newer reports whether a digest replaces an older one of the same instance.
func (d *Digest) newer(old *Digest) bool {
	if d.Life != old.Life {
		return d.Life > old.Life
	}
	return d.Number > old.Number
}

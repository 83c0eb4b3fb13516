package rlbpeer

import (
	"math"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbspillover"
)

// Spillover is which shares of its requests a failure domain sends to others, in 1/255, by
// rlbspillover.Key. Its delegate publishes it.
type Spillover map[uint64]uint8

// NewSpillover converts the flows that leave a domain to the form in digests.
func NewSpillover(domain string, flows []rlbspillover.Flow) Spillover {
	if len(flows) == 0 {
		return nil
	}
	s := Spillover{}
	for _, flow := range flows {
		s[rlbspillover.Key(flow.Pool, domain, flow.Domain)] = uint8(math.Ceil(flow.Share * math.MaxUint8))
	}
	return s
}

// Share returns the share of a flow.
func (s Spillover) Share(key uint64) float64 { return float64(s[key]) / math.MaxUint8 }

// add adds the shares of another domain, or of another delegate of the same one.
func (s Spillover) add(other Spillover) {
	for key, share := range other {
		s[key] = max(s[key], share)
	}
}

// SpilloverShare returns the share of a flow that the delegate of its domain, other than this
// instance, publishes.
func (f *Fleet) SpilloverShare(now time.Time, key uint64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadsStale {
		f.sumLoads(now)
	}
	return f.spillover.Share(key)
}

// Traffic returns the bytes a second between the other live instances of the own domain and
// each other domain.
func (f *Fleet) Traffic(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for _, d := range f.LiveDigests(now) {
		for domain, rate := range d.Traffic {
			sum[domain] += float64(rate)
		}
	}
	return sum
}

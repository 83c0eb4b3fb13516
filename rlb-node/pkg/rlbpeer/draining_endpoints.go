package rlbpeer

import (
	"slices"
	"time"
)

// DrainingEndpoints returns the incarnations of endpoints that drain according to the
// other live instances, although their entries do not say so.
func (f *Fleet) DrainingEndpoints(now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.drainingInDomain(now)
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) <= LivenessTimeout {
			all = append(all, d.summary.DrainingEndpoints...)
		}
	}
	return sortedSet(all)
}

// drainingInDomain returns those that the live members of the own domain name. f.mu must
// be held.
func (f *Fleet) drainingInDomain(now time.Time) []uint64 {
	var all []uint64
	for _, m := range f.members {
		if now.Sub(m.lastSeen) <= LivenessTimeout {
			all = append(all, m.digest.DrainingEndpoints...)
		}
	}
	return all
}

// summarizeDraining returns what the own digest and the live members name. f.mu must be
// held.
func (f *Fleet) summarizeDraining(now time.Time, own Digest) []uint64 {
	return sortedSet(append(f.drainingInDomain(now), own.DrainingEndpoints...))
}

// sortedSet sorts numbers and removes duplicates.
func sortedSet(all []uint64) []uint64 {
	slices.Sort(all)
	return slices.Compact(all)
}

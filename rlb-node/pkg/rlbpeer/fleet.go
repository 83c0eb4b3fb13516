package rlbpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
)

// Terms of liveness.
const (
	// LivenessTimeout is how long an instance or a failure domain may be silent and
	// still count as live.
	LivenessTimeout = 1200 * time.Millisecond
	// forgetAfter is how long a silent one is remembered.
	forgetAfter = time.Minute
	// registeredFor is how long an address counts under which an instance
	// registered.
	registeredFor = 10 * time.Minute
	// askAgain is how long the first instance of another domain may be silent
	// before all that are known there are told.
	askAgain = 2 * time.Second
)

// member is another instance of the own failure domain as it last told.
type member struct {
	digest Digest
	heard  time.Time
}

func (m *member) mark() mark { return mark{m.digest.Incarnation, m.digest.Sequence, m.heard} }

// domain is another failure domain as its first instance last told.
type domain struct {
	summary Summary
	heard   time.Time
}

func (d *domain) mark() mark { return mark{d.summary.Incarnation, d.summary.Sequence, d.heard} }

// registered is an address under which an instance registered.
type registered struct {
	domain string
	until  time.Time
}

// Fleet is what an instance knows of the others. Its methods may be called from
// any goroutine.
type Fleet struct {
	self   string
	domain string

	mu        sync.Mutex
	members   map[string]*member
	domains   map[string]*domain
	addresses map[string]registered
	holder    LeaseHolder // the latest that was heard of
	heard     time.Time
	loads     map[uint32]rlbbalancer.Load // of all others
	dirty     bool
}

// NewFleet returns a fleet in which nothing but the instance itself is known.
func NewFleet(self, ownDomain string) *Fleet {
	return &Fleet{self: self, domain: ownDomain, members: map[string]*member{}, domains: map[string]*domain{}, addresses: map[string]registered{}}
}

// ApplyDigest notes a digest heard at now; it reports whether the instance is new.
func (f *Fleet) ApplyDigest(now time.Time, d Digest) bool {
	if d.Name == f.self || d.Domain != f.domain {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.members[d.Name]
	if known && !old.mark().replacedBy(d.Incarnation, d.Sequence, now) {
		return false
	}
	f.members[d.Name] = &member{d, now}
	f.addresses[d.Address] = registered{d.Domain, now.Add(registeredFor)}
	f.dirty = true
	f.noteHolder(now, d.LeaseHolder)
	return !known || old.digest.Incarnation != d.Incarnation
}

// ApplySummary notes a summary heard at now; it reports whether it is news.
func (f *Fleet) ApplySummary(now time.Time, s Summary) bool {
	if s.Domain == f.domain {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.domains[s.Domain]
	if known && old.summary.From == s.From && !old.mark().replacedBy(s.Incarnation, s.Sequence, now) {
		return false
	}
	f.domains[s.Domain] = &domain{s, now}
	f.addresses[s.Address] = registered{s.Domain, now.Add(registeredFor)}
	f.dirty = true
	f.noteHolder(now, s.LeaseHolder)
	return true
}

func (f *Fleet) noteHolder(now time.Time, h *LeaseHolder) {
	if h != nil && h.Fence >= f.holder.Fence {
		f.holder, f.heard = *h, now
	}
}

// AddAddress adds an address under which an instance of a domain registered.
func (f *Fleet) AddAddress(now time.Time, address, ofDomain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[address] = registered{ofDomain, now.Add(registeredFor)}
}

// Targets returns the addresses of the own domain, to which digests go, and for
// the first instance of the domain those in others, to which summaries go: that
// of a domain's first instance if it is heard of, else all that are known.
func (f *Fleet) Targets(now time.Time) (own, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, r := range f.addresses {
		if now.After(r.until) {
			delete(f.addresses, address)
			continue
		}
		if r.domain == f.domain {
			own = append(own, address)
			continue
		}
		d := f.domains[r.domain]
		if d == nil || now.Sub(d.heard) > askAgain || d.summary.Address == address {
			others = append(others, address)
		}
	}
	return own, others
}

// LiveDigests returns the digests of the other instances of the domain heard of lately,
// by name.
func (f *Fleet) LiveDigests(now time.Time) []Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live(now)
}

func (f *Fleet) live(now time.Time) []Digest {
	var live []Digest
	for _, m := range f.members {
		if now.Sub(m.heard) <= LivenessTimeout {
			live = append(live, m.digest)
		}
	}
	slices.SortFunc(live, func(a, b Digest) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// LiveSummaries returns the summaries of other domains heard of lately, by name.
func (f *Fleet) LiveSummaries(now time.Time) []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []Summary
	for _, d := range f.domains {
		if now.Sub(d.heard) <= LivenessTimeout {
			live = append(live, d.summary)
		}
	}
	slices.SortFunc(live, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })
	return live
}

// Isolated reports whether nobody is heard of, or a domain that was is not.
func (f *Fleet) Isolated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.domains {
		if now.Sub(d.heard) > askAgain {
			return true
		}
	}
	return len(f.domains) == 0 && len(f.live(now)) == 0
}

// APIUnavailableEverywhere reports whether the object API answers no instance in any domain that is
// known: every domain is heard of and says so.
func (f *Fleet) APIUnavailableEverywhere(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.domains {
		if now.Sub(d.heard) > LivenessTimeout || !d.summary.APIUnavailable {
			return false
		}
	}
	return true
}

// APIAvailableInDomain reports whether the object API answers another instance of the domain.
func (f *Fleet) APIAvailableInDomain(now time.Time) bool {
	return slices.ContainsFunc(f.LiveDigests(now), func(d Digest) bool { return d.APIAvailable })
}

// IsDelegate reports whether this instance is the first live one of its domain among
// those that fit.
func (f *Fleet) IsDelegate(now time.Time, fits func(Digest) bool) bool {
	return !slices.ContainsFunc(f.LiveDigests(now), func(d Digest) bool { return d.Name < f.self && fits(d) })
}

// KnownInstances returns how many instances there are, this one and silent ones among
// them.
func (f *Fleet) KnownInstances(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for name, m := range f.members {
		if now.Sub(m.heard) > forgetAfter {
			delete(f.members, name)
			continue
		}
		n++
	}
	for name, d := range f.domains {
		if now.Sub(d.heard) > forgetAfter {
			delete(f.domains, name)
			continue
		}
		n += d.summary.Members
	}
	return n
}

// LeaseHolder returns the instance that holds the lease for orders, if it was heard
// of lately.
func (f *Fleet) LeaseHolder(now time.Time) (LeaseHolder, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder, f.holder.Fence > 0 && now.Sub(f.heard) <= LivenessTimeout
}

// HolderLoads returns when the loads began that the latest holder told of, and when it
// did; zero: none was heard of.
func (f *Fleet) HolderLoads(now time.Time) (heard time.Time, begun []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder.Fence == 0 || now.Sub(f.heard) > forgetAfter {
		return time.Time{}, nil
	}
	return f.heard, f.holder.begun(f.heard)
}

// Load returns the other instances' work at an endpoint.
func (f *Fleet) Load(now time.Time, key uint32) rlbbalancer.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dirty {
		f.count(now)
	}
	return f.loads[key]
}

func (f *Fleet) count(now time.Time) {
	f.loads, f.dirty = map[uint32]rlbbalancer.Load{}, false
	add := func(loads map[uint32]Load) {
		for key, l := range loads {
			f.loads[key] = f.loads[key].Add(l.product())
		}
	}
	for _, m := range f.members {
		if now.Sub(m.heard) <= LivenessTimeout {
			add(m.digest.Loads)
		}
	}
	for _, d := range f.domains {
		if now.Sub(d.heard) <= LivenessTimeout {
			add(d.summary.Loads)
		}
	}
}

// Demand returns what the other instances' callers want of each model.
func (f *Fleet) Demand(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := map[string]float64{}
	for _, d := range f.live(now) {
		addDemand(sum, d.Demand)
	}
	for _, d := range f.domains {
		if now.Sub(d.heard) <= LivenessTimeout {
			addDemand(sum, d.summary.Demand)
		}
	}
	return sum
}

func addDemand(sum map[string]float64, demand map[string]float32) {
	for model, n := range demand {
		sum[model] += float64(n)
	}
}

// Summarize sums the domain up, the instance's own digest among the others.
func (f *Fleet) Summarize(now time.Time, own Digest) Summary {
	s := Summary{
		Domain: own.Domain, From: own.Name, Address: own.Address, Incarnation: own.Incarnation, Sequence: own.Sequence,
		Loads: map[uint32]Load{}, Demand: map[string]float32{}, Crashes: map[uint64]uint8{},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	answered := false
	for _, d := range append(f.live(now), own) {
		s.Members++
		s.APIUnavailable, answered = s.APIUnavailable || d.APIUnavailable, answered || d.APIAvailable
		s.ConfigVersion, s.EntryRevision = max(s.ConfigVersion, d.ConfigVersion), max(s.EntryRevision, d.EntryRevision)
		if d.LeaseHolder != nil && (s.LeaseHolder == nil || d.LeaseHolder.Fence > s.LeaseHolder.Fence) {
			s.LeaseHolder = d.LeaseHolder
		}
		for key, l := range d.Loads {
			s.Loads[key] = NewLoad(s.Loads[key].product().Add(l.product()))
		}
		for model, n := range d.Demand {
			s.Demand[model] += n
		}
		for print, n := range d.Crashes {
			s.Crashes[print] += n
		}
	}
	s.APIUnavailable = s.APIUnavailable && !answered
	return s
}

// Crashes returns how many endpoints the other instances lost while these ran the
// request of a fingerprint.
func (f *Fleet) Crashes(now time.Time, print uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if now.Sub(m.heard) <= forgetAfter {
			n += int(m.digest.Crashes[print])
		}
	}
	for _, d := range f.domains {
		if now.Sub(d.heard) <= forgetAfter {
			n += int(d.summary.Crashes[print])
		}
	}
	return n
}

package rlbpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
)

// Timing of liveness.
const (
	// LivenessTimeout is the time without a message after which an instance or a
	// failure domain no longer counts as live.
	LivenessTimeout = 1200 * time.Millisecond
	// watcherMemory is how long after its latest digest it matters that an instance watched
	// the object API: the time until another one has taken over.
	watcherMemory = 2 * LivenessTimeout
	// removalTimeout is the time without a message after which an instance or a
	// failure domain is removed, and the model loads that it reported no longer count.
	removalTimeout = time.Minute
	// addressTTL is how long the address of an instance is used after its latest
	// registration or message.
	addressTTL = 10 * time.Minute
	// delegateTimeout is the time without a summary of another domain after which
	// summaries are sent to all known addresses there.
	delegateTimeout = 2 * time.Second
)

// member is another instance of the own failure domain with its latest digest.
type member struct {
	digest   Digest
	lastSeen time.Time
}

func (m *member) messageID() messageID {
	return messageID{m.digest.Incarnation, m.digest.Sequence, m.lastSeen}
}

// remoteDomain is another failure domain with its latest summary.
type remoteDomain struct {
	summary  Summary
	lastSeen time.Time
}

func (d *remoteDomain) messageID() messageID {
	return messageID{d.summary.Incarnation, d.summary.Sequence, d.lastSeen}
}

// registeredAddress is an address of an instance, learned from its registration or
// from a message.
type registeredAddress struct {
	domain  string
	expires time.Time
}

// Fleet tracks the other instances and failure domains by their latest messages. It is
// safe for concurrent use.
type Fleet struct {
	self   string
	domain string

	mu              sync.Mutex
	members         map[string]*member
	domains         map[string]*remoteDomain
	addresses       map[string]registeredAddress
	leaseHolder     LeaseHolder // known holder with the highest fencing number
	leaseHolderSeen time.Time
	modelChanges    ModelChanges                // of the lease holder
	peerLoads       map[uint32]rlbbalancer.Load // sum over the live members and domains when it was computed last
	spillover       Spillover                   // of the live members and domains, computed with peerLoads
	loadsStale      bool
}

// NewFleet returns a fleet without any other instance.
func NewFleet(self, ownDomain string) *Fleet {
	return &Fleet{self: self, domain: ownDomain, members: map[string]*member{}, domains: map[string]*remoteDomain{}, addresses: map[string]registeredAddress{}}
}

// ApplyDigest applies a digest received at now. It reports whether the instance is new
// or was restarted. Digests of this instance itself, of other domains and outdated ones
// are ignored.
func (f *Fleet) ApplyDigest(now time.Time, d Digest) bool {
	if d.Name == f.self || d.Domain != f.domain {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.members[d.Name]
	if known && !old.messageID().supersededBy(d.Incarnation, d.Sequence, now) {
		return false
	}
	f.members[d.Name] = &member{d, now}
	f.addresses[d.Address] = registeredAddress{d.Domain, now.Add(addressTTL)}
	f.loadsStale = true
	f.updateLeaseHolder(now, d.LeaseHolder)
	return !known || old.digest.Incarnation != d.Incarnation
}

// ApplySummary applies a summary received at now. It reports whether the summary was
// applied: summaries of the own domain and outdated ones are ignored.
func (f *Fleet) ApplySummary(now time.Time, s Summary) bool {
	if s.Domain == f.domain {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.domains[s.Domain]
	if known && old.summary.From == s.From && !old.messageID().supersededBy(s.Incarnation, s.Sequence, now) {
		return false
	}
	f.domains[s.Domain] = &remoteDomain{s, now}
	f.addresses[s.Address] = registeredAddress{s.Domain, now.Add(addressTTL)}
	f.loadsStale = true
	f.updateLeaseHolder(now, s.LeaseHolder)
	return true
}

// updateLeaseHolder records a lease holder unless one with a higher fencing number is known.
func (f *Fleet) updateLeaseHolder(now time.Time, h *LeaseHolder) {
	if h != nil && h.Fence >= f.leaseHolder.Fence {
		f.leaseHolder, f.leaseHolderSeen = *h, now
		f.modelChanges = NewModelChanges(h.Unloaded, h.Loaded)
	}
}

// AddAddress adds the address of an instance from its registration.
func (f *Fleet) AddAddress(now time.Time, address, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[address] = registeredAddress{domain, now.Add(addressTTL)}
}

// Targets returns the addresses to send messages to: own for digests within the own
// domain, and others for summaries, which only the delegate sends. For each other
// domain, others contains the address of its delegate, or all known addresses if no
// summary arrived within delegateTimeout.
func (f *Fleet) Targets(now time.Time) (own, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, r := range f.addresses {
		if now.After(r.expires) {
			delete(f.addresses, address)
			continue
		}
		if r.domain == f.domain {
			own = append(own, address)
			continue
		}
		d := f.domains[r.domain]
		if d == nil || now.Sub(d.lastSeen) > delegateTimeout || d.summary.Address == address {
			others = append(others, address)
		}
	}
	return own, others
}

// Addresses returns the addresses of the registered instances of the own domain and of the
// others, this one included.
func (f *Fleet) Addresses(now time.Time) (own, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, r := range f.addresses {
		switch {
		case now.After(r.expires):
		case r.domain == f.domain:
			own = append(own, address)
		default:
			others = append(others, address)
		}
	}
	return own, others
}

// LiveDigests returns the digests of the other live instances of the own domain, sorted
// by name.
func (f *Fleet) LiveDigests(now time.Time) []Digest {
	return f.DigestsWithin(now, LivenessTimeout)
}

// DigestsWithin returns the digests of the other instances of the own domain that sent one
// within silence, sorted by name.
func (f *Fleet) DigestsWithin(now time.Time, silence time.Duration) []Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digestsWithin(now, silence)
}

// WatcherHeardAt returns when the latest digest was received of an instance of the own domain
// that the object API answered; zero: none within watcherMemory.
func (f *Fleet) WatcherHeardAt(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest time.Time
	for _, m := range f.members {
		if m.digest.APIAvailable && now.Sub(m.lastSeen) <= watcherMemory && m.lastSeen.After(latest) {
			latest = m.lastSeen
		}
	}
	return latest
}

func (f *Fleet) liveDigests(now time.Time) []Digest { return f.digestsWithin(now, LivenessTimeout) }

func (f *Fleet) digestsWithin(now time.Time, silence time.Duration) []Digest {
	var live []Digest
	for _, m := range f.members {
		if now.Sub(m.lastSeen) <= silence {
			live = append(live, m.digest)
		}
	}
	slices.SortFunc(live, func(a, b Digest) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// LiveSummaries returns the summaries of the other live domains, sorted by name.
func (f *Fleet) LiveSummaries(now time.Time) []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []Summary
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) <= LivenessTimeout {
			live = append(live, d.summary)
		}
	}
	slices.SortFunc(live, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })
	return live
}

// Isolated reports whether no other instance is live, or a known domain has sent no
// summary within delegateTimeout.
func (f *Fleet) Isolated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) > delegateTimeout {
			return true
		}
	}
	return len(f.domains) == 0 && len(f.liveDigests(now)) == 0
}

// APIUnavailableEverywhere reports whether every other known domain is live and reports
// that the object API answers none of its instances.
func (f *Fleet) APIUnavailableEverywhere(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) > LivenessTimeout || !d.summary.APIUnavailable {
			return false
		}
	}
	return true
}

// APIAvailableInDomain reports whether the object API answers another instance of the
// own domain.
func (f *Fleet) APIAvailableInDomain(now time.Time) bool {
	return slices.ContainsFunc(f.LiveDigests(now), func(d Digest) bool { return d.APIAvailable })
}

// NewestConfig returns the newest version of the config that another live instance of the
// own domain, or a delegate of another one, has in force; 0: none.
func (f *Fleet) NewestConfig(now time.Time) uint64 {
	newest := uint64(0)
	for _, d := range f.LiveDigests(now) {
		newest = max(newest, d.ConfigVersion)
	}
	for _, s := range f.LiveSummaries(now) {
		newest = max(newest, s.ConfigVersion)
	}
	return newest
}

// IsDelegate reports whether this instance is the delegate of its domain: no other live
// and eligible instance of the domain has a lower name.
func (f *Fleet) IsDelegate(now time.Time, eligible func(Digest) bool) bool {
	return !slices.ContainsFunc(f.LiveDigests(now), func(d Digest) bool { return d.Name < f.self && eligible(d) })
}

// KnownInstances removes the instances and domains that sent no message within
// removalTimeout. It returns the number of remaining instances, live or not, including
// this one.
func (f *Fleet) KnownInstances(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for name, m := range f.members {
		if now.Sub(m.lastSeen) > removalTimeout {
			delete(f.members, name)
			continue
		}
		n++
	}
	for name, d := range f.domains {
		if now.Sub(d.lastSeen) > removalTimeout {
			delete(f.domains, name)
			continue
		}
		n += d.summary.Members
	}
	return n
}

// LeaseHolder returns the last known holder of the lease for orders, and whether it is
// live.
func (f *Fleet) LeaseHolder(now time.Time) (LeaseHolder, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseHolder, f.leaseHolder.Fence > 0 && now.Sub(f.leaseHolderSeen) <= LivenessTimeout
}

// HolderLoads returns the start times of the loads in the latest message of the last
// known lease holder, and when that message was received. lastSeen is zero if there is
// no such message within removalTimeout.
func (f *Fleet) HolderLoads(now time.Time) (lastSeen time.Time, starts []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaseHolder.Fence == 0 || now.Sub(f.leaseHolderSeen) > removalTimeout {
		return time.Time{}, nil
	}
	return f.leaseHolderSeen, f.leaseHolder.loadStarts(f.leaseHolderSeen)
}

// Load returns the load that the other instances put on an endpoint.
func (f *Fleet) Load(now time.Time, key uint32) rlbbalancer.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loadsStale {
		f.sumLoads(now)
	}
	return f.peerLoads[key]
}

// sumLoads computes peerLoads from the live members and domains.
func (f *Fleet) sumLoads(now time.Time) {
	f.peerLoads, f.spillover, f.loadsStale = map[uint32]rlbbalancer.Load{}, Spillover{}, false
	add := func(loads map[uint32]Load) {
		for key, l := range loads {
			f.peerLoads[key] = f.peerLoads[key].Add(l.balancerLoad())
		}
	}
	for _, m := range f.members {
		if now.Sub(m.lastSeen) <= LivenessTimeout {
			add(m.digest.Loads)
			f.spillover.add(m.digest.Spillover)
		}
	}
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) <= LivenessTimeout {
			add(d.summary.Loads)
			f.spillover.add(d.summary.Spillover)
		}
	}
}

// Demand returns the demand of the other instances' callers by model.
func (f *Fleet) Demand(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := map[string]float64{}
	for _, d := range f.liveDigests(now) {
		addDemand(sum, d.Demand)
	}
	for _, d := range f.domains {
		if now.Sub(d.lastSeen) <= LivenessTimeout {
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

// addEntries adds what a digest says about the endpoints' entries. Of instances that know the
// same changes the one that reads them from the object API has no entries too many.
func (s *Summary) addEntries(d Digest) {
	switch {
	case d.EntryRevision > s.EntryRevision:
		s.EntryRevision, s.Fingerprint = d.EntryRevision, d.Fingerprint
	case d.EntryRevision == s.EntryRevision && (d.APIAvailable || s.Fingerprint == 0):
		s.Fingerprint = d.Fingerprint
	}
}

// Summarize aggregates the own digest and those of the live members into a summary of
// the domain.
func (f *Fleet) Summarize(now time.Time, own Digest) Summary {
	s := Summary{
		Domain: own.Domain, From: own.Name, Address: own.Address, Incarnation: own.Incarnation, Sequence: own.Sequence,
		Loads: map[uint32]Load{}, Demand: map[string]float32{}, Crashes: own.Crashes, // the own records contain those of the members
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.RemovedEndpoints = own.RemovedEndpoints // the own view has those of the members
	s.Limits, s.DrainingEndpoints = f.summarizeLimits(now, own), f.summarizeDraining(now, own)
	available, live := false, f.liveDigests(now)
	if len(live) == 0 {
		s.BegunStreams = own.BegunStreams
	}
	for _, d := range append(live, own) {
		s.Members++
		s.APIUnavailable, available = s.APIUnavailable || d.APIUnavailable, available || d.APIAvailable
		s.ConfigVersion = max(s.ConfigVersion, d.ConfigVersion)
		s.addEntries(d)
		if d.LeaseHolder != nil && (s.LeaseHolder == nil || d.LeaseHolder.Fence > s.LeaseHolder.Fence) {
			s.LeaseHolder = d.LeaseHolder
		}
		if len(d.Spillover) > 0 {
			s.Spillover = d.Spillover
		}
		for key, l := range d.Loads {
			s.Loads[key] = NewLoad(s.Loads[key].balancerLoad().Add(l.balancerLoad()))
		}
		for model, n := range d.Demand {
			s.Demand[model] += n
		}
	}
	s.APIUnavailable = s.APIUnavailable && !available
	return s
}

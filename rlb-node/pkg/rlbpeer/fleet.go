package rlbpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbpick"
)

// Terms of liveness.
const (
	// SilentAfter is how long an instance may be silent and still count as live.
	SilentAfter = 1200 * time.Millisecond
	// forgetAfter is how long a silent instance is remembered.
	forgetAfter = time.Minute
)

// Peer is another instance as it last told.
type Peer struct {
	Digest Digest
	Heard  time.Time
}

// Fleet is what an instance knows of the others. Its methods may be called from
// any goroutine.
type Fleet struct {
	mu      sync.Mutex
	self    string
	peers   map[string]*Peer
	targets map[string]time.Time    // addresses told of by others or by the object API, until
	holder  Peer                    // the latest digest of a holder of the lease
	loads   map[uint32]rlbpick.Load // of all others
	dirty   bool
}

// NewFleet returns a fleet in which nothing but the instance itself is known.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, peers: map[string]*Peer{}, targets: map[string]time.Time{}}
}

// Take notes a digest heard at now; it reports whether the instance is new.
func (f *Fleet) Take(now time.Time, d Digest) bool {
	if d.Name == f.self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.peers[d.Name]
	if known && !d.newer(&old.Digest) {
		return false
	}
	f.peers[d.Name] = &Peer{Digest: d, Heard: now}
	f.targets[d.Address] = now.Add(forgetAfter)
	f.dirty = true
	if d.Fence > 0 && d.Fence >= f.holder.Digest.Fence {
		f.holder = Peer{Digest: d, Heard: now}
	}
	return !known || old.Digest.Life != d.Life
}

// Tell adds an address to which digests are sent.
func (f *Fleet) Tell(now time.Time, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[address] = now.Add(forgetAfter)
}

// Targets returns the addresses to which digests are sent.
func (f *Fleet) Targets(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]string, 0, len(f.targets))
	for address, until := range f.targets {
		if now.After(until) {
			delete(f.targets, address)
			continue
		}
		all = append(all, address)
	}
	return all
}

// Live returns the digests of the other instances heard of lately, by name.
func (f *Fleet) Live(now time.Time) []Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []Digest
	for _, p := range f.peers {
		if now.Sub(p.Heard) <= SilentAfter {
			live = append(live, p.Digest)
		}
	}
	slices.SortFunc(live, func(a, b Digest) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Known returns how many instances there are, this one and silent ones among
// them.
func (f *Fleet) Known(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for name, p := range f.peers {
		if now.Sub(p.Heard) > forgetAfter {
			delete(f.peers, name)
			continue
		}
		n++
	}
	return n
}

// Holder returns the live instance with the highest fence that says it holds
// the lease for orders.
func (f *Fleet) Holder(now time.Time) (Digest, bool) {
	var holder Digest
	for _, d := range f.Live(now) {
		if d.Fence > holder.Fence {
			holder = d
		}
	}
	return holder, holder.Fence > 0
}

// Begun returns when the loads began that the latest holder told of, and when it
// did; zero: none was heard of.
func (f *Fleet) Begun(now time.Time) (heard time.Time, begun []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.holder.Heard) > forgetAfter {
		return time.Time{}, nil
	}
	return f.holder.Heard, f.holder.Digest.begun(f.holder.Heard)
}

// Load returns the other instances' work at an endpoint.
func (f *Fleet) Load(now time.Time, key uint32) rlbpick.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dirty {
		f.count(now)
	}
	return f.loads[key]
}

func (f *Fleet) count(now time.Time) {
	f.loads, f.dirty = map[uint32]rlbpick.Load{}, false
	for _, p := range f.peers {
		if now.Sub(p.Heard) > SilentAfter {
			continue
		}
		for key, l := range p.Digest.Loads {
			f.loads[key] = f.loads[key].Plus(rlbpick.Load{InFlight: int(l.InFlight), Unread: int(l.Unread), Slow: float64(l.Slow) / 100})
		}
	}
}

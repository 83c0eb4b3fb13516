// Package rlbpath decides how an instance connects to endpoints: directly, or through another
// instance while its own links to endpoints fail and those of others do not.
package rlbpath

import (
	"sync"
	"time"
)

// Timing of paths.
const (
	probeInterval  = time.Second     // between direct tries to an endpoint that is reached through another instance
	initialBackoff = time.Second     // before other instances are asked again for an endpoint that they did not reach either
	maxBackoff     = 8 * time.Second // the same, after several times
	idleTTL        = 10 * time.Second
)

// minLost is how many endpoints must be lost to an instance alone until it counts as cut off.
const minLost = 2

// path is what is known of the way to one address.
type path struct {
	failed    bool      // the latest direct try did not reach it
	lostAt    time.Time // since when others reach it and this instance does not; zero: not so
	nextProbe time.Time // of the direct way
	nextAsk   time.Time // other instances are not asked before
	backoff   time.Duration
	usedAt    time.Time
}

// Paths is what an instance knows of its ways to endpoints, by their addresses. It is safe for
// concurrent use.
type Paths struct {
	now func() time.Time

	mu          sync.Mutex
	byAddress   map[string]*path
	workedAt    time.Time // latest direct connection
	cutOffSince time.Time // zero: not cut off
}

// New returns Paths that know of no failure. Now is a monotonic clock.
func New(now func() time.Time) *Paths {
	return &Paths{now: now, byAddress: map[string]*path{}}
}

// Route is how to connect to an address.
type Route struct {
	Through bool // through another instance first
	Probe   bool // a direct try is due, beside that
}

// Route returns how to connect to an address now. A probe that it demands is under way until
// DirectWorked or DirectFailed is called.
func (p *Paths) Route(address string) Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	known := p.byAddress[address]
	if known == nil {
		if p.cutOffSince.IsZero() {
			return Route{}
		}
		known = p.pathTo(address, now)
	}
	known.usedAt = now
	if known.lostAt.IsZero() && p.cutOffSince.IsZero() {
		return Route{}
	}
	probe := !now.Before(known.nextProbe)
	if probe {
		known.nextProbe = now.Add(probeInterval)
	}
	return Route{Through: true, Probe: probe}
}

// pathTo returns the path to an address, which it adds if there is none. The caller holds mu.
func (p *Paths) pathTo(address string, now time.Time) *path {
	known := p.byAddress[address]
	if known == nil {
		known = &path{usedAt: now}
		p.byAddress[address] = known
	}
	return known
}

// DirectWorked records that a direct try reached an address.
func (p *Paths) DirectWorked(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workedAt, p.cutOffSince = p.now(), time.Time{}
	delete(p.byAddress, address)
}

// DirectFailed records that a direct try did not reach an address, and reports whether other
// instances are to be asked for it now: ThroughWorked or ThroughFailed follows.
func (p *Paths) DirectFailed(address string) (ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	known := p.pathTo(address, now)
	known.failed, known.usedAt = true, now
	if now.Before(known.nextAsk) {
		return false
	}
	known.nextAsk = now.Add(initialBackoff)
	return true
}

// ThroughWorked records that another instance reached an address that this one does not.
func (p *Paths) ThroughWorked(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	if known == nil || !known.failed {
		return // a direct try has reached it since, or none was made
	}
	now := p.now()
	known.backoff, known.nextAsk = 0, time.Time{}
	if known.lostAt.IsZero() {
		known.lostAt, known.nextProbe = now, now.Add(probeInterval)
	}
	if p.cutOffSince.IsZero() && p.lostSince(p.workedAt) >= minLost {
		p.cutOffSince = now
	}
}

// lostSince returns how many addresses were lost after a time. The caller holds mu.
func (p *Paths) lostSince(t time.Time) int {
	lost := 0
	for _, known := range p.byAddress {
		if known.lostAt.After(t) {
			lost++
		}
	}
	return lost
}

// ThroughFailed records that no other instance reached an address either: the endpoint is to
// blame. It is tried directly, and the others are asked again later.
func (p *Paths) ThroughFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	if known == nil {
		return // a direct try has reached it since
	}
	known.lostAt = time.Time{}
	known.backoff = min(max(2*known.backoff, initialBackoff), maxBackoff)
	known.nextAsk = p.now().Add(known.backoff)
}

// Lost reports whether this instance does not reach an address directly, as far as it knows.
func (p *Paths) Lost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	return !p.cutOffSince.IsZero() || known != nil && !known.lostAt.IsZero()
}

// CutOffSince returns since when the instance reaches no endpoint directly, while others do; zero:
// it reaches some, or none is known to be reached by others.
func (p *Paths) CutOffSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOffSince
}

// Prune forgets addresses that were not used for a while.
func (p *Paths) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, known := range p.byAddress {
		if now.Sub(known.usedAt) > idleTTL {
			delete(p.byAddress, address)
		}
	}
	if len(p.byAddress) == 0 {
		p.cutOffSince = time.Time{}
	}
}

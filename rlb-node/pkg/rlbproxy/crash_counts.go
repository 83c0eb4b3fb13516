package rlbproxy

import (
	"math"
	"sync"
	"time"
)

// Limits of the crash counts, which protect endpoints from requests that crash them.
const (
	crashCountTTL       = 30 * time.Second // after the latest crash
	maxCrashes          = 2                // a request with more crashes is refused
	sweepThreshold      = 10000            // number of crash counts from which on expired ones are deleted
	maxPublishedCrashes = 64               // in one digest
)

// crashCount counts the crashes during one request until it expires.
type crashCount struct {
	crashes int
	until   time.Time
}

// crashCounts counts, by fingerprint, the endpoints that broke the connection while
// they ran a request. Requests with too many such crashes are refused.
type crashCounts struct {
	mu            sync.Mutex
	now           func() time.Time
	peerCrashes   func(fingerprint uint64) int // crashes recorded by other instances
	byFingerprint map[uint64]crashCount
}

func newCrashCounts(now func() time.Time, peerCrashes func(fingerprint uint64) int) *crashCounts {
	return &crashCounts{now: now, peerCrashes: peerCrashes, byFingerprint: map[uint64]crashCount{}}
}

// recordCrash counts an endpoint crash during the request.
func (c *crashCounts) recordCrash(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if len(c.byFingerprint) >= sweepThreshold {
		c.sweep(now)
	}
	count := c.byFingerprint[fingerprint]
	if now.After(count.until) {
		count.crashes = 0
	}
	c.byFingerprint[fingerprint] = crashCount{count.crashes + 1, now.Add(crashCountTTL)}
}

func (c *crashCounts) sweep(now time.Time) {
	for fingerprint, count := range c.byFingerprint {
		if now.After(count.until) {
			delete(c.byFingerprint, fingerprint)
		}
	}
}

// tooManyCrashes reports whether the request crashed too many endpoints, here and at
// other instances.
func (c *crashCounts) tooManyCrashes(fingerprint uint64) bool {
	here, peers := c.count(fingerprint)
	return here+peers > maxCrashes
}

// count returns the crashes of endpoints during the request that were counted here and
// at other instances.
func (c *crashCounts) count(fingerprint uint64) (here, peers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byFingerprint[fingerprint]
	if !c.now().Before(count.until) {
		count.crashes = 0
	}
	return count.crashes, c.peerCrashes(fingerprint)
}

// recent returns up to maxPublishedCrashes unexpired crash counts by fingerprint.
func (c *crashCounts) recent() map[uint64]uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, crashes := c.now(), map[uint64]uint8{}
	for fingerprint, count := range c.byFingerprint {
		if now.Before(count.until) {
			crashes[fingerprint] = uint8(min(count.crashes, math.MaxUint8))
		}
		if len(crashes) >= maxPublishedCrashes {
			break
		}
	}
	return crashes
}

package rlbscheduler

import (
	"sync"
	"time"
)

// Terms of the weight store.
const (
	rateTolerance = 1.1 // loads in a window may exceed the rate by this factor
	burstLoads    = 3   // loads that may begin in a window besides
	reservedLoads = 1   // of these, for loads that begin later than they are ordered
)

// loadLimiter bounds the loads that the weight store sees in any window, over all
// holders of the lease.
type loadLimiter struct {
	mu                 sync.Mutex
	window             time.Duration
	starts             []time.Time
	unknownHolderUntil time.Time // until when loads of a holder that was not heard of may count
}

func newLoadLimiter(window time.Duration) *loadLimiter { return &loadLimiter{window: window} }

// takeOver notes that another holder's loads were heard of until heard.
func (l *loadLimiter) takeOver(now, lastSeen time.Time, starts []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append([]time.Time(nil), starts...)
	l.unknownHolderUntil = now
	if lastSeen.IsZero() {
		l.unknownHolderUntil = now.Add(l.window)
	}
}

// recent returns when the loads of the latest window began.
func (l *loadLimiter) recent(now time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	return append([]time.Time(nil), l.starts...)
}

func (l *loadLimiter) dropExpired(now time.Time) {
	inWindow := l.starts[:0]
	for _, t := range l.starts {
		if now.Sub(t) < l.window {
			inWindow = append(inWindow, t)
		}
	}
	l.starts = inWindow
}

// allow takes one load if the window that ends now has room for it.
func (l *loadLimiter) allow(now time.Time, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	limit := perSecond*l.window.Seconds()*rateTolerance + burstLoads - reservedLoads
	if now.Before(l.unknownHolderUntil) {
		limit /= 2 // an earlier holder may have used the other half
	}
	if float64(len(l.starts)+1) > limit {
		return false
	}
	l.starts = append(l.starts, now)
	return true
}

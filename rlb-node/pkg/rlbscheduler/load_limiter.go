package rlbscheduler

import (
	"slices"
	"sync"
	"time"
)

// Limits on loads from the weight store.
const (
	rateTolerance = 1.1 // factor by which the loads in a window may exceed the rate
	burstLoads    = 3   // additional loads that may start in a window
	reservedLoads = 1   // part of burstLoads reserved for loads that start later than they are ordered
	// sameLoad is the difference between two starts of a load that may be due to the time that
	// messages take. Two holders of the lease are further apart.
	sameLoad = leaseMargin / 2
)

// loadLimiter limits the number of loads from the weight store that start within any
// window, across changes of the lease holder.
type loadLimiter struct {
	mu                 sync.Mutex
	window             time.Duration
	starts             []time.Time
	fence              uint64    // with which this instance held the lease last; 0: it has not held it
	unknownHolderUntil time.Time // end of the window that may contain loads of an unknown lease holder
}

func newLoadLimiter(window time.Duration) *loadLimiter { return &loadLimiter{window: window} }

// takeOver begins a period in which this instance holds the lease with a fencing number. It
// adds the loads in the latest message of the previous lease holder, received at lastSeen, to
// those that this instance ordered before. A zero lastSeen means that no previous holder is
// known. There was none in between if the fencing number is that of the period before.
func (l *loadLimiter) takeOver(now time.Time, fence uint64, lastSeen time.Time, starts []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence == l.fence {
		return
	}
	l.fence = fence
	l.starts = mergeStarts(l.starts, starts)
	l.unknownHolderUntil = now
	if lastSeen.IsZero() {
		l.unknownHolderUntil = now.Add(l.window)
	}
}

// mergeStarts returns the starts of an instance's own loads and of those in a message, which
// may contain the own ones.
func mergeStarts(own, received []time.Time) []time.Time {
	all := slices.Clone(own)
	left := slices.Clone(own) // not found in the message yet
	for _, start := range received {
		same := slices.IndexFunc(left, func(t time.Time) bool { return start.Sub(t).Abs() < sameLoad })
		if same >= 0 {
			left = slices.Delete(left, same, same+1)
			continue
		}
		all = append(all, start)
	}
	return all
}

// recent returns the start times of the loads in the window that ends now.
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

// allow reports whether one more load may start now, and counts it if so.
func (l *loadLimiter) allow(now time.Time, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	limit := perSecond*l.window.Seconds()*rateTolerance + burstLoads - reservedLoads
	if now.Before(l.unknownHolderUntil) {
		limit /= 2 // a previous holder may have used the other half
	}
	if float64(len(l.starts)+1) > limit {
		return false
	}
	l.starts = append(l.starts, now)
	return true
}

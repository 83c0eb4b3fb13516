package rlbapp

import (
	"sync"
	"time"
)

// Timing of the tries of reserve watchers, see reserveWatcher.
const (
	// reserveDelay is the time in which the candidates before the reserve watchers try first.
	reserveDelay = 700 * time.Millisecond
	// reserveSpacing is the time between the first tries of two reserve watchers.
	reserveSpacing = 100 * time.Millisecond
	// reserveWindow is the time in which the watchers begin the calls of a try.
	reserveWindow = 150 * time.Millisecond
	// Time between two tries of a reserve watcher: with each instance of the domain the calls of all
	// of them together get no more.
	reservePeriodPerInstance = 200 * time.Millisecond
	minReservePeriod         = 2 * time.Second
)

// reserveWatcher lets an instance try the object API that is none of the first candidates for the
// watcher of its domain, while it answers none of these. It may turn away some instances only,
// so that what it says to the candidates says nothing about the others. These take turns, as it
// may as well be away for all. reserveWatcher is safe for concurrent use.
type reserveWatcher struct {
	mu    sync.Mutex
	next  time.Time // of the next try; zero: the object API answers an instance of the domain
	until time.Time // end of the current try; zero: none
}

// due reports whether the instance tries now. needed reports that the object API answers no
// instance of the domain, and number is that of the instance among the reserve watchers, from 0.
func (r *reserveWatcher) due(now time.Time, needed bool, number, instances int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !needed:
		r.next, r.until = time.Time{}, time.Time{}
	case r.next.IsZero():
		r.next = now.Add(reserveDelay + time.Duration(number)*reserveSpacing)
	case now.Before(r.next):
	case r.until.IsZero():
		r.until = now.Add(reserveWindow)
	case !now.Before(r.until):
		r.next, r.until = now.Add(max(time.Duration(instances)*reservePeriodPerInstance, minReservePeriod)), time.Time{}
	}
	return now.Before(r.until)
}

package rlbapp

import (
	"sync"
	"time"
)

// Timing of the tries of stand-ins, see standIn.
const (
	// standInDelay is the time in which the candidates before the stand-ins try first.
	standInDelay = 700 * time.Millisecond
	// standInSpacing is the time between the first tries of two stand-ins.
	standInSpacing = 100 * time.Millisecond
	// standInWindow is the time in which the watchers begin the calls of a try.
	standInWindow = 150 * time.Millisecond
	// Time between two tries of a stand-in: with each instance of the domain the calls of all
	// of them together get no more.
	standInPeriodPerInstance = 200 * time.Millisecond
	minStandInPeriod         = 2 * time.Second
)

// standIn lets an instance try the object API that is none of the first candidates for the
// watcher of its domain, while it answers none of these. It may turn away some instances only,
// so that what it says to the candidates says nothing about the others. Stand-ins
// take turns, as it may as well be away for all. standIn is safe for concurrent use.
type standIn struct {
	mu    sync.Mutex
	next  time.Time // of the next try; zero: the object API answers an instance of the domain
	until time.Time // end of the current try; zero: none
}

// due reports whether the instance tries now. needed reports that the object API answers no
// instance of the domain, and number is that of the instance among the stand-ins, from 0.
func (s *standIn) due(now time.Time, needed bool, number, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !needed:
		s.next, s.until = time.Time{}, time.Time{}
	case s.next.IsZero():
		s.next = now.Add(standInDelay + time.Duration(number)*standInSpacing)
	case now.Before(s.next):
	case s.until.IsZero():
		s.until = now.Add(standInWindow)
	case !now.Before(s.until):
		s.next, s.until = now.Add(max(time.Duration(instances)*standInPeriodPerInstance, minStandInPeriod)), time.Time{}
	}
	return now.Before(s.until)
}

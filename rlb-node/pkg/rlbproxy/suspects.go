package rlbproxy

import (
	"math"
	"sync"
	"time"
)

// Terms of suspicion against requests that may crash the endpoints running them.
const (
	suspectFor   = 30 * time.Second // since the latest crash
	mostCrashes  = 2                // after which a request is not sent any more
	mostSuspects = 10000
	mostTold     = 64 // suspects in one digest
)

type suspect struct {
	crashes int
	until   time.Time
}

// suspects counts the endpoints that were lost while they ran a request.
type suspects struct {
	mu     sync.Mutex
	now    func() time.Time
	others func(print uint64) int // crashes that the other instances saw
	all    map[uint64]suspect
}

func newSuspects(now func() time.Time, others func(print uint64) int) *suspects {
	return &suspects{now: now, others: others, all: map[uint64]suspect{}}
}

// crashed notes that an endpoint was lost while it ran a request.
func (s *suspects) crashed(print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if len(s.all) >= mostSuspects {
		s.sweep(now)
	}
	entry := s.all[print]
	if now.After(entry.until) {
		entry.crashes = 0
	}
	s.all[print] = suspect{entry.crashes + 1, now.Add(suspectFor)}
}

func (s *suspects) sweep(now time.Time) {
	for print, entry := range s.all {
		if now.After(entry.until) {
			delete(s.all, print)
		}
	}
}

// guilty reports whether a request has crashed too many endpoints.
func (s *suspects) guilty(print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.all[print]
	if !s.now().Before(entry.until) {
		entry.crashes = 0
	}
	return entry.crashes+s.others(print) > mostCrashes
}

// tell returns some of the crashes that are remembered, by fingerprint.
func (s *suspects) tell() map[uint64]uint8 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, told := s.now(), map[uint64]uint8{}
	for print, entry := range s.all {
		if now.Before(entry.until) {
			told[print] = uint8(min(entry.crashes, math.MaxUint8))
		}
		if len(told) >= mostTold {
			break
		}
	}
	return told
}

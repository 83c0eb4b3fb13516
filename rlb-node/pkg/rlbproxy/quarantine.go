package rlbproxy

import (
	"math"
	"sync"
	"time"
)

// Terms of suspicion against requests that may crash the endpoints running them.
const (
	crashRecordTTL      = 30 * time.Second // since the latest crash
	maxCrashes          = 2                // after which a request is not sent any more
	maxCrashRecords     = 10000
	maxPublishedCrashes = 64 // suspects in one digest
)

type crashRecord struct {
	crashes int
	until   time.Time
}

// quarantine counts the endpoints that were lost while they ran a request.
type quarantine struct {
	mu          sync.Mutex
	now         func() time.Time
	peerCrashes func(print uint64) int // crashes that the other instances saw
	records     map[uint64]crashRecord
}

func newQuarantine(now func() time.Time, peerCrashes func(print uint64) int) *quarantine {
	return &quarantine{now: now, peerCrashes: peerCrashes, records: map[uint64]crashRecord{}}
}

// recordCrash notes that an endpoint was lost while it ran a request.
func (s *quarantine) recordCrash(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if len(s.records) >= maxCrashRecords {
		s.sweep(now)
	}
	record := s.records[fingerprint]
	if now.After(record.until) {
		record.crashes = 0
	}
	s.records[fingerprint] = crashRecord{record.crashes + 1, now.Add(crashRecordTTL)}
}

func (s *quarantine) sweep(now time.Time) {
	for fingerprint, record := range s.records {
		if now.After(record.until) {
			delete(s.records, fingerprint)
		}
	}
}

// quarantined reports whether a request has crashed too many endpoints.
func (s *quarantine) quarantined(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]
	if !s.now().Before(record.until) {
		record.crashes = 0
	}
	return record.crashes+s.peerCrashes(fingerprint) > maxCrashes
}

// published returns some of the crashes that are remembered, by fingerprint.
func (s *quarantine) published() map[uint64]uint8 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, crashes := s.now(), map[uint64]uint8{}
	for fingerprint, record := range s.records {
		if now.Before(record.until) {
			crashes[fingerprint] = uint8(min(record.crashes, math.MaxUint8))
		}
		if len(crashes) >= maxPublishedCrashes {
			break
		}
	}
	return crashes
}

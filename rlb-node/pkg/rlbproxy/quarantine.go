package rlbproxy

import (
	"math"
	"sync"
	"time"
)

// Limits of the quarantine of requests that may crash the endpoints running them.
const (
	crashRecordTTL      = 30 * time.Second // after the latest crash
	maxCrashes          = 2                // a request with more crashes is refused
	sweepThreshold      = 10000            // number of records from which on expired ones are deleted
	maxPublishedCrashes = 64               // in one digest
)

// crashRecord counts the crashes during one request until it expires.
type crashRecord struct {
	crashes int
	until   time.Time
}

// quarantine counts, by fingerprint, the endpoints that broke the connection while
// they ran a request. Requests with too many such crashes are refused.
type quarantine struct {
	mu          sync.Mutex
	now         func() time.Time
	peerCrashes func(fingerprint uint64) int // crashes recorded by other instances
	records     map[uint64]crashRecord
}

func newQuarantine(now func() time.Time, peerCrashes func(fingerprint uint64) int) *quarantine {
	return &quarantine{now: now, peerCrashes: peerCrashes, records: map[uint64]crashRecord{}}
}

// recordCrash counts an endpoint crash during the request.
func (q *quarantine) recordCrash(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if len(q.records) >= sweepThreshold {
		q.sweep(now)
	}
	record := q.records[fingerprint]
	if now.After(record.until) {
		record.crashes = 0
	}
	q.records[fingerprint] = crashRecord{record.crashes + 1, now.Add(crashRecordTTL)}
}

func (q *quarantine) sweep(now time.Time) {
	for fingerprint, record := range q.records {
		if now.After(record.until) {
			delete(q.records, fingerprint)
		}
	}
}

// quarantined reports whether the request crashed too many endpoints, here and at
// other instances.
func (q *quarantine) quarantined(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.records[fingerprint]
	if !q.now().Before(record.until) {
		record.crashes = 0
	}
	return record.crashes+q.peerCrashes(fingerprint) > maxCrashes
}

// recent returns up to maxPublishedCrashes unexpired crash counts by fingerprint.
func (q *quarantine) recent() map[uint64]uint8 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, crashes := q.now(), map[uint64]uint8{}
	for fingerprint, record := range q.records {
		if now.Before(record.until) {
			crashes[fingerprint] = uint8(min(record.crashes, math.MaxUint8))
		}
		if len(crashes) >= maxPublishedCrashes {
			break
		}
	}
	return crashes
}

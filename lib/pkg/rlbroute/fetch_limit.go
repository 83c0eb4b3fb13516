package rlbroute

import "sync"

// FetchLimit limits one gateway's adapter fetches in flight to its share of the
// limit for all gateways. The gateways do not coordinate: the share of each is the
// limit divided by their number. It is safe for concurrent use.
type FetchLimit struct {
	mu       sync.Mutex
	limit    int // for all gateways together
	inFlight int
}

// NewFetchLimit returns a FetchLimit with the limit for all gateways together.
func NewFetchLimit(limit int) *FetchLimit { return &FetchLimit{limit: limit} }

// TryAcquire begins one fetch if the gateway's share allows it, and reports whether
// it does; gateways is the current number of gateways. The share is at least one.
func (l *FetchLimit) TryAcquire(gateways int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= max(1, l.limit/max(1, gateways)) {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a fetch.
func (l *FetchLimit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

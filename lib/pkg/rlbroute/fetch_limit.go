package rlbroute

import "sync"

// FetchLimit keeps one gateway's adapter fetches within its share of what all
// replicas together may have in flight. Gateways do not ask one another: each
// takes the limit divided by their number. It is safe for concurrent use.
type FetchLimit struct {
	mu       sync.Mutex
	limit    int // of all gateways
	inFlight int
}

// NewFetchLimit returns a limit for all gateways together.
func NewFetchLimit(limit int) *FetchLimit { return &FetchLimit{limit: limit} }

// TryAcquire takes one fetch, for a gateway that is one of gateways, and reports
// whether its share allows it. A gateway always has a share of one.
func (l *FetchLimit) TryAcquire(gateways int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= max(1, l.limit/max(1, gateways)) {
		return false
	}
	l.inFlight++
	return true
}

// Release gives a fetch back.
func (l *FetchLimit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

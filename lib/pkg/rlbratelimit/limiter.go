// Package rlbratelimit keeps the requests that all instances send to an endpoint within
// the limit that the endpoint states in its answers. It does no I/O.
package rlbratelimit

import (
	"sync"
)

// Limiter holds the limits that endpoints state. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	limits map[string]float64 // requests a second, by endpoint ID
}

// New returns a limiter that knows no limit.
func New() *Limiter { return &Limiter{limits: map[string]float64{}} }

// RecordStatement records the limit that an endpoint states in an answer, in requests a
// second from all instances together; 0: it states none. It reports whether the limit has
// changed.
func (l *Limiter) RecordStatement(endpoint string, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits[endpoint] == perSecond {
		return false
	}
	l.limits[endpoint] = perSecond
	if perSecond == 0 {
		delete(l.limits, endpoint)
	}
	return true
}

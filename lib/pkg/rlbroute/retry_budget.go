package rlbroute

import "sync"

// maxUnusedRetries is the number of unused retries that a budget keeps for a burst.
const maxUnusedRetries = 100

// RetryBudget limits retries to a share of the requests, so that retries cannot
// multiply the load of a failing fleet. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	share     float64
	available float64
}

// NewRetryBudget returns a full budget that earns share retries for each request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, available: maxUnusedRetries}
}

// RecordRequest adds the retries that a request earns.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.share, maxUnusedRetries)
}

// TrySpend takes one retry if one is left, and reports whether it did.
func (b *RetryBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

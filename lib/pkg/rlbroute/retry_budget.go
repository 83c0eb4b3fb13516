package rlbroute

import "sync"

// maxSavedRetries is how many unused retries a budget keeps for a burst.
const maxSavedRetries = 100

// RetryBudget limits retries to a share of requests, so that retries of a
// broken fleet cannot multiply its load. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	share float64
	saved float64
}

// NewRetryBudget returns a budget of share retries for each request. It starts
// full.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, saved: maxSavedRetries}
}

// RecordRequest notes a request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, maxSavedRetries)
}

// TrySpend takes one retry and reports whether there was one.
func (b *RetryBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Package rlbretrybudget limits the retries of all instances together without
// communication between them: each instance may spend the retries that its own
// requests earn and an equal part of a fixed allowance. It does no I/O.
package rlbretrybudget

import "time"

// bucketCount is the number of buckets per window.
const bucketCount = 20

// Limits are the limits for all instances together.
type Limits struct {
	Ratio     float64       // retries per request
	Allowance float64       // additional retries per window
	Window    time.Duration // length of the sliding window
}

// spendableShare is the share of the limits that is spent. The rest is a reserve for
// instances that lose their counts in a restart, and for differences between clocks
// and arrival times.
const spendableShare = 0.5

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	index    int64 // number of the time interval since the Unix epoch
	requests float64
	retries  float64
}

// Budget is the retry budget of one instance for one service. It is not safe for
// concurrent use.
type Budget struct {
	limits  Limits
	buckets [bucketCount + 1]bucket // ring buffer
}

// New returns a budget without requests or retries.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits changes the limits. Earlier requests and retries still count, unless the
// length of the window changes.
func (b *Budget) SetLimits(limits Limits) {
	if limits.Window != b.limits.Window {
		b.buckets = [bucketCount + 1]bucket{}
	}
	b.limits = limits
}

// bucketAt returns the current bucket, which is reset if it holds an older interval.
func (b *Budget) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / int64(b.limits.Window/bucketCount)
	current := &b.buckets[index%int64(len(b.buckets))]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) { b.bucketAt(now).requests++ }

// TrySpend spends one retry if the limits allow it, and reports whether they do;
// instances is the current number of instances that share the limits.
func (b *Budget) TrySpend(now time.Time, instances int) bool {
	current := b.bucketAt(now)
	var requests, retries float64
	for _, c := range b.buckets {
		if c.index > current.index-int64(len(b.buckets)) {
			requests += c.requests
			retries += c.retries
		}
	}
	limit := spendableShare * (b.limits.Ratio*requests + b.limits.Allowance/float64(max(instances, 1)))
	if retries+1 > limit {
		return false
	}
	current.retries++
	return true
}

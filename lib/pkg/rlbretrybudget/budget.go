// Package rlbretrybudget bounds the repeats of requests over all instances without a
// call between them: each instance spends a share that its own traffic earns
// and an equal part of the fixed allowance. It does no I/O.
package rlbretrybudget

import "time"

// bucketCount is the number of parts of a window that are counted by themselves.
const bucketCount = 20

// Limits are what all instances together may spend.
type Limits struct {
	Ratio     float64       // repeats allowed for each request
	Allowance float64       // repeats allowed besides, in each window
	Window    time.Duration // any span of this length counts
}

// spendableShare is the part of the terms that is spent: instances that restart forget
// what they spent, and clocks and arrivals differ by a little.
const spendableShare = 0.5

type bucket struct {
	index    int64
	requests float64
	retries  float64
}

// Budget is one instance's share for one service. It is not safe for
// concurrent use.
type Budget struct {
	limits  Limits
	buckets [bucketCount + 1]bucket
}

// New returns a budget that has spent nothing.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits changes the terms. What was spent still counts, unless the window
// has another length.
func (b *Budget) SetLimits(limits Limits) {
	if limits.Window != b.limits.Window {
		b.buckets = [bucketCount + 1]bucket{}
	}
	b.limits = limits
}

func (b *Budget) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / int64(b.limits.Window/bucketCount)
	c := &b.buckets[index%int64(len(b.buckets))]
	if c.index != index {
		*c = bucket{index: index}
	}
	return c
}

// RecordRequest notes a request of a caller.
func (b *Budget) RecordRequest(now time.Time) { b.bucketAt(now).requests++ }

// TrySpend takes one repeat if the share of one of so many instances allows it.
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

// Package rlbretrybudget bounds the repeats of requests over all instances without a
// call between them: each instance spends a share that its own traffic earns
// and an equal part of the fixed allowance. It does no I/O.
package rlbretrybudget

import "time"

// slices is the number of parts of a window that are counted by themselves.
const slices = 20

// Limits are what all instances together may spend.
type Limits struct {
	Ratio     float64       // repeats allowed for each request
	Allowance float64       // repeats allowed besides, in each window
	Window    time.Duration // any span of this length counts
}

// safety is the part of the terms that is spent: instances that restart forget
// what they spent, and clocks and arrivals differ by a little.
const safety = 0.5

type counts struct {
	at       int64
	requests float64
	repeats  float64
}

// Budget is one instance's share for one service. It is not safe for
// concurrent use.
type Budget struct {
	terms Limits
	ring  [slices + 1]counts
}

// New returns a budget that has spent nothing.
func New(terms Limits) *Budget { return &Budget{terms: terms} }

// SetLimits changes the terms. What was spent still counts, unless the window
// has another length.
func (b *Budget) SetLimits(terms Limits) {
	if terms.Window != b.terms.Window {
		b.ring = [slices + 1]counts{}
	}
	b.terms = terms
}

func (b *Budget) slice(now time.Time) *counts {
	at := now.UnixNano() / int64(b.terms.Window/slices)
	c := &b.ring[at%int64(len(b.ring))]
	if c.at != at {
		*c = counts{at: at}
	}
	return c
}

// RecordRequest notes a request of a caller.
func (b *Budget) RecordRequest(now time.Time) { b.slice(now).requests++ }

// TrySpend takes one repeat if the share of one of so many instances allows it.
func (b *Budget) TrySpend(now time.Time, instances int) bool {
	current := b.slice(now)
	var requests, repeats float64
	for _, c := range b.ring {
		if c.at > current.at-int64(len(b.ring)) {
			requests += c.requests
			repeats += c.repeats
		}
	}
	limit := safety * (b.terms.Ratio*requests + b.terms.Allowance/float64(max(instances, 1)))
	if repeats+1 > limit {
		return false
	}
	current.repeats++
	return true
}

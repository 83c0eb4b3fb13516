package rlbduty

import (
	"sync"
	"time"
)

// spare is the part of the weight store's rate that is used: loads begin a
// little later than they are ordered.
const spare = 0.9

// loadRate bounds the loads that the weight store sees in any window.
type loadRate struct {
	mu     sync.Mutex
	window time.Duration
	begun  []time.Time
	full   time.Time // until when loads of an earlier holder may still count
}

func newLoadRate(window time.Duration) *loadRate { return &loadRate{window: window} }

// fill notes that another holder may have used the rate until now.
func (r *loadRate) fill(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = now.Add(r.window)
}

// take takes one load if the window that ends now has room for it.
func (r *loadRate) take(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.begun[:0]
	for _, t := range r.begun {
		if now.Sub(t) < r.window {
			kept = append(kept, t)
		}
	}
	r.begun = kept
	limit := spare * perSecond * r.window.Seconds()
	if now.Before(r.full) {
		limit /= 2
	}
	if float64(len(r.begun)+1) > max(limit, 1) {
		return false
	}
	r.begun = append(r.begun, now)
	return true
}

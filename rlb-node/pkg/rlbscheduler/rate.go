package rlbscheduler

import (
	"sync"
	"time"
)

// Terms of the weight store.
const (
	over    = 1.1 // loads in a window may exceed the rate by this factor
	besides = 3   // loads that may begin in a window besides
	kept    = 1   // of these, for loads that begin later than they are ordered
)

// loadRate bounds the loads that the weight store sees in any window, over all
// holders of the lease.
type loadRate struct {
	mu     sync.Mutex
	window time.Duration
	begun  []time.Time
	unsure time.Time // until when loads of a holder that was not heard of may count
}

func newLoadRate(window time.Duration) *loadRate { return &loadRate{window: window} }

// takeOver notes that another holder's loads were heard of until heard.
func (r *loadRate) takeOver(now, heard time.Time, begun []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = append([]time.Time(nil), begun...)
	r.unsure = now
	if heard.IsZero() {
		r.unsure = now.Add(r.window)
	}
}

// recent returns when the loads of the latest window began.
func (r *loadRate) recent(now time.Time) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	return append([]time.Time(nil), r.begun...)
}

func (r *loadRate) sweep(now time.Time) {
	inWindow := r.begun[:0]
	for _, t := range r.begun {
		if now.Sub(t) < r.window {
			inWindow = append(inWindow, t)
		}
	}
	r.begun = inWindow
}

// take takes one load if the window that ends now has room for it.
func (r *loadRate) take(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	limit := perSecond*r.window.Seconds()*over + besides - kept
	if now.Before(r.unsure) {
		limit /= 2 // an earlier holder may have used the other half
	}
	if float64(len(r.begun)+1) > limit {
		return false
	}
	r.begun = append(r.begun, now)
	return true
}

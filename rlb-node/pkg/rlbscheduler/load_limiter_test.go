package rlbscheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLoadLimiter checks the number of loads in every window, across changes of the
// lease holder in which the new holder has received the loads of the previous one, and in
// which a holder loses the lease and takes it again, with or without another one in between.
func TestLoadLimiter(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{1.1, 1.4, 16, 20}).Draw(t, "rate")
		now, fence := time.Unix(1000, 0), uint64(1)
		limiters := []*loadLimiter{newLoadLimiter(window), newLoadLimiter(window), newLoadLimiter(window)}
		limiter := limiters[0]
		limiter.takeOver(now, fence, now, nil)
		var loads []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				now = now.Add(leaseMargin)
				next := limiters[rapid.IntRange(0, 2).Draw(t, "holder")]
				if next != limiter {
					fence++
				}
				latency := time.Duration(rapid.IntRange(0, 100).Draw(t, "latency")) * time.Millisecond
				var received []time.Time
				for _, start := range limiter.recent(now) {
					received = append(received, start.Add(latency))
				}
				if next == limiter {
					received = nil // of an earlier holder, long ago
				}
				next.takeOver(now, fence, now, received)
				limiter = next
			}
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if limiter.allow(now, perSecond) {
					loads = append(loads, now)
				}
			}
		}
		for _, end := range loads {
			n := 0
			for _, start := range loads {
				if start.After(end.Add(-window)) && !start.After(end) {
					n++
				}
			}
			if limit := perSecond*window.Seconds()*1.1 + 3; float64(n) > limit {
				t.Fatalf("%d loads in a window, %.2f allowed", n, limit)
			}
		}
	})
}

// TestLoadLimiterAfterUnknownHolder checks the limit after a change in which the loads
// of the previous holder are not known.
func TestLoadLimiterAfterUnknownHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := newLoadLimiter(5 * time.Second)
	limiter.takeOver(now, 1, time.Time{}, nil)
	n := 0
	for limiter.allow(now, 1.1) {
		n++
	}
	if n != 4 {
		t.Errorf("%d loads right after an unknown holder, want 4, half of the limit of 8", n)
	}
}

package rlbretrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEveryWindowIsWithinLimits draws random traffic of several instances and checks
// the limits in every sliding window over all of them.
func TestEveryWindowIsWithinLimits(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if b.TrySpend(now, instances) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			begin := end.Add(-limits.Window)
			// If the preceding window had more requests, these count instead.
			allowed := limits.Allowance + limits.Ratio*float64(max(countWithin(requests, begin, end), countWithin(requests, begin.Add(-limits.Window), begin)))
			if spent := countWithin(retries, begin, end); float64(spent) > allowed {
				t.Fatalf("%d retries in the window that ends at %v, %.1f allowed", spent, end, allowed)
			}
		}
	})
}

func countWithin(all []time.Time, after, until time.Time) (n int) {
	for _, at := range all {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestSetLimitsKeepsSpentRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Allowance: 20, Window: 10 * time.Second})
	for b.TrySpend(now, 1) {
		continue
	}
	b.SetLimits(Limits{Allowance: 20, Window: 10 * time.Second})
	if b.TrySpend(now, 1) {
		t.Error("SetLimits discarded the retries spent before")
	}
}

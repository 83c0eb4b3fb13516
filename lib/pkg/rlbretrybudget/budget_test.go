package rlbretrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEveryWindow draws the traffic of several instances and checks every
// sliding window over all of them.
func TestEveryWindow(t *testing.T) {
	terms := Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(terms)
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if b.TrySpend(now, instances) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			begin := end.Add(-terms.Window)
			// The requests of the window before count where there were more.
			allowed := terms.Allowance + terms.Ratio*float64(max(within(requests, begin, end), within(requests, begin.Add(-terms.Window), begin)))
			if spent := within(repeats, begin, end); float64(spent) > allowed {
				t.Fatalf("%d repeats in the window that ends at %v, %.1f allowed", spent, end, allowed)
			}
		}
	})
}

func within(all []time.Time, after, until time.Time) (n int) {
	for _, at := range all {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestSetTerms(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Allowance: 20, Window: 10 * time.Second})
	for b.TrySpend(now, 1) {
		continue
	}
	b.SetLimits(Limits{Allowance: 20, Window: 10 * time.Second})
	if b.TrySpend(now, 1) {
		t.Error("new terms forget what was spent")
	}
}

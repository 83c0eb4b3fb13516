// Package rlbburn computes the burn rates of error budgets. The objective is the
// share of a model's requests that must be answered within its targets; the
// remainder is the error budget. At a burn rate of 1 the budget is used up exactly
// by the end of the period of the objective. The package does no I/O.
package rlbburn

import (
	"cmp"
	"slices"
	"time"
)

// Objective is the share of requests that must be answered within target.
const Objective = 0.95

// Cause is the reason for which a request missed its target.
type Cause string

// Causes.
const (
	CauseLate    Cause = "late"    // answered after its target
	CauseRefused Cause = "refused" // not run
	CauseFailed  Cause = "failed"  // failed or its outcome is unknown
)

// Count holds the numbers of a model's requests by result.
type Count struct {
	Good    int `json:"good" msgpack:"g,omitempty"`
	Late    int `json:"late" msgpack:"l,omitempty"`
	Refused int `json:"refused" msgpack:"r,omitempty"`
	Failed  int `json:"failed" msgpack:"f,omitempty"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{c.Good + o.Good, c.Late + o.Late, c.Refused + o.Refused, c.Failed + o.Failed}
}

// Missed returns the number of requests that missed their target.
func (c Count) Missed() int { return c.Late + c.Refused + c.Failed }

// Total returns the number of requests.
func (c Count) Total() int { return c.Good + c.Missed() }

// Attainment returns the share of requests answered within target, or 1 without
// requests.
func (c Count) Attainment() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total())
}

// BurnRate returns the rate at which the budget is used, relative to the rate that
// the objective allows.
func (c Count) BurnRate() float64 { return (1 - c.Attainment()) / (1 - Objective) }

// MainCause returns the most frequent cause of missed targets.
func (c Count) MainCause() Cause {
	causes := []struct {
		cause Cause
		n     int
	}{{CauseLate, c.Late}, {CauseRefused, c.Refused}, {CauseFailed, c.Failed}}
	return slices.MaxFunc(causes, func(a, b struct {
		cause Cause
		n     int
	}) int {
		return cmp.Compare(a.n, b.n)
	}).cause
}

// Resolution and length of the recorded history.
const (
	bucketDuration = 10 * time.Second
	bucketCount    = 6 * 60 * 6 // six hours, the longest window
)

// Windows over which burn rates are computed. An alert fires only if both windows
// of a pair exceed the rate: the long window shows that the burn is significant,
// the short one that it is still going on.
var (
	FastBurn = WindowPair{5 * time.Minute, time.Hour, 6}
	SlowBurn = WindowPair{30 * time.Minute, 6 * time.Hour, 2}
)

// WindowPair is a pair of windows and the burn rate that triggers an alert.
type WindowPair struct {
	Short, Long time.Duration
	Rate        float64
}

// Recorder counts the requests of models in time buckets. It is not safe for
// concurrent use.
type Recorder struct{ models map[string]*ringBuffer }

type ringBuffer struct {
	counts  [bucketCount]Count
	numbers [bucketCount]int64 // bucket number since the epoch that each count belongs to
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{models: map[string]*ringBuffer{}} }

// Add adds the count of a model's requests that ended at about now.
func (r *Recorder) Add(model string, c Count, now time.Time) {
	if c.Total() == 0 {
		return
	}
	m, known := r.models[model]
	if !known {
		m = &ringBuffer{}
		r.models[model] = m
	}
	number := now.UnixNano() / int64(bucketDuration)
	i := number % bucketCount
	if m.numbers[i] != number {
		m.numbers[i], m.counts[i] = number, Count{}
	}
	m.counts[i] = m.counts[i].Add(c)
}

// Window returns the count of a model over the window that ends now.
func (r *Recorder) Window(model string, window time.Duration, now time.Time) Count {
	m, known := r.models[model]
	if !known {
		return Count{}
	}
	newest := now.UnixNano() / int64(bucketDuration)
	oldest := newest - int64(window/bucketDuration) + 1
	var sum Count
	for number := oldest; number <= newest; number++ {
		if i := number % bucketCount; m.numbers[i] == number {
			sum = sum.Add(m.counts[i])
		}
	}
	return sum
}

// Models returns the sorted names of the recorded models.
func (r *Recorder) Models() []string {
	names := make([]string, 0, len(r.models))
	for name := range r.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Report holds the counts of a model over all windows.
type Report struct {
	Model   string           `json:"model"`
	Windows map[string]Count `json:"windows"` // by window length, as WindowNames returns it
}

// windows are the windows of both pairs, the shortest first.
var windows = []time.Duration{FastBurn.Short, SlowBurn.Short, FastBurn.Long, SlowBurn.Long}

// Reports returns a report for each model.
func (r *Recorder) Reports(now time.Time) []Report {
	var all []Report
	for _, name := range r.Models() {
		report := Report{Model: name, Windows: map[string]Count{}}
		for _, w := range windows {
			report.Windows[w.String()] = r.Window(name, w, now)
		}
		all = append(all, report)
	}
	return all
}

// Sum adds up the reports of several instances by model.
func Sum(reports []Report) []Report {
	sums := map[string]Report{}
	for _, r := range reports {
		sum, known := sums[r.Model]
		if !known {
			sum = Report{Model: r.Model, Windows: map[string]Count{}}
		}
		for w, c := range r.Windows {
			sum.Windows[w] = sum.Windows[w].Add(c)
		}
		sums[r.Model] = sum
	}
	all := make([]Report, 0, len(sums))
	for _, r := range sums {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Model, b.Model) })
	return all
}

// Alert returns the first pair whose windows both reach its burn rate, if any.
func (r Report) Alert() (WindowPair, bool) {
	for _, p := range []WindowPair{FastBurn, SlowBurn} {
		if r.Windows[p.Short.String()].BurnRate() >= p.Rate && r.Windows[p.Long.String()].BurnRate() >= p.Rate {
			return p, true
		}
	}
	return WindowPair{}, false
}

// BudgetLeft returns the share of the budget left over the longest window. It is
// negative if the budget is exceeded.
func (r Report) BudgetLeft() float64 { return 1 - r.Windows[SlowBurn.Long.String()].BurnRate() }

// WindowNames returns the keys of Report.Windows, the shortest window first.
func WindowNames() []string {
	names := make([]string, 0, len(windows))
	for _, w := range windows {
		names = append(names, w.String())
	}
	return names
}

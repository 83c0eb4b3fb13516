// Package rlbburn works out how fast service-level budgets burn. An objective
// says which share of a model's requests must be answered within its targets;
// the budget is the rest. A burn rate of 1 uses the budget up exactly in the
// objective's period. It does no I/O.
package rlbburn

import (
	"cmp"
	"slices"
	"time"
)

// Objective is the share of requests to be answered within target.
const Objective = 0.95

// Cause is what made a request miss its target.
type Cause string

// The causes.
const (
	CauseLate    Cause = "late"    // answered, but after its target
	CauseRefused Cause = "refused" // not run
	CauseFailed  Cause = "failed"  // failed, or its outcome is unknown
)

// Count is what became of a model's requests.
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

// Missed returns the number of requests that missed.
func (c Count) Missed() int { return c.Late + c.Refused + c.Failed }

// Total returns the number of requests.
func (c Count) Total() int { return c.Good + c.Missed() }

// Attainment returns the share that was answered within target; 1 without
// requests.
func (c Count) Attainment() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total())
}

// BurnRate returns how many times faster than allowed the budget is used.
func (c Count) BurnRate() float64 { return (1 - c.Attainment()) / (1 - Objective) }

// MainCause returns the cause of most misses.
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

// Sizes of the record.
const (
	bucketTime = 10 * time.Second
	buckets    = 6 * 60 * 6 // six hours
)

// Windows over which burn rates are worked out. An alert needs both the short
// and the long one of a pair to burn: the long one shows that it matters, the
// short one that it still goes on.
var (
	FastBurn = WindowPair{5 * time.Minute, time.Hour, 6}
	SlowBurn = WindowPair{30 * time.Minute, 6 * time.Hour, 2}
)

// WindowPair is a pair of windows with the burn rate that alerts.
type WindowPair struct {
	Short, Long time.Duration
	Rate        float64
}

// Recorder keeps the counts of models in buckets of time.
type Recorder struct{ models map[string]*ring }

type ring struct {
	counts [buckets]Count
	times  [buckets]int64 // number of the bucket's time since the epoch
}

// NewRecorder returns an empty record.
func NewRecorder() *Recorder { return &Recorder{models: map[string]*ring{}} }

// Add adds a count of a model's requests that ended at about now.
func (r *Recorder) Add(model string, c Count, now time.Time) {
	if c.Total() == 0 {
		return
	}
	m, known := r.models[model]
	if !known {
		m = &ring{}
		r.models[model] = m
	}
	number := now.UnixNano() / int64(bucketTime)
	at := number % buckets
	if m.times[at] != number {
		m.times[at], m.counts[at] = number, Count{}
	}
	m.counts[at] = m.counts[at].Add(c)
}

// Window returns the count of a model over the time before now.
func (r *Recorder) Window(model string, window time.Duration, now time.Time) Count {
	m, known := r.models[model]
	if !known {
		return Count{}
	}
	newest := now.UnixNano() / int64(bucketTime)
	oldest := newest - int64(window/bucketTime) + 1
	var sum Count
	for number := oldest; number <= newest; number++ {
		if at := number % buckets; m.times[at] == number {
			sum = sum.Add(m.counts[at])
		}
	}
	return sum
}

// Models returns the names of the recorded models, sorted.
func (r *Recorder) Models() []string {
	names := make([]string, 0, len(r.models))
	for name := range r.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Report is one model's burn.
type Report struct {
	Model   string           `json:"model"`
	Windows map[string]Count `json:"windows"` // by the window's length
}

// windows are those of the pairs, by length.
var windows = []time.Duration{FastBurn.Short, SlowBurn.Short, FastBurn.Long, SlowBurn.Long}

// Reports returns every model's counts over all windows.
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

// Sum adds up reports of several instances, by model.
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

// Alert returns the pair whose windows both burn too fast, if there is one.
func (r Report) Alert() (WindowPair, bool) {
	for _, p := range []WindowPair{FastBurn, SlowBurn} {
		if r.Windows[p.Short.String()].BurnRate() >= p.Rate && r.Windows[p.Long.String()].BurnRate() >= p.Rate {
			return p, true
		}
	}
	return WindowPair{}, false
}

// BudgetLeft returns the share of the budget that the longest window leaves; negative
// when it is overdrawn.
func (r Report) BudgetLeft() float64 { return 1 - r.Windows[SlowBurn.Long.String()].BurnRate() }

// WindowNames returns the names of the windows, the shortest first.
func WindowNames() []string {
	names := make([]string, 0, len(windows))
	for _, w := range windows {
		names = append(names, w.String())
	}
	return names
}

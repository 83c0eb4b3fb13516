package rlbcaller

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// demandMeter counts the requests for each model between two reports.
type demandMeter struct {
	mu     sync.Mutex
	since  time.Time
	models map[string]*modelDemand
}

type modelDemand struct {
	arrived, inFlight int
	count             rlbburn.Count
}

func newDemandMeter() *demandMeter {
	return &demandMeter{since: time.Now(), models: map[string]*modelDemand{}}
}

func (d *demandMeter) model(model string) *modelDemand {
	m, found := d.models[model]
	if !found {
		m = &modelDemand{}
		d.models[model] = m
	}
	return m
}

// beginRequest counts a new request as in flight. The returned function must be
// called when the request ends.
func (d *demandMeter) beginRequest(model string) (done func(rlbburn.Count)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	m.arrived++
	m.inFlight++
	return func(c rlbburn.Count) {
		d.mu.Lock()
		defer d.mu.Unlock()
		m.inFlight--
		m.count = m.count.Add(c)
	}
}

// collect returns the demand and the burn counts since the last call and resets
// them. Models without requests are left out.
func (d *demandMeter) collect(now time.Time) (all []rlbfleetstate.Demand, counts []rlbfleetstate.Burn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seconds := max(now.Sub(d.since).Seconds(), time.Millisecond.Seconds())
	d.since = now
	for name, m := range d.models {
		if m.arrived > 0 || m.inFlight > 0 {
			all = append(all, rlbfleetstate.Demand{Model: name, Requests: float64(m.arrived) / seconds, InFlight: m.inFlight, Refused: float64(m.count.Refused) / seconds})
		}
		if m.count.Total() > 0 {
			counts = append(counts, rlbfleetstate.Burn{Model: name, Count: m.count})
		}
		m.arrived, m.count = 0, rlbburn.Count{}
		if m.inFlight == 0 {
			delete(d.models, name)
		}
	}
	return all, counts
}

package rlbproxy

import (
	"sync"
	"time"
)

// refusedDemandTTL is how long a request that reached no endpoint counts as demand
// for its model.
const refusedDemandTTL = 2 * time.Second

// Demand counts, by model, the requests that are in flight and those that
// recently ended without reaching an endpoint. It is safe for concurrent use.
type Demand struct {
	mu      sync.Mutex
	now     func() time.Time
	running map[string]int
	refused map[string][]time.Time // time at which each stops counting
}

func newDemand(now func() time.Time) *Demand {
	return &Demand{now: now, running: map[string]int{}, refused: map[string][]time.Time{}}
}

func (d *Demand) begin(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[model]++
}

func (d *Demand) end(model string, refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[model]--; d.running[model] <= 0 {
		delete(d.running, model)
	}
	if refused {
		d.refused[model] = append(d.refused[model], d.now().Add(refusedDemandTTL))
	}
}

// Read returns the current demand for each model.
func (d *Demand) Read() map[string]float32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, all := d.now(), map[string]float32{}
	for model, n := range d.running {
		all[model] = float32(n)
	}
	for model, until := range d.refused {
		kept := until[:0]
		for _, t := range until {
			if now.Before(t) {
				kept = append(kept, t)
			}
		}
		if d.refused[model] = kept; len(kept) == 0 {
			delete(d.refused, model)
			continue
		}
		all[model] += float32(len(kept))
	}
	return all
}

// Package rlbfault chooses the faults that a stand-in's answers meet, by seeded
// rates or in a given order.
package rlbfault

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Fault is what goes wrong with one request.
type Fault string

// The faults of engines and plain services.
const (
	None            Fault = ""
	Refuse          Fault = "refuse"      // refused, did not run
	Fail            Fault = "fail"        // ran and failed
	Late            Fault = "late"        // the answer starts late
	Silent          Fault = "silent"      // the connection stays open and says nothing
	SilentMid       Fault = "silent-mid"  // the stream stops, the connection stays open
	CutBefore       Fault = "cut-before"  // ran, the connection ends before the answer
	CutMid          Fault = "cut-mid"     // the connection ends within the answer
	Misdelivered    Fault = "crossed"     // the answer to another request
	MisdeliveredMid Fault = "crossed-mid" // chunks of another request within the stream
	Duplicated      Fault = "doubled"     // a chunk comes twice
	Gap             Fault = "gap"         // a chunk is missing
	NoEnd           Fault = "no-end"      // the end marker is missing
	WrongSize       Fault = "wrong-size"  // the content length is wrong
)

// All lists the faults.
var All = []Fault{Refuse, Fail, Late, Silent, SilentMid, CutBefore, CutMid, Misdelivered, MisdeliveredMid, Duplicated, Gap, NoEnd, WrongSize}

// Plan says which faults to meet.
type Plan struct {
	Seed  uint64            `json:"seed"`
	Rates map[Fault]float64 `json:"rates,omitempty"` // share of requests
	Next  []Fault           `json:"next,omitempty"`  // the next requests', in order
	Delay time.Duration     `json:"delay,omitempty"` // of Late, in nanoseconds
}

// Injector chooses faults. The zero value injects none.
type Injector struct {
	mu       sync.Mutex
	plan     Plan
	rng      *rand.Rand
	injected map[Fault]int
}

// Set replaces the plan.
func (i *Injector) Set(plan Plan) error {
	for fault := range plan.Rates {
		if !slices.Contains(All, fault) {
			return fmt.Errorf("unknown fault %q", fault)
		}
	}
	for _, fault := range plan.Next {
		if !slices.Contains(All, fault) && fault != None {
			return fmt.Errorf("unknown fault %q", fault)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.plan = plan
	i.rng = rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	i.injected = map[Fault]int{}
	return nil
}

// Next returns the next request's fault.
func (i *Injector) Next() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.plan.Next) > 0 {
		fault := i.plan.Next[0]
		i.plan.Next = i.plan.Next[1:]
		i.injected[fault]++
		return fault
	}
	if len(i.plan.Rates) == 0 {
		return None
	}
	draw := i.rng.Float64()
	for _, fault := range All {
		if draw -= i.plan.Rates[fault]; draw < 0 {
			i.injected[fault]++
			return fault
		}
	}
	return None
}

// Delay returns how late a late answer starts.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plan.Delay
}

// Injected returns how often each fault was met since the plan was set.
func (i *Injector) Injected() map[Fault]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	met := map[Fault]int{}
	for fault, n := range i.injected {
		met[fault] = n
	}
	return met
}

// ServeHTTP shows the met faults (GET) or sets the plan (PUT).
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var plan Plan
		if err := json.NewDecoder(r.Body).Decode(&plan); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := i.Set(plan); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Injected())
}

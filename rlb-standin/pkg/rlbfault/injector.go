// Package rlbfault chooses the faults to inject into the answers of a stand-in, by
// seeded rates or in a given order.
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

// Fault is a fault injected into one request.
type Fault string

// The faults of engines and plain services.
const (
	None            Fault = ""
	Refuse          Fault = "refuse"      // the request is refused and does not run
	Fail            Fault = "fail"        // the request runs and fails
	Late            Fault = "late"        // the answer starts late
	Silent          Fault = "silent"      // the connection stays open without an answer
	SilentMid       Fault = "silent-mid"  // the stream stops, the connection stays open
	CutBefore       Fault = "cut-before"  // the request runs, the connection closes before the answer
	CutMid          Fault = "cut-mid"     // the connection closes in the middle of the answer
	Misdelivered    Fault = "crossed"     // the answer belongs to another request
	MisdeliveredMid Fault = "crossed-mid" // the stream contains a chunk of another request
	Duplicated      Fault = "doubled"     // a chunk is sent twice
	Gap             Fault = "gap"         // a chunk is missing
	NoEnd           Fault = "no-end"      // the end marker is missing
	WrongSize       Fault = "wrong-size"  // the content length is wrong
)

// All lists the faults other than None.
var All = []Fault{Refuse, Fail, Late, Silent, SilentMid, CutBefore, CutMid, Misdelivered, MisdeliveredMid, Duplicated, Gap, NoEnd, WrongSize}

// Plan defines the faults to inject.
type Plan struct {
	Seed  uint64            `json:"seed"`
	Rates map[Fault]float64 `json:"rates,omitempty"` // share of requests by fault
	Next  []Fault           `json:"next,omitempty"`  // faults of the next requests, in order; used before Rates
	Delay time.Duration     `json:"delay,omitempty"` // delay of answers with the fault Late, in nanoseconds
}

// Injector chooses the fault of each request. The zero value injects none.
type Injector struct {
	mu       sync.Mutex
	plan     Plan
	rng      *rand.Rand
	injected map[Fault]int
}

// Set replaces the plan and resets the counts of injected faults.
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

// Next returns the fault of the next request.
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

// Delay returns the delay of answers with the fault Late.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plan.Delay
}

// Injected returns the number of times each fault was injected since the plan was
// set.
func (i *Injector) Injected() map[Fault]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	injected := map[Fault]int{}
	for fault, n := range i.injected {
		injected[fault] = n
	}
	return injected
}

// ServeHTTP returns the counts of injected faults; PUT sets the plan first.
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

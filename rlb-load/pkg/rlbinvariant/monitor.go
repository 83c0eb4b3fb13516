// Package rlbinvariant looks at engines and gateways all the time and counts broken
// promises of control by the stand-ins' own record.
package rlbinvariant

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
)

// Opts name what is watched.
type Opts struct {
	Engines  []string // addresses
	Gateways []string // addresses
	Period   time.Duration
	// InForce is the time within which every gateway must have a note.
	InForce time.Duration
}

// Verdict counts broken promises.
type Verdict struct {
	Overcommitted int // loads beyond an engine's memory
	Unreachable   int // times that a model in force lost its last ready replica
	Reverted      int // times that a gateway served an older note than before
	StaleOrders   int // orders with an old fencing number that took effect
	Polls         int
}

// String is the run's last line.
func (v Verdict) String() string {
	return fmt.Sprintf("overcommitted=%d unreachable=%d reverted=%d stale_orders=%d", v.Overcommitted, v.Unreachable, v.Reverted, v.StaleOrders)
}

// Violated reports whether a promise was broken.
func (v Verdict) Violated() bool { return v.Overcommitted+v.Unreachable+v.Reverted+v.StaleOrders > 0 }

const callTimeout = 500 * time.Millisecond

// modelList is the part of GET /v1/models that is looked at.
type modelList struct {
	NoteVersion uint64 `json:"note_version"`
	Data        []struct {
		ID     string `json:"id"`
		Parent string `json:"parent"`
	} `json:"data"`
}

// monitor is one watch.
type monitor struct {
	opts         Opts
	client       *http.Client
	verdict      Verdict
	records      map[string]rlbfakeengine.Record // the latest of each engine's life
	ended        Verdict                         // counts of ended lives
	ready        map[string]bool                 // models that have been ready
	served       map[string]uint64               // highest note version by gateway
	highest      uint64                          // of all gateways
	highestSince time.Time                       // when highest was first seen
}

// Monitor looks until ctx ends.
func Monitor(ctx context.Context, opts Opts) Verdict {
	client, closeIdle := rlbhttp.NewClient(callTimeout, time.Minute, 1)
	client.Timeout = callTimeout
	defer closeIdle()
	w := &monitor{opts: opts, client: client, records: map[string]rlbfakeengine.Record{}, ready: map[string]bool{}, served: map[string]uint64{}}
	ticker := time.NewTicker(opts.Period)
	defer ticker.Stop()
	for {
		w.poll()
		select {
		case <-ctx.Done():
			return w.verdict
		case <-ticker.C:
		}
	}
}

func (w *monitor) poll() {
	w.verdict.Polls++
	ready := map[string]bool{}
	for _, address := range w.opts.Engines {
		w.pollEngine(address, ready)
	}
	w.verdict.Overcommitted, w.verdict.StaleOrders = w.ended.Overcommitted, w.ended.StaleOrders
	for _, record := range w.records {
		w.verdict.Overcommitted += record.Overcommitted
		w.verdict.StaleOrders += record.StaleOrders
	}
	var inForce *modelList
	for _, address := range w.opts.Gateways {
		if list := w.pollGateway(address); list != nil && (inForce == nil || list.NoteVersion > inForce.NoteVersion) {
			inForce = list
		}
	}
	if inForce != nil {
		w.checkReachable(inForce, ready)
	}
}

func (w *monitor) get(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := rlbhttp.Call(ctx, w.client, http.MethodGet, "http://"+address+path, nil, out)
	return err == nil
}

func (w *monitor) pollEngine(address string, ready map[string]bool) {
	var state rlbengine.State
	var record rlbfakeengine.Record
	if !w.get(address, "/control/state", &state) || !w.get(address, "/record", &record) {
		return
	}
	before := w.records[address]
	if len(record.Orders) < len(before.Orders) { // a new life
		w.ended.Overcommitted += before.Overcommitted
		w.ended.StaleOrders += before.StaleOrders
	}
	w.records[address] = record
	for _, r := range state.Residents {
		if r.Phase == rlbengine.PhaseReady {
			ready[r.Name] = true
		}
	}
}

func (w *monitor) pollGateway(address string) *modelList {
	var list modelList
	if !w.get(address, "/v1/models", &list) || list.NoteVersion == 0 {
		return nil
	}
	now := time.Now()
	late := list.NoteVersion < w.highest && now.After(w.highestSince.Add(w.opts.InForce))
	if list.NoteVersion < w.served[address] || late {
		w.verdict.Reverted++
	}
	w.served[address] = max(w.served[address], list.NoteVersion)
	if list.NoteVersion > w.highest {
		w.highest, w.highestSince = list.NoteVersion, now
	}
	return &list
}

// checkReachable counts a model that had a ready replica and has none now.
func (w *monitor) checkReachable(list *modelList, ready map[string]bool) {
	for _, m := range list.Data {
		if m.Parent != "" {
			continue // an adapter is as reachable as its model
		}
		if w.ready[m.ID] && !ready[m.ID] {
			w.verdict.Unreachable++
		}
		w.ready[m.ID] = ready[m.ID]
	}
}

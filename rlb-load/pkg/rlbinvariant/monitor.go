// Package rlbinvariant polls engines and gateways and counts violated invariants of
// the control plane, partly from the records of the stand-ins.
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

// Opts are the options of Monitor.
type Opts struct {
	Engines  []string // addresses
	Gateways []string // addresses
	Period   time.Duration
	// InForce is the time within which a note must be in force at every gateway.
	InForce time.Duration
}

// Verdict counts violated invariants.
type Verdict struct {
	Overcommitted int // loads that exceeded the memory of an engine
	Unreachable   int // times a model of the note in force lost its last ready replica
	Reverted      int // polls in which a gateway served an older note than before, or an outdated one after InForce
	StaleOrders   int // orders with an outdated fencing number that took effect
	Polls         int
}

// String returns the last line of the run's output.
func (v Verdict) String() string {
	return fmt.Sprintf("overcommitted=%d unreachable=%d reverted=%d stale_orders=%d", v.Overcommitted, v.Unreachable, v.Reverted, v.StaleOrders)
}

// Violated reports whether an invariant was violated.
func (v Verdict) Violated() bool { return v.Overcommitted+v.Unreachable+v.Reverted+v.StaleOrders > 0 }

const callTimeout = 500 * time.Millisecond

// modelList is the part of the answer to GET /v1/models that the monitor reads.
type modelList struct {
	NoteVersion uint64 `json:"note_version"`
	Data        []struct {
		ID     string `json:"id"`
		Parent string `json:"parent"`
	} `json:"data"`
}

// monitor is the state of a Monitor call.
type monitor struct {
	opts         Opts
	client       *http.Client
	verdict      Verdict
	records      map[string]rlbfakeengine.Record // latest record of each engine's current incarnation
	ended        Verdict                         // counts of earlier incarnations
	ready        map[string]bool                 // models with a ready replica at the last poll
	served       map[string]uint64               // highest note version, by gateway
	highest      uint64                          // highest note version of all gateways
	highestSince time.Time                       // when highest was first observed
}

// Monitor polls until ctx ends.
func Monitor(ctx context.Context, opts Opts) Verdict {
	client, closeIdle := rlbhttp.NewClient(callTimeout, time.Minute, 1)
	client.Timeout = callTimeout
	defer closeIdle()
	m := &monitor{opts: opts, client: client, records: map[string]rlbfakeengine.Record{}, ready: map[string]bool{}, served: map[string]uint64{}}
	ticker := time.NewTicker(opts.Period)
	defer ticker.Stop()
	for {
		m.poll()
		select {
		case <-ctx.Done():
			return m.verdict
		case <-ticker.C:
		}
	}
}

func (m *monitor) poll() {
	m.verdict.Polls++
	ready := map[string]bool{}
	for _, address := range m.opts.Engines {
		m.pollEngine(address, ready)
	}
	m.verdict.Overcommitted, m.verdict.StaleOrders = m.ended.Overcommitted, m.ended.StaleOrders
	for _, record := range m.records {
		m.verdict.Overcommitted += record.Overcommitted
		m.verdict.StaleOrders += record.StaleOrders
	}
	var inForce *modelList
	for _, address := range m.opts.Gateways {
		if list := m.pollGateway(address); list != nil && (inForce == nil || list.NoteVersion > inForce.NoteVersion) {
			inForce = list
		}
	}
	if inForce != nil {
		m.checkReachable(inForce, ready)
	}
}

func (m *monitor) get(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := rlbhttp.Call(ctx, m.client, http.MethodGet, "http://"+address+path, nil, out)
	return err == nil
}

func (m *monitor) pollEngine(address string, ready map[string]bool) {
	var state rlbengine.State
	var record rlbfakeengine.Record
	if !m.get(address, "/control/state", &state) || !m.get(address, "/record", &record) {
		return
	}
	before := m.records[address]
	if len(record.Orders) < len(before.Orders) { // a new incarnation
		m.ended.Overcommitted += before.Overcommitted
		m.ended.StaleOrders += before.StaleOrders
	}
	m.records[address] = record
	for _, r := range state.Residents {
		if r.Phase == rlbengine.PhaseReady {
			ready[r.Name] = true
		}
	}
}

func (m *monitor) pollGateway(address string) *modelList {
	var list modelList
	if !m.get(address, "/v1/models", &list) || list.NoteVersion == 0 {
		return nil
	}
	now := time.Now()
	late := list.NoteVersion < m.highest && now.After(m.highestSince.Add(m.opts.InForce))
	if list.NoteVersion < m.served[address] || late {
		m.verdict.Reverted++
	}
	m.served[address] = max(m.served[address], list.NoteVersion)
	if list.NoteVersion > m.highest {
		m.highest, m.highestSince = list.NoteVersion, now
	}
	return &list
}

// checkReachable counts the models that had a ready replica and have none now.
func (m *monitor) checkReachable(list *modelList, ready map[string]bool) {
	for _, model := range list.Data {
		if model.Parent != "" {
			continue // an adapter is reachable through its model
		}
		if m.ready[model.ID] && !ready[model.ID] {
			m.verdict.Unreachable++
		}
		m.ready[model.ID] = ready[model.ID]
	}
}

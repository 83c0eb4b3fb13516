// Package rlbfakeengine is a stand-in for a model engine: it batches requests
// continuously, streams tokens that depend only on the request, applies orders
// to load and unload models, and injects faults. It keeps its own record of the
// requests that ran, so that tests do not rely on the records of the system
// under test.
package rlbfakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbrecord"
)

// Opts configure an engine: its capacity, speed and dependencies.
type Opts struct {
	ID             string
	Incarnation    uint64
	Memory         rlbunit.Bytes
	Fencing        bool          // refuse orders with an outdated fencing number
	Slots          int           // requests batched at once
	PrefillRate    int           // prompt tokens per second
	Step           time.Duration // duration of a decoding step with an empty batch
	StepPerRequest time.Duration // added to a step by each request in the batch
	MaxAdapters    int           // resident at the same time
	Prefixes       int           // capacity of the prompt prefix cache; 0 disables it
	Sampling       bool          // answers are not marked as deterministic across engines
	Fetch          func(ctx context.Context, name, version string) error
	FetchAdapter   func(ctx context.Context, name, version string) error
	Crash          func() // ends the process
	Record         *rlbrecord.Writer
}

// Engine is a stand-in for a model engine.
type Engine struct {
	opts      Opts
	faults    *rlbfault.Injector
	slots     *slotPool
	prefixes  *prefixCache
	mu        sync.Mutex
	sequence  uint64
	report    uint64
	fence     uint64
	residents map[modelKey]*resident
	adapters  []string // least recently used first
	runs      map[string]*completion
	record    Record
	draining  bool
	extraLoad atomic.Int64 // requests reported in addition to the running ones
}

type modelKey struct{ name, version string }

type resident struct {
	rlbengine.Resident
	running int
	cancel  context.CancelFunc // cancels the load
}

// Record holds the orders of an engine and counts its runs, for tests.
type Record struct {
	Overcommitted int                 `json:"overcommitted"` // loads that exceeded the memory
	StaleOrders   int                 `json:"stale_orders"`  // orders with an outdated fencing number that were applied
	Orders        []rlbengine.Order   `json:"orders"`
	Runs          map[string]RunCount `json:"runs"` // by request ID
}

// RunCount counts the runs of one request.
type RunCount struct {
	Started int    `json:"started"`
	Ended   int    `json:"ended"` // runs that wrote the complete answer
	Key     string `json:"key,omitempty"`
}

// New returns an engine without resident models.
func New(opts Opts) *Engine {
	return &Engine{
		opts:      opts,
		faults:    &rlbfault.Injector{},
		slots:     newSlotPool(opts.Slots),
		prefixes:  newPrefixCache(opts.Prefixes),
		residents: map[modelKey]*resident{},
		runs:      map[string]*completion{},
		record:    Record{Runs: map[string]RunCount{}},
	}
}

// Handler returns the HTTP handler: the model interface, /control, and /fault
// and /record for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /control/state", e.state)
	mux.HandleFunc("POST /control/orders", e.order)
	mux.HandleFunc("GET /record", e.showRecord)
	mux.Handle("/fault", e.faults)
	return mux
}

// Faults returns the fault injector.
func (e *Engine) Faults() *rlbfault.Injector { return e.faults }

// ShareFaults replaces the fault injector by one that other stand-ins share.
// Call it before the engine serves requests.
func (e *Engine) ShareFaults(faults *rlbfault.Injector) { e.faults = faults }

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Orders = slices.Clone(e.record.Orders)
	record.Runs = make(map[string]RunCount, len(e.record.Runs))
	for id, count := range e.record.Runs {
		record.Runs[id] = count
	}
	return record
}

func (e *Engine) showRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) }

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }

// EnableSampling makes the engine no longer mark its answers as deterministic,
// that is, the same on all engines.
func (e *Engine) EnableSampling() { e.opts.Sampling = true }

// Counts returns the numbers of running and waiting requests.
func (e *Engine) Counts() (running, waiting int) { return e.slots.counts() }

// Drain makes the engine report that it is draining, and refuse new requests.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.sequence++
}

// SetExtraLoad sets the number of requests that the engine reports in addition
// to the running ones.
func (e *Engine) SetExtraLoad(requests int) { e.extraLoad.Store(int64(requests)) }

// State returns the state that the engine reports.
func (e *Engine) State() rlbengine.State {
	running, waiting := e.slots.counts()
	running += int(e.extraLoad.Load())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report++
	state := rlbengine.State{
		ID: e.opts.ID, Incarnation: e.opts.Incarnation, Sequence: e.sequence, Report: e.report, Fence: e.fence,
		Memory: e.opts.Memory, Draining: e.draining,
		Load: rlbengine.Load{Running: running, Waiting: waiting, Slots: e.opts.Slots, Adapters: slices.Clone(e.adapters)},
	}
	for _, r := range e.residents {
		state.Residents = append(state.Residents, r.Resident)
	}
	slices.SortFunc(state.Residents, func(a, b rlbengine.Resident) int {
		return compare(a.Name+"@"+a.Version, b.Name+"@"+b.Version)
	})
	return state
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order rlbengine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, err := e.Apply(order); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	writeJSON(w, e.State())
}

// Apply executes an order, or returns the HTTP status of its refusal and an error.
func (e *Engine) Apply(order rlbengine.Order) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.fence
	if stale && e.opts.Fencing {
		return http.StatusConflict, fmt.Errorf("fencing number %d is below %d", order.Fence, e.fence)
	}
	if stale {
		e.record.StaleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	e.record.Orders = append(e.record.Orders, order)
	switch order.Action {
	case rlbengine.ActionLoad:
		e.load(order)
	case rlbengine.ActionUnload:
		e.unload(modelKey{order.Name, order.Version})
	case rlbengine.ActionFence:
	default:
		return http.StatusBadRequest, fmt.Errorf("unknown action %q", order.Action)
	}
	return http.StatusOK, nil
}

// load starts a load; e.mu is held. A load that exceeds the memory is recorded,
// not refused: the system must not depend on a check by the engine.
func (e *Engine) load(order rlbengine.Order) {
	key := modelKey{order.Name, order.Version}
	if r, found := e.residents[key]; found && r.Phase != rlbengine.PhaseUnloading {
		return
	}
	if e.used()+order.Memory > e.opts.Memory {
		e.record.Overcommitted++
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &resident{Resident: rlbengine.Resident{Name: order.Name, Version: order.Version, Phase: rlbengine.PhaseLoading, Memory: order.Memory}, cancel: cancel}
	e.residents[key] = r
	e.sequence++
	go func() {
		defer cancel()
		err := e.opts.Fetch(ctx, order.Name, order.Version)
		e.finishLoad(key, r, err)
	}()
}

func (e *Engine) used() rlbunit.Bytes {
	var used rlbunit.Bytes
	for _, r := range e.residents {
		used += r.Memory
	}
	return used
}

func (e *Engine) finishLoad(key modelKey, r *resident, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.residents[key] != r || r.Phase != rlbengine.PhaseLoading {
		return
	}
	e.sequence++
	if err != nil {
		delete(e.residents, key)
		return
	}
	r.Phase = rlbengine.PhaseReady
}

// unload frees the memory of a model once its running requests have ended; e.mu
// is held.
func (e *Engine) unload(key modelKey) {
	r, found := e.residents[key]
	if !found {
		return
	}
	r.cancel()
	e.sequence++
	r.Phase = rlbengine.PhaseUnloading
	if r.running == 0 {
		delete(e.residents, key)
	}
}

// beginRequest counts a request on a model and reports whether the model can serve
// it.
func (e *Engine) beginRequest(key modelKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, found := e.residents[key]
	if !found || r.Phase != rlbengine.PhaseReady || e.draining {
		return false
	}
	r.running++
	return true
}

func (e *Engine) endRequest(key modelKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, found := e.residents[key]
	if !found {
		return
	}
	r.running--
	if r.running == 0 && r.Phase == rlbengine.PhaseUnloading {
		delete(e.residents, key)
		e.sequence++
	}
}

// loadAdapter makes an adapter resident and evicts the least recently used one if
// there are too many.
func (e *Engine) loadAdapter(ctx context.Context, name, version string) error {
	label := name + "@" + version
	e.mu.Lock()
	position := slices.Index(e.adapters, label)
	if position >= 0 {
		e.adapters = append(slices.Delete(e.adapters, position, position+1), label)
	}
	e.mu.Unlock()
	if position >= 0 {
		return nil
	}
	if err := e.opts.FetchAdapter(ctx, name, version); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.adapters, label) {
		return nil
	}
	e.adapters = append(e.adapters, label)
	if excess := len(e.adapters) - e.opts.MaxAdapters; excess > 0 {
		e.adapters = slices.Delete(e.adapters, 0, excess)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller disconnected
}

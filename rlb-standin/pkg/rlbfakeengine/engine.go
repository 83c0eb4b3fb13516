// Package rlbfakeengine is a stand-in for a model engine: it batches requests
// continuously, streams tokens that follow from the request alone, takes orders
// to load and unload, and meets switchable faults. It keeps its own record of
// what ran, so that tests need not trust the system's.
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

// Opts are the parts and the speed of an engine.
type Opts struct {
	ID             string
	Incarnation    uint64
	Memory         rlbunit.Bytes
	Fencing        bool          // refuse orders with an old fencing number
	Slots          int           // requests batched at once
	PrefillRate    int           // prompt tokens a second
	Step           time.Duration // of one decoding step with an empty batch
	StepPerRequest time.Duration // that each request in the batch adds
	MaxAdapters    int           // resident at once
	Prefixes       int           // prompt prefixes that the cache holds
	Sampling       bool          // do not promise the same tokens as other engines
	Fetch          func(ctx context.Context, name, version string) error
	FetchAdapter   func(ctx context.Context, name, version string) error
	Crash          func() // ends the process
	Record         *rlbrecord.Writer
}

// Engine is the stand-in.
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
	extraLoad atomic.Int64 // reported beyond what runs
}

type modelKey struct{ name, version string }

type resident struct {
	rlbengine.Resident
	running int
	cancel  context.CancelFunc // of the load
}

// Record counts what happened, for tests.
type Record struct {
	Overcommitted int                 `json:"overcommitted"` // loads beyond the memory
	StaleOrders   int                 `json:"stale_orders"`  // orders with an old fencing number that took effect
	Orders        []rlbengine.Order   `json:"orders"`
	Runs          map[string]RunCount `json:"runs"` // by request id
}

// RunCount counts the runs of one request.
type RunCount struct {
	Started int    `json:"started"`
	Ended   int    `json:"ended"` // with the whole answer written
	Key     string `json:"key,omitempty"`
}

// New returns an engine that holds nothing.
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

// Faults returns the injector of faults.
func (e *Engine) Faults() *rlbfault.Injector { return e.faults }

// ShareFaults makes the engine take its faults from an injector that other
// stand-ins share, before it serves.
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

// EnableSampling makes the engine no longer promise the same tokens as others.
func (e *Engine) EnableSampling() { e.opts.Sampling = true }

// Counts returns how many requests run and wait.
func (e *Engine) Counts() (running, waiting int) { return e.slots.counts() }

// Drain makes the engine report that it leaves, and refuse new requests.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.sequence++
}

// SetExtraLoad makes the engine report that many requests more than it runs.
func (e *Engine) SetExtraLoad(requests int) { e.extraLoad.Store(int64(requests)) }

// State returns the engine's report.
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

// Apply carries out an order, or returns the status that refuses it.
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

// load starts a load; e.mu is held. It never refuses for lack of memory but
// records it: the system must not depend on the engine's own check.
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

// unload lets running requests end, then frees the memory; e.mu is held.
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

// beginRequest counts a request on a resident model.
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

// loadAdapter makes an adapter resident, dropping the least recently used.
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
	_ = json.NewEncoder(w).Encode(v) // a caller that left is no fault of ours
}

package rlbfakedeployment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Spec describes a model in the config.
type Spec struct {
	Name      string
	WeightsMb float64
	LoadS     float64
	Adapters  int
	AdapterMb float64
	WarmS     float64
	DiskS     float64
}

// ReplicaOpts configure a replica.
type ReplicaOpts struct {
	ID            string
	Service       string
	Address       string
	Domain        string
	Slots         int
	MemoryMb      float64
	Adapters      int // adapter slots
	Models        map[string]Spec
	Fencing       bool
	Step          time.Duration // between two events of a stream
	Loaded        []string      // models resident at the start
	Version       string        // of its software; empty: v1
	PlainDuration time.Duration // duration of a request without a model
}

// Run is one run of a request.
type Run struct {
	ID          string
	Began       time.Time
	Ended       time.Time // zero: still running
	Incarnation int       // incarnation of the replica
	Aborted     bool      // the replica restarted or the sender disconnected before the end
	Workspace   string    // that the sender names
	WithKey     bool      // the request still has a caller's key
}

// Refusal is a request that the replica refused with a Retry-After.
type Refusal struct {
	ID string
	At time.Time
}

// AcceptedOrder is an order that the replica accepted.
type AcceptedOrder struct {
	Holder      string
	Fence       uint64
	Incarnation int // incarnation of the replica
}

// Replica is a replica of a service. Set Intercept before it serves requests.
type Replica struct {
	opts      ReplicaOpts
	startedMs int64

	// Intercept, if set, may answer a request in place of the replica; it reports
	// whether it did. run is the number of the run, from 1.
	Intercept func(w http.ResponseWriter, r *http.Request, run int) bool

	mu             sync.Mutex
	sequence       uint64
	fence          uint64
	orderDone      time.Time           // when the order in progress completes
	resident       map[string][]string // adapters by model
	pendingEffect  func()              // effect of the order in progress; nil: none
	runs           []Run               // in the order of their start
	acceptedOrders []AcceptedOrder     // in the order of their acceptance
	overcommitted  bool                // accepted an order beyond its memory or adapter slots
	incarnation    int
	restarted      chan struct{} // closed when the incarnation ends
	leaving        bool          // its answers state that it leaves
	retryAfter     string        // in the refusals of all requests; empty: they are not refused
	refusals       []Refusal     // of requests that were refused with retryAfter
}

// NewReplica returns a replica in its first incarnation.
func NewReplica(opts ReplicaOpts) *Replica {
	r := &Replica{opts: opts, startedMs: time.Now().UnixMilli(), resident: map[string][]string{}, restarted: make(chan struct{})}
	for _, name := range opts.Loaded {
		r.resident[name] = []string{}
	}
	return r
}

// Entry returns the entry of the replica in the object store.
func (r *Replica) Entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"Service": r.opts.Service, "Address": r.opts.Address, "Zone": r.opts.Domain, "Version": cmp.Or(r.opts.Version, "v1"), "Slots": r.opts.Slots,
		"State": state, "ColdLeftMs": 0, "Seq": 1, "born": r.startedMs, "Stage": "both", "Models": r.modelList(),
	}
}

// Restart starts a new incarnation: no models are resident, and the connections of
// running requests are closed.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.restarted)
	r.restarted = make(chan struct{})
	r.incarnation++
	r.startedMs = max(time.Now().UnixMilli(), r.startedMs+1)
	r.sequence, r.fence, r.pendingEffect, r.resident = 0, 0, nil, map[string][]string{}
	r.leaving, r.retryAfter = false, ""
}

// Load makes an adapter of a model resident at once, without an order.
func (r *Replica) Load(model, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident[model] = append(r.resident[model], adapter)
}

// SetLeaving makes all answers of the replica state that it leaves.
func (r *Replica) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Refuse makes the replica refuse all requests as not run, with this Retry-After, until
// it is called with an empty one.
func (r *Replica) Refuse(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter = retryAfter
}

// Refusals returns the refusals with a Retry-After so far.
func (r *Replica) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.refusals)
}

// statesLeaving reports whether the answers state that the replica leaves.
func (r *Replica) statesLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// refuse refuses a request if Refuse asks for it, and reports whether it did.
func (r *Replica) refuse(w http.ResponseWriter, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryAfter == "" {
		return false
	}
	r.refusals = append(r.refusals, Refusal{id, time.Now()})
	w.Header().Set("Retry-After", r.retryAfter)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Runs returns the request IDs of the runs so far.
func (r *Replica) Runs() []string {
	var ids []string
	for _, run := range r.History() {
		ids = append(ids, run.ID)
	}
	return ids
}

// History returns the runs so far.
func (r *Replica) History() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// AcceptedOrders returns the orders accepted so far.
func (r *Replica) AcceptedOrders() []AcceptedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.acceptedOrders)
}

// Overcommitted reports whether the replica accepted an order beyond its memory or
// adapter slots.
func (r *Replica) Overcommitted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overcommitted
}

func (r *Replica) modelList() []map[string]any {
	all := []map[string]any{}
	for name, adapters := range r.resident {
		all = append(all, map[string]any{"Name": name, "Version": 1, "Adapters": adapters})
	}
	return all
}

// completeOrder applies the effect of the order in progress if it is due; r.mu is
// held.
func (r *Replica) completeOrder() {
	if r.pendingEffect != nil && !time.Now().Before(r.orderDone) {
		r.pendingEffect()
		r.pendingEffect = nil
	}
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Instance-Id", r.opts.ID)
	if id := req.Header.Get("X-Expect-Instance"); id != "" && id != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.statesLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch req.URL.Path {
	case "/-/order":
		r.order(w, req)
	case "/-/report":
		r.report(w)
	case "/health":
		w.WriteHeader(http.StatusOK)
	default:
		r.serveRequest(w, req)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeOrder()
	writeJSON(w, http.StatusOK, map[string]any{
		"Stage": "both", "Models": r.modelList(), "Busy": r.pendingEffect != nil, "Seq": r.sequence, "Waiting": 0, "Running": 0,
		"KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": r.startedMs, "AtHand": map[string]any{"InMemory": []string{}, "OnDisk": []string{}},
	})
}

// orderBody is the wire format of an order.
type orderBody struct {
	Op, Model, Adapter, Holder string
	Precondition               *uint64
	Fence                      uint64
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeOrder()
	if r.opts.Fencing && o.Fence < r.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if r.pendingEffect != nil || o.Precondition != nil && *o.Precondition != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.fence = max(r.fence, o.Fence)
	r.acceptedOrders = append(r.acceptedOrders, AcceptedOrder{o.Holder, o.Fence, r.incarnation})
	w.WriteHeader(r.applyOrder(o))
}

// applyOrder starts or executes an accepted order and returns the HTTP status; r.mu
// is held.
func (r *Replica) applyOrder(o orderBody) int {
	adapters, isResident := r.resident[o.Model]
	switch {
	case o.Adapter != "" && !isResident:
		return http.StatusMisdirectedRequest
	case o.Adapter != "" && o.Op == "unload":
		r.resident[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
		r.sequence++
		return http.StatusOK
	case o.Adapter != "" && slices.Contains(adapters, o.Adapter), o.Adapter == "" && o.Op == "load" && isResident, o.Op == "unload" && !isResident:
		return http.StatusOK
	case o.Adapter != "":
		r.resident[o.Model] = append(adapters, o.Adapter)
	case o.Op == "unload":
		r.startOrder(0, func() { delete(r.resident, o.Model) })
	default:
		r.startOrder(time.Duration(r.opts.Models[o.Model].LoadS*float64(time.Second)), func() { r.resident[o.Model] = []string{} })
		r.resident[o.Model] = nil
		r.overcommitted = r.overcommitted || r.usedMb() > r.opts.MemoryMb
		delete(r.resident, o.Model)
	}
	r.sequence++
	r.overcommitted = r.overcommitted || r.adapterCount() > r.opts.Adapters
	return http.StatusAccepted
}

func (r *Replica) startOrder(duration time.Duration, effect func()) {
	r.orderDone, r.pendingEffect = time.Now().Add(duration), effect
}

func (r *Replica) usedMb() (mb float64) {
	for name := range r.resident {
		mb += r.opts.Models[name].WeightsMb
	}
	return mb
}

func (r *Replica) adapterCount() (n int) {
	for _, adapters := range r.resident {
		n += len(adapters)
	}
	return n
}

// serveRequest runs the request of a caller.
func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the sender disconnected
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.refuse(w, id) {
		return
	}
	if status := r.admit(req); status != http.StatusOK {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	run, restarted := r.beginRun(id, req.Header)
	complete := false
	defer func() { r.endRun(run, complete) }()
	if r.Intercept != nil && r.Intercept(w, req, run) {
		return
	}
	if req.Header.Get("X-Model") != "" {
		complete = r.writeEvents(w, req, 0, restarted)
		return
	}
	select {
	case <-time.After(r.opts.PlainDuration):
	case <-restarted:
		panic(http.ErrAbortHandler)
	case <-req.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", r.opts.ID+".1")
	_, err = fmt.Fprintf(w, "%s %s %d", req.Method, req.URL.RequestURI(), len(body))
	complete = err == nil
}

// beginRun records the start of a run. It returns the number of the run, from 1,
// and a channel that is closed when the replica restarts.
func (r *Replica) beginRun(id string, header http.Header) (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, Run{
		ID: id, Began: time.Now(), Incarnation: r.incarnation,
		Workspace: header.Get("X-Tenant"), WithKey: header.Get("Authorization") != "",
	})
	return len(r.runs), r.restarted
}

func (r *Replica) endRun(run int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run-1].Ended, r.runs[run-1].Aborted = time.Now(), !complete
}

func (r *Replica) admit(req *http.Request) int {
	model, adapter, _ := strings.Cut(req.Header.Get("X-Model"), "/")
	if model == "" {
		return http.StatusOK
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeOrder()
	adapters, isResident := r.resident[model]
	if !isResident || adapter != "" && !slices.Contains(adapters, adapter) {
		return http.StatusMisdirectedRequest
	}
	return http.StatusOK
}

// Stream sends the events of a request, from the one after Last-Event-Id. It closes
// the connection before event stopBefore (0: sends all events).
func (r *Replica) Stream(w http.ResponseWriter, req *http.Request, stopBefore int) {
	r.writeEvents(w, req, stopBefore, nil)
}

// writeEvents sends the events as Stream does and closes the connection when the
// replica restarts. It reports whether all events were sent.
func (r *Replica) writeEvents(w http.ResponseWriter, req *http.Request, stopBefore int, restarted <-chan struct{}) bool {
	_, tokenCount, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(tokenCount)
	last := 0
	if lastEventID := req.Header.Get("Last-Event-Id"); lastEventID != "" {
		last, _ = strconv.Atoi(lastEventID)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", r.opts.ID+".1")
	control := http.NewResponseController(w)
	for n := last + 1; n <= max(tokens, 1); n++ {
		if n == stopBefore {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, req.Header.Get("X-Request-Id"), n); err != nil || control.Flush() != nil {
			return false
		}
		select {
		case <-restarted:
			panic(http.ErrAbortHandler)
		case <-time.After(r.opts.Step):
		}
	}
	return true
}

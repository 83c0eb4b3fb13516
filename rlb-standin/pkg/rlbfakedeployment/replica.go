package rlbfakedeployment

import (
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

// Spec describes a model as the operator lists it.
type Spec struct {
	Name      string
	WeightsMb float64
	LoadS     float64
	Adapters  int
	AdapterMb float64
	WarmS     float64
	DiskS     float64
}

// ReplicaOpts describe a replica.
type ReplicaOpts struct {
	ID            string
	Service       string
	Address       string
	Domain        string
	Slots         int
	MemoryMb      float64
	Adapters      int // slots
	Models        map[string]Spec
	Fencing       bool
	Step          time.Duration // between two events of a stream
	Loaded        []string      // models at the start
	PlainDuration time.Duration // of a request that names no model
}

// Run is one run of a request.
type Run struct {
	ID          string
	Began       time.Time
	Ended       time.Time // zero: it goes on
	Incarnation int       // of the replica
	Aborted     bool      // its replica crashed, or its sender left, before the end
}

// Command is an order that the replica accepted.
type Command struct {
	Holder      string
	Fence       uint64
	Incarnation int
}

// Replica is one replica. Fault hooks are set before requests come.
type Replica struct {
	opts      ReplicaOpts
	startedMs int64

	// Intercept, if set, takes over requests; it reports whether it answered.
	Intercept func(w http.ResponseWriter, r *http.Request, run int) bool

	mu            sync.Mutex
	sequence      uint64
	fence         uint64
	orderDone     time.Time // until when an order is carried out
	resident      map[string][]string
	pendingEffect func()
	runs          []Run     // in the order in which they began
	commands      []Command // likewise
	overcommitted bool      // it was ordered to hold more than it can
	incarnation   int
	restarted     chan struct{} // closed at the end of the life
}

// NewReplica returns a replica.
func NewReplica(opts ReplicaOpts) *Replica {
	r := &Replica{opts: opts, startedMs: time.Now().UnixMilli(), resident: map[string][]string{}, restarted: make(chan struct{})}
	for _, name := range opts.Loaded {
		r.resident[name] = []string{}
	}
	return r
}

// Entry returns what the replica writes of itself.
func (r *Replica) Entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"Service": r.opts.Service, "Address": r.opts.Address, "Zone": r.opts.Domain, "Version": "v1", "Slots": r.opts.Slots,
		"State": state, "ColdLeftMs": 0, "Seq": 1, "born": r.startedMs, "Stage": "both", "Models": r.modelList(),
	}
}

// Restart ends the replica's life and begins the next one: it holds nothing, and
// what it ran is cut.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.restarted)
	r.restarted = make(chan struct{})
	r.incarnation++
	r.startedMs = max(time.Now().UnixMilli(), r.startedMs+1)
	r.sequence, r.fence, r.pendingEffect, r.resident = 0, 0, nil, map[string][]string{}
}

// Runs returns the ids of the requests that ran.
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

// Commands returns the orders that were accepted so far.
func (r *Replica) Commands() []Command {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.commands)
}

// Overcommitted reports whether the replica was ordered to hold more than it can.
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

// completeOrder carries out the order whose time has passed.
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

// orderBody is an order as the wire has it.
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
	r.commands = append(r.commands, Command{o.Holder, o.Fence, r.incarnation})
	w.WriteHeader(r.applyOrder(o))
}

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

// serveRequest runs a caller's request.
func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the sender broke off
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if status := r.admit(req); status != http.StatusOK {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	run, restarted := r.beginRun(id)
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

// beginRun records that a request begins to run; it returns the run's number,
// from 1, and what ends with the replica's life.
func (r *Replica) beginRun(id string) (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, Run{ID: id, Began: time.Now(), Incarnation: r.incarnation})
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

// Stream sends the events of a request, from the one after Last-Event-Id; it
// stops before the event stop (0: none), without ending the stream.
func (r *Replica) Stream(w http.ResponseWriter, req *http.Request, stopBefore int) {
	r.writeEvents(w, req, stopBefore, nil)
}

// writeEvents is Stream until the replica's life has ended; it reports whether the last
// event was sent.
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

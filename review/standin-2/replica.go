package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is a model in the config.
type model struct {
	Name      string
	WeightsMb float64
	LoadS     float64
	WarmS     float64
	DiskS     float64
	Adapters  int
	AdapterMb float64
}

// replica is a replica of a service with an engine, or of a plain service if it holds no models.
type replica struct {
	id, service, zone string
	memoryMb          float64
	slots             int
	step              time.Duration // between two events of a stream
	known             map[string]model
	store             *store
	record            *record

	server   *http.Server
	address  string
	mu       sync.Mutex
	born     int64
	down     bool
	sequence uint64
	fence    uint64
	held     map[string][]string // adapters by model
	loading  string
	dropping string
	running  map[string]int // runs by model
	ended    chan struct{}  // closed when the lifetime ends
	atHand   []string
	// hold, if set, may take an order that is then neither answered nor carried out at once.
	hold func(o order) bool
	// work is how long a request without a model runs.
	work time.Duration
	// version is that of its software; empty: v1.
	version string
	// arrived is called with the ID of each request that begins to run.
	arrived func(id string)
}

// begin starts a lifetime of the replica on its address, holding some models.
func (r *replica) begin(models ...string) {
	r.mu.Lock()
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.sequence, r.fence, r.loading, r.dropping, r.down = 0, 0, "", "", false
	r.held, r.running, r.ended = map[string][]string{}, map[string]int{}, make(chan struct{})
	for _, name := range models {
		r.held[name] = []string{}
		r.addCopy(name)
	}
	r.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", cmpOr(r.address, "127.0.0.1:0")); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		fatal("a replica cannot listen: %v", err)
	}
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	r.publish()
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// crash ends the lifetime: all channels are reset. The replica is back, empty, some seconds later.
func (r *replica) crash(after time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	close(r.ended)
	server := r.server
	r.mu.Unlock()
	go func() {
		_ = server.Close()
		time.Sleep(after)
		r.begin()
	}()
}

// sequenceNow returns how many orders the lifetime has accepted.
func (r *replica) sequenceNow() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// holds reports whether the replica holds all of some models.
func (r *replica) holds(models ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range models {
		if _, held := r.held[name]; !held {
			return false
		}
	}
	return !r.down
}

// publish writes the entry of the replica to the store.
func (r *replica) publish() {
	r.mu.Lock()
	entry := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": cmpOr(r.version, "v1"), "Slots": r.slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": 1, "born": r.born, "Stage": "both", "Models": r.modelList(),
		"AtHand": map[string]any{"InMemory": []string{}, "OnDisk": slices.Clone(r.atHand)},
	}
	r.mu.Unlock()
	r.store.set("servers", r.id, entry)
}

func (r *replica) modelList() []map[string]any {
	names := make([]string, 0, len(r.held))
	for name := range r.held {
		names = append(names, name)
	}
	sort.Strings(names)
	all := []map[string]any{}
	for _, name := range names {
		all = append(all, map[string]any{"Name": name, "Version": 1, "Adapters": r.held[name]})
	}
	return all
}

func (r *replica) addCopy(name string) {
	if !slices.Contains(r.atHand, name) {
		r.atHand = append(r.atHand, name)
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Instance-Id", r.id)
	if id := req.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
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
		r.serve(w, req)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"Stage": "both", "Models": r.modelList(), "Busy": r.loading != "" || r.dropping != "", "Seq": r.sequence, "Waiting": 0, "Running": 0,
		"KvUsed": 0, "KvTotal": 143941, "Handles": 0, "born": r.born, "AtHand": map[string]any{"InMemory": []string{}, "OnDisk": slices.Clone(r.atHand)},
	})
}

type order struct {
	Op, Model, Adapter, Holder string
	Precondition               *uint64
	Fence                      uint64
}

// order handles POST /-/order as PROTOCOL.md says.
func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.hold != nil && r.hold(o) {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.apply(w, o)
}

// apply checks an order and carries it out.
func (r *replica) apply(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	r.fence = o.Fence
	_, holds := r.held[o.Model]
	busy := r.loading != "" || r.dropping != ""
	if busy || o.Precondition != nil && *o.Precondition != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch {
	case o.Adapter != "" && !holds:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Adapter != "":
		w.WriteHeader(r.orderAdapter(o))
	case o.Op == "load" && holds, o.Op == "unload" && !holds:
		w.WriteHeader(http.StatusOK)
	case o.Op == "load":
		r.load(w, o)
	default:
		r.sequence++
		r.dropping = o.Model
		r.record.add("%s accepts the order to unload %s from %s, fence %d", r.id, o.Model, o.Holder, o.Fence)
		go r.unload(o.Model, r.ended)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (r *replica) orderAdapter(o order) int {
	at := slices.Index(r.held[o.Model], o.Adapter)
	switch {
	case o.Op == "load" && at >= 0:
		return http.StatusOK
	case o.Op == "load":
		r.sequence++
		r.held[o.Model] = append(r.held[o.Model], o.Adapter)
		return http.StatusAccepted
	case at >= 0:
		r.sequence++
		r.held[o.Model] = slices.Delete(r.held[o.Model], at, at+1)
	}
	return http.StatusOK
}

// load starts a load. A replica that is ordered to load more than its memory holds crashes.
func (r *replica) load(w http.ResponseWriter, o order) {
	used := r.known[o.Model].WeightsMb
	for name, adapters := range r.held {
		used += r.known[name].WeightsMb + float64(len(adapters))*r.known[name].AdapterMb
	}
	r.sequence++
	runs := 0
	for _, n := range r.running {
		runs += n
	}
	held := make([]string, 0, len(r.held))
	for name := range r.held {
		held = append(held, name)
	}
	sort.Strings(held)
	text := fmt.Sprintf("the order to load %s from %s, fence %d, while it holds %s: %.0f of %.0f MB", o.Model, o.Holder, o.Fence, strings.Join(held, " "), used, r.memoryMb)
	if used > r.memoryMb {
		r.record.breaks("%s gets %s; it crashes with %d requests running", r.id, text, runs)
		go r.crash(3 * time.Second)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	r.record.add("%s accepts %s, sequence %d before", r.id, text, r.sequence-1)
	r.loading = o.Model
	duration := r.known[o.Model].LoadS
	if slices.Contains(r.atHand, o.Model) {
		duration = r.known[o.Model].DiskS
	}
	go r.finishLoad(o.Model, time.Duration(duration*float64(time.Second)), r.ended)
	w.WriteHeader(http.StatusAccepted)
}

func (r *replica) finishLoad(name string, after time.Duration, ended chan struct{}) {
	select {
	case <-ended:
		return
	case <-time.After(after):
	}
	r.mu.Lock()
	r.held[name], r.loading = []string{}, ""
	r.addCopy(name)
	r.mu.Unlock()
	r.publish()
}

// unload waits for the runs of a model to finish, and drops it.
func (r *replica) unload(name string, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r.mu.Lock()
		if r.running[name] > 0 {
			r.mu.Unlock()
			continue
		}
		delete(r.held, name)
		r.dropping = ""
		r.mu.Unlock()
		r.publish()
		return
	}
}

// serve runs a request.
func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	name, adapter, _ := strings.Cut(req.Header.Get("X-Model"), "/")
	r.mu.Lock()
	adapters, holds := r.held[name]
	if name != "" && (!holds || r.dropping == name || adapter != "" && !slices.Contains(adapters, adapter)) {
		r.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.running[name]++
	running, ended := r.running, r.ended
	r.mu.Unlock()
	r.record.ran(id, r.id)
	if r.arrived != nil {
		r.arrived(id)
	}
	defer func() {
		r.mu.Lock()
		running[name]--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Server-Stamp", r.id+".1")
	if name == "" {
		select {
		case <-time.After(r.work):
		case <-ended:
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %s %d", req.Method, req.URL.RequestURI(), len(body))
		return
	}
	r.stream(w, req, ended)
}

func (r *replica) stream(w http.ResponseWriter, req *http.Request, ended chan struct{}) {
	_, count, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	events, _ := strconv.Atoi(count)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			return
		case <-time.After(r.step):
		}
	}
}

// isDown reports whether the replica has crashed and is not back.
func (r *replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// exit ends the replica for good.
func (r *replica) exit() {
	r.mu.Lock()
	r.down = true
	close(r.ended)
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

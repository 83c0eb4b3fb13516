package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// replica is a replica of the project's stand-in behind an address of its own. It can
// crash and come back, and keeps its entry in the store.
type replica struct {
	id, address string
	orderTime   time.Duration // from an order until its answer
	inner       *rlbfakedeployment.Replica
	fleet       *fleet

	mu         sync.Mutex
	server     *http.Server // nil: down
	registered bool         // writes its entry
	lastEntry  []byte
	silent     time.Time // since when it has written no entry; zero: it writes
	ended      chan struct{}
}

func (f *fleet) addReplica(opts rlbfakedeployment.ReplicaOpts, orderTime time.Duration) *replica {
	opts.Address = net.JoinHostPort(f.ip, f.freePort())
	r := &replica{id: opts.ID, address: opts.Address, orderTime: orderTime, inner: rlbfakedeployment.NewReplica(opts), fleet: f, ended: make(chan struct{})}
	f.replicas = append(f.replicas, r)
	return r
}

// serve starts to listen. The entry follows with register.
func (r *replica) serve() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	return nil
}

// register writes the entry now and from then on at each heartbeat, if it has changed.
func (r *replica) register() {
	r.mu.Lock()
	r.registered, r.lastEntry = true, nil
	r.mu.Unlock()
	r.writeEntry()
}

func (r *replica) run() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.ended:
			return
		case <-ticker.C:
			r.writeEntry()
		}
	}
}

func (r *replica) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registered || r.server == nil {
		return
	}
	request, _ := http.NewRequest(http.MethodGet, "/-/report", nil)
	r.inner.ServeHTTP(httptest.NewRecorder(), request) // completes an order that is due
	entry, err := json.Marshal(r.inner.Entry("ready"))
	if err != nil {
		panic(err)
	}
	if !bytes.Equal(entry, r.lastEntry) {
		r.lastEntry = entry
		r.fleet.store.SetRaw("servers", r.id, entry)
	}
}

// crash closes all channels of the replica and its port.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server, r.registered = nil, false
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	r.inner.Restart() // ends the runs; the new lifetime begins with serve
}

func (r *replica) end() {
	close(r.ended)
	r.crash()
}

// ServeHTTP implements http.Handler. Orders are answered after orderTime.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/-/order" || r.orderTime == 0 {
		r.inner.ServeHTTP(w, req)
		return
	}
	var body bytes.Buffer
	_, _ = body.ReadFrom(req.Body)
	inner := req.Clone(req.Context())
	inner.Body = http.NoBody
	answer := httptest.NewRecorder()
	request, _ := http.NewRequest(req.Method, req.URL.String(), bytes.NewReader(body.Bytes()))
	request.Header = req.Header
	r.inner.ServeHTTP(answer, request)
	r.fleet.record.printf("replica %s: order %s answered %d after %v", r.id, bytes.TrimSpace(body.Bytes()), answer.Code, r.orderTime)
	time.Sleep(r.orderTime)
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// startReplicas starts all replicas and writes their entries.
func (f *fleet) startReplicas() error {
	for _, r := range f.replicas {
		if err := r.serve(); err != nil {
			return fmt.Errorf("replica %s: %w", r.id, err)
		}
		r.register()
		go r.run()
	}
	return nil
}

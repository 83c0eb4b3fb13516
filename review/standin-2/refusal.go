package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the disruption and of the rule.
const (
	machinesPerZone = 9
	refusedPerZone  = 3 // of each zone: a third of all machines
	refusalTime     = 8900 * time.Millisecond
	changeAfter     = 700 * time.Millisecond  // from the start of the refusal to the ack of the config
	configApply     = 2000 * time.Millisecond // ConfigApplyMs
	maxStretch      = 5000 * time.Millisecond // MaxStretchMs
	retireAfter     = 2500 * time.Millisecond // from the ack until the entry of a replica of the old service is removed
	exitAfter       = 7700 * time.Millisecond // from the ack until that replica exits
)

// door is the address at which one machine reaches the store. It can turn that machine away.
type door struct {
	store   *store
	refuses atomic.Bool
	lag     atomic.Int64 // of reads that may be seconds old, in nanoseconds
	mu      sync.Mutex
	waiting map[net.Conn]bool
}

func openDoor(s *store) (*door, string) {
	d := &door{store: s, waiting: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	server := &http.Server{Handler: d, ConnState: func(c net.Conn, state http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.waiting[c] = true; state == http.StateClosed {
			delete(d.waiting, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return d, listener.Addr().String()
}

// refuse turns the machine away with status 503, and cuts off the calls that wait.
func (d *door) refuse(on bool) {
	d.refuses.Store(on)
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		for c := range d.waiting {
			_ = c.Close()
		}
	}
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.refuses.Load() {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if lag := time.Duration(d.lag.Load()); lag > 0 && r.URL.Query().Get("Serializable") == "1" {
		d.store.asOf(time.Now().Add(-lag)).ServeHTTP(w, r)
		return
	}
	d.store.ServeHTTP(w, r)
}

// movedConfig returns the config before (1) and after (2) the change: a route moves to another
// service, and one is added.
func movedConfig(version int) map[string]any {
	route := func(name, service string) map[string]any {
		return map[string]any{"Name": name, "Host": "fleet.example", "PathPrefix": "/" + name + "/", "Kind": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 600, "Priority": 2,
			"Service": service, "MaxAttempts": 1, "Sticky": false, "Resumable": false}
	}
	routes := []map[string]any{route("assign", []string{"", "dispatch-a", "dispatch-b"}[version])}
	if version == 2 {
		routes = append(routes, route("added", "dispatch-b"))
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "dispatch-a", "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false},
			{"Name": "dispatch-b", "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// playRefusal plays a store that turns a third of the machines away and serves the others, and a
// change of the config meanwhile.
func playRefusal(dir string, r *record) {
	s := newStore()
	s.set("config", "main", movedConfig(1))
	zones := []string{"seeb", "bawshar", "muttrah"}
	var old *replica
	for n, zone := range zones {
		for _, service := range []string{"dispatch-a", "dispatch-b"} {
			rep := &replica{id: fmt.Sprintf("i-%s%d", service, n+1), service: service, zone: zone, slots: 6, known: map[string]model{}, store: s, record: r, work: workTime}
			rep.begin()
			if service == "dispatch-a" {
				old = rep
			}
		}
	}
	var nodes, served []*node
	var refused []*door
	for n := range machinesPerZone {
		for _, zone := range zones {
			d, address := openDoor(s)
			started := newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address)
			if nodes = append(nodes, started); n < refusedPerZone {
				refused = append(refused, d)
			} else {
				served = append(served, started)
			}
		}
	}
	waitReady(nodes)
	time.Sleep(8 * time.Second)
	ask(served, r, "before the change", func(_ *node, path string, status int, service string) {
		if path == "/assign/x" && (status != http.StatusOK || service != "dispatch-a") {
			fatal("before the change %s is answered %d by %q", path, status, service)
		}
	})
	if trouble() {
		for _, d := range refused {
			d.refuse(true)
		}
		r.add("the store turns away %d of %d machines: the first %d of each zone; it serves the others", len(refused), len(nodes), refusedPerZone)
	}
	began := time.Now()
	servedAgain := make(chan struct{})
	time.AfterFunc(refusalTime, func() {
		for _, d := range refused {
			d.refuse(false)
		}
		r.add("the store serves all machines again")
		close(servedAgain)
	})
	time.Sleep(changeAfter)
	s.set("config", "main", movedConfig(2))
	acked := time.Now()
	r.add("the operator's config 2 is acknowledged: /assign/ moves from dispatch-a to dispatch-b, /added/ is added")
	time.AfterFunc(retireAfter, func() {
		r.add("the store acknowledges that %s is gone; it goes on serving until %v after the ack of the config", old.id, exitAfter)
		s.remove("servers", old.id)
	})
	time.AfterFunc(exitAfter, func() {
		r.add("%s exits", old.id)
		old.exit()
	})
	lost := 0
	for time.Since(acked) < configApply+maxStretch+100*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
	}
	for round := 1; time.Since(began) < refusalTime-time.Second; round++ {
		ask(served, r, fmt.Sprintf("%.1f s after the ack", time.Since(acked).Seconds()), func(to *node, path string, status int, service string) {
			if status == http.StatusBadGateway {
				lost++
			}
			switch {
			case path == "/assign/x" && service == "dispatch-a":
				r.breaks("%s, which the store serves, sends a request to the old service %.1f s after the ack", to.name, time.Since(acked).Seconds())
			case path == "/added/x" && status == http.StatusNotFound:
				r.breaks("%s, which the store serves, answers 404 on the added route %.1f s after the ack", to.name, time.Since(acked).Seconds())
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	<-servedAgain
	text := fmt.Sprintf("%d requests that may not be repeated were lost as a replica of the old service left", lost)
	r.add("%s", text)
	fmt.Println(text)
	time.Sleep(3 * time.Second)
	ask(served, r, "after it all", func(*node, string, int, string) {})
}

var asked atomic.Int64

// ask sends a request on each route to each machine, and passes on what came of it.
func ask(nodes []*node, r *record, when string, got func(to *node, path string, status int, service string)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, to := range nodes {
		for _, path := range []string{"/assign/x", "/added/x"} {
			id := fmt.Sprintf("q%015d", asked.Add(1))
			group.Go(func() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+to.front+path, strings.NewReader("order"))
				req.Host = "fleet.example"
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Request-Deadline", "1500")
				resp, err := client.Do(req)
				if err != nil {
					r.add("%s: %s to %s %s: %v", when, id, to.name, path, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				service := ""
				r.mu.Lock()
				if runs := slices.Clone(r.runs[id]); len(runs) > 0 {
					service = strings.TrimRight(strings.TrimPrefix(runs[len(runs)-1], "i-"), "0123456789")
				}
				r.mu.Unlock()
				r.add("%s: %s to %s %s: %d, run by %s", when, id, to.name, path, resp.StatusCode, service)
				mu.Lock()
				defer mu.Unlock()
				got(to, path, resp.StatusCode, service)
			})
		}
	}
	group.Wait()
}

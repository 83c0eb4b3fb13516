package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Doses and traffic of the case.
const (
	twiceSeconds  = 5     // the time in which answers are lost
	twiceRate     = 360   // requests a second
	lostShare     = 0.025 // of the answers of the one replica that loses any
	twiceWork     = 5 * time.Millisecond
	twiceReplicas = 3
)

// twiceConfig has a route whose requests may run once at most, and below its prefix one whose
// requests are safe to repeat.
func twiceConfig() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"Name": name, "Host": "desk.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 1500, "TargetLatencyMs": 300,
			"Priority": 2, "Service": "orderdesk", "MaxAttempts": 2}
	}
	return map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{route("reserve", "/parts/", "unsafe"), route("stock", "/parts/stock/", "safe")},
		"Services": []map[string]any{{"Name": "orderdesk", "HealthPath": "/health", "MaxConns": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// twicePaths are of the unsafe route: none begins with the safe route's prefix. The second
// has an encoded slash in the name of a part.
var twicePaths = []string{"/parts/valve-24v/reserve", "/parts/stock%2Fvalve-24v/reserve"}

// twice sends unsafe requests while a replica loses some answers, and counts their runs.
func twice(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.store.Set("config", "main", twiceConfig())
	var mu sync.Mutex
	runs := map[string]int{}
	for i := range twiceReplicas {
		r := f.addReplica(rlbfakedeployment.ReplicaOpts{ID: "i-0" + string(rune('0'+i)), Service: "orderdesk", Domain: zones[i], Slots: 6, Fencing: true}, 0)
		r.inner.Intercept = func(w http.ResponseWriter, req *http.Request, _ int) bool {
			id := req.Header.Get("X-Request-Id")
			mu.Lock()
			runs[id]++
			again := runs[id]
			mu.Unlock()
			time.Sleep(twiceWork)
			lost := trouble && i == 0 && rand.Float64() < lostShare
			if lost || again > 1 {
				rec.printf("replica %s: run %d of %s, %s %s, answer lost: %v", r.id, again, id, req.Method, req.RequestURI, lost)
			}
			if lost {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("X-Server-Stamp", "stamp")
			_, _ = io.WriteString(w, "reserved")
			return true
		}
	}
	if err := f.startReplicas(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := f.addNode("front-"+zone+"-"+string(rune('1'+i)), zone); err != nil {
			return false, err
		}
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	paths := sendUnsafe(rec, f)
	mu.Lock()
	defer mu.Unlock()
	sent, more := map[string]int{}, map[string]int{}
	for id, path := range paths {
		sent[path]++
		if runs[id] > 1 {
			more[path]++
		}
	}
	for _, path := range twicePaths {
		rec.printf("%s: %d requests, %d of them ran more than once", path, sent[path], more[path])
	}
	return len(more) > 0, nil
}

// sendUnsafe sends requests, each once, and returns their paths by id.
func sendUnsafe(rec *record, f *fleet) map[string]string {
	paths := map[string]string{}
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / twiceRate)
	defer ticker.Stop()
	for i := range twiceSeconds * twiceRate {
		<-ticker.C
		id, path, n := newID(), twicePaths[i%len(twicePaths)], f.nodes[i/len(twicePaths)%len(f.nodes)]
		paths[id] = path
		group.Go(func() {
			status, err := postRaw(n.callers, id, target{"desk.example", path})
			if status != http.StatusOK {
				rec.printf("request %s at %s, POST %s: status %d, error %v", id, n.name, path, status, err)
			}
		})
	}
	group.Wait()
	return paths
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// pathConfig routes all paths of a host to a plain service.
func pathConfig() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{"Name": "desk", "Host": "desk.example", "PathPrefix": "/", "Kind": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 300,
			"Priority": 2, "Service": "orderdesk", "MaxAttempts": 2}},
		"Services": []map[string]any{{"Name": "orderdesk", "HealthPath": "/health", "MaxConns": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// target is what a replica ran: the host and the path as any HTTP server reads them.
type target struct{ host, path string }

// plainPaths need no care on the way; slashPaths begin with an empty segment, as RFC 9112
// allows for an absolute path.
var (
	plainPaths = []string{"/reserve/17", "/orders/18/lines", "/catalogue/valve-24v"}
	slashPaths = []string{"//reserve/17", "//orders/18/lines", "//catalogue/valve-24v"}
)

const pathRequests = 30

// path sends unsafe requests and compares what a replica ran with what was sent.
func path(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.store.Set("config", "main", pathConfig())
	var mu sync.Mutex
	ran := map[string]target{}
	r := f.addReplica(rlbfakedeployment.ReplicaOpts{ID: "i-00", Service: "orderdesk", Domain: zones[0], Slots: 6, Fencing: true}, 0)
	r.inner.Intercept = func(w http.ResponseWriter, req *http.Request, _ int) bool {
		id := req.Header.Get("X-Request-Id")
		mu.Lock()
		ran[id] = target{req.Host, req.URL.EscapedPath()}
		mu.Unlock()
		rec.printf("replica %s runs %s: request line %s %s, host %s, path %s", r.id, id, req.Method, req.RequestURI, req.Host, req.URL.EscapedPath())
		w.Header().Set("X-Server-Stamp", "stamp")
		_, _ = io.WriteString(w, "done")
		return true
	}
	if err := f.startReplicas(); err != nil {
		return false, err
	}
	n, err := f.addNode("front-akl-a-1", zones[0])
	if err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	paths := plainPaths
	if trouble {
		paths = slashPaths
	}
	changed := 0
	for i := range pathRequests {
		id, sent := newID(), target{"desk.example", paths[i%len(paths)]}
		status, err := postRaw(n.callers, id, sent)
		mu.Lock()
		got, run := ran[id]
		mu.Unlock()
		rec.printf("request %s: sent POST %s, host %s; answered %d (error %v); run as host %s, path %s", id, sent.path, sent.host, status, err, got.host, got.path)
		if run && got != sent {
			changed++
		}
	}
	rec.printf("%d of %d requests were run with another host or path than the consumer sent", changed, pathRequests)
	return changed > 0, nil
}

// postRaw sends a request line as it is and returns the status of the answer.
func postRaw(address, id string, to target) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 1500\r\nContent-Length: 5\r\n\r\nvalve", to.path, to.host, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

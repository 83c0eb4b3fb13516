package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the planned work and of the rule.
const (
	drainBound      = 2000 * time.Millisecond // DrainMs
	contact         = 3000 * time.Millisecond // ContactMs
	staleBy         = 5500 * time.Millisecond // how old a read is that may be seconds old
	leavesAfter     = 12 * time.Second        // from the removal of its entry until the replica exits
	restartDelay    = 200 * time.Millisecond  // of a process that has ended
	restartGap      = 300 * time.Millisecond  // between the start of the first machine and the stop of the second
	newReplicaAfter = 100 * time.Millisecond  // from the removal of the old entry to the new one
	workTime        = 600 * time.Millisecond  // of a request
)

func unsafeConfig() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{"Name": "assign", "Host": "fleet.example", "PathPrefix": "/assign/", "Kind": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 600, "Priority": 2,
			"Service": "dispatch", "MaxAttempts": 1, "Sticky": false, "Resumable": false}},
		"Services": []map[string]any{{"Name": "dispatch", "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// playRemoved plays planned work alone: a rolling restart of the two machines of a zone, and the
// release of a replica meanwhile, whose old one goes on serving for some seconds.
func playRemoved(dir string, r *record) {
	s := newStore()
	s.set("config", "main", unsafeConfig())
	newReplica := func(n int, zone string) *replica {
		rep := &replica{id: fmt.Sprintf("i-dispatch%d", n), service: "dispatch", zone: zone, slots: 6, known: map[string]model{}, store: s, record: r, work: workTime}
		rep.begin()
		return rep
	}
	leaving := newReplica(1, "seeb")
	for n, zone := range []string{"seeb", "bawshar", "muttrah", "bawshar", "muttrah", "bawshar", "muttrah"} {
		newReplica(n+2, zone)
	}
	var nodes []*node
	var doors []*door
	for n, zone := range []string{"seeb", "seeb", "bawshar", "muttrah"} {
		d, address := openDoor(s)
		nodes, doors = append(nodes, newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address)), append(doors, d)
	}
	waitReady(nodes)
	time.Sleep(5 * time.Second)

	var removedAt, inTouchAt atomic.Pointer[time.Time]
	senders := &senderNames{byRequest: map[string]string{}}
	leaving.arrived = func(id string) {
		removed, inTouch := removedAt.Load(), inTouchAt.Load()
		if removed == nil || time.Since(*removed) <= drainBound {
			return
		}
		text := fmt.Sprintf("%s, sent by way of %s, reaches %s %.1f s after its entry was removed", id, senders.of(id), leaving.id, time.Since(*removed).Seconds())
		if trouble() && senders.of(id) == nodes[1].name && (inTouch == nil || time.Now().Before(*inTouch)) {
			r.add("%s; the machine is not in touch yet", text)
			return
		}
		r.breaks("%s", text)
	}
	release := func() {
		s.remove("servers", leaving.id)
		now := time.Now()
		removedAt.Store(&now)
		r.add("release: the store acknowledges that %s is gone; it goes on serving for %v", leaving.id, leavesAfter)
		time.AfterFunc(leavesAfter, func() {
			r.add("%s exits", leaving.id)
			leaving.exit()
		})
		time.Sleep(newReplicaAfter)
		newReplica(9, "seeb")
		r.add("release: the replica that takes its place is registered")
	}
	stop := make(chan struct{})
	go sendUnsafe(nodes, senders, r, stop)
	time.Sleep(2 * time.Second)

	if !trouble() {
		release()
	} else {
		r.add("planned stop of %s: SIGTERM", nodes[0].name)
		nodes[0].restart(dir, func() {
			release()
			time.Sleep(restartDelay)
			r.add("%s starts again; its reads are up to date", nodes[0].name)
		})
		time.Sleep(restartGap)
		r.add("planned stop of %s: SIGTERM", nodes[1].name)
		nodes[1].restart(dir, func() {
			time.Sleep(restartDelay)
			doors[1].lag.Store(int64(staleBy))
			inTouch := time.Now().Add(contact)
			inTouchAt.Store(&inTouch)
			r.add("%s starts again; a read of it that may be seconds old is %v old", nodes[1].name, staleBy)
		})
	}
	time.Sleep(leavesAfter)
	close(stop)
	time.Sleep(2 * time.Second)
}

// senderNames holds to which machine a consumer sent a request.
type senderNames struct {
	mu        sync.Mutex
	byRequest map[string]string
}

func (s *senderNames) set(id, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRequest[id] = name
}

func (s *senderNames) of(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[id]
}

// sendUnsafe sends requests that may run at most once, to the machines in turn.
func sendUnsafe(nodes []*node, senders *senderNames, r *record, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 1500 * time.Millisecond}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		to, id := nodes[n%len(nodes)], fmt.Sprintf("u%015d", n)
		senders.set(id, to.name)
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+to.front+"/assign/x", strings.NewReader("order"))
			req.Host = "fleet.example"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Request-Deadline", "1500")
			resp, err := client.Do(req)
			if err != nil {
				r.add("consumer gets no answer to %s from %s: %v", id, to.name, err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			r.add("consumer gets %d to %s from %s", resp.StatusCode, id, to.name)
		}()
	}
}

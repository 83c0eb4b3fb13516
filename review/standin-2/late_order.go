package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the disruption, from the order that gets no answer.
const (
	crashAfter = 300 * time.Millisecond // the order has timed out at its sender by then
	// entryTTL is when the platform removes the entry of the crashed replica, whose last status
	// report was a while before: three intervals of 1.2 s after that.
	entryTTL    = 3 * time.Second
	lateDelay   = 11500 * time.Millisecond // until the order is carried out
	streamSteps = 40
)

// demand keeps a number of streams of each model running.
type demand struct {
	mu     sync.Mutex
	wanted map[string]int
	active map[string]int
	next   int
}

func (d *demand) set(wanted map[string]int, r *record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = wanted
	r.add("consumers now keep these numbers of streams running: %v", wanted)
}

func (d *demand) run(nodes []*node, r *record, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		d.mu.Lock()
		for name, n := range d.wanted {
			if d.active[name] >= n {
				continue
			}
			d.active[name]++
			d.next++
			id, to := fmt.Sprintf("r%015d", d.next), nodes[d.next%len(nodes)]
			go func() {
				request(client, to, id, name, r)
				d.mu.Lock()
				d.active[name]--
				d.mu.Unlock()
			}()
		}
		d.mu.Unlock()
	}
}

// waitFor waits for a condition, and ends the script if it does not come.
func waitFor(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	fatal("%s did not come", what)
}

// playLateOrder plays an order that gets no answer and is carried out 11.5 s later, while the
// replica crashes after it and is back under its id after its entry was removed.
func playLateOrder(dir string, r *record) {
	down := 5 * time.Second
	if text := os.Getenv("DOWN"); text != "" {
		down, _ = time.ParseDuration(text)
	}
	s := newStore()
	address := serveStore(s)
	known := map[string]model{}
	var models []model
	for n := range 12 {
		m := newModel(n)
		models = append(models, m)
		known[m.Name] = m
	}
	a, b, c, d := models[0].Name, models[1].Name, models[2].Name, models[3].Name
	s.set("config", "main", releaseConfig(1, models))
	newReplica := func(id string, held ...string) *replica {
		rep := &replica{id: id, service: "planner", zone: "seeb", memoryMb: replicaMb, slots: 64, step: 50 * time.Millisecond, known: known, store: s, record: r}
		rep.atHand = []string{a, b, c, d} // it has held all models before
		rep.begin(held...)
		return rep
	}
	first := newReplica("i-planner1", a)
	newReplica("i-planner2", a, b)
	newReplica("i-planner3", c, d)
	for n := 4; n < len(models); n += 2 { // replicas that nothing concerns: each is the only one of its models
		newReplica(fmt.Sprintf("i-planner%d", n/2+2), models[n].Name, models[n+1].Name)
	}

	var late atomic.Pointer[order]
	first.hold = func(o order) bool {
		if !trouble() || o.Op != "load" || o.Precondition == nil || *o.Precondition != 2 || !late.CompareAndSwap(nil, &o) {
			return false
		}
		r.add("i-planner1 leaves the order to load %s unanswered, precondition %d, fence %d", o.Model, *o.Precondition, o.Fence)
		time.AfterFunc(lateDelay, func() {
			r.add("i-planner1 gets the order to load %s late", o.Model)
			answer := httptest.NewRecorder()
			first.apply(answer, o)
			r.add("i-planner1 answers the late order with %d; nobody hears it", answer.Code)
		})
		time.AfterFunc(crashAfter, func() {
			r.add("i-planner1 crashes, and is down for %v", down)
			first.crash(down)
			time.AfterFunc(entryTTL, func() {
				if first.isDown() {
					r.add("the store removes the entry of i-planner1")
					s.remove("servers", first.id)
				}
			})
		})
		return true
	}

	var nodes []*node
	for n, zone := range []string{"seeb", "bawshar", "muttrah"} {
		nodes = append(nodes, newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address))
	}
	waitReady(nodes)
	time.Sleep(5 * time.Second)
	load, stop := &demand{active: map[string]int{}}, make(chan struct{})
	go load.run(nodes, r, stop)
	load.set(map[string]int{b: 16}, r)
	waitFor("a load of "+b+" on i-planner1", 20*time.Second, func() bool { return first.holds(b) })
	load.set(map[string]int{c: 20}, r)
	if trouble() {
		waitFor("an order with precondition 2 to i-planner1", 25*time.Second, func() bool { return late.Load() != nil })
	} else {
		waitFor("a load of "+c+" on i-planner1", 25*time.Second, func() bool { return first.holds(c) })
	}
	load.set(map[string]int{b: 20, d: 20}, r)
	time.Sleep(lateDelay + 4*time.Second)
	close(stop)
}

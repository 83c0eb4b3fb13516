package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Figures of the play.
const (
	goneTimeout  = 15 * time.Second // TimeoutMs of the route
	releaseGap   = time.Second      // between two replicas that are replaced
	downTime     = 500 * time.Millisecond
	inTouchAfter = 3500 * time.Millisecond // from the start of the processes; ContactMs is 3 s
)

// playGone plays the removal of one machine for good, a release of all replicas to a new software
// version, and later a kill of all processes at once.
func playGone(dir string, r *record) {
	m := newModel(0)
	s, known := newStore(), map[string]model{m.Name: m}
	c := moveConfig(1, "planner-a", []model{m})
	c["Routes"].([]map[string]any)[0]["TimeoutMs"] = goneTimeout.Milliseconds()
	s.set("config", "main", c)
	address := serveStore(s)
	zones := []string{"seeb", "bawshar", "muttrah", "amerat"}
	begin := func(n int, version string) *replica {
		rep := &replica{id: fmt.Sprintf("i-planner-%s-%d", version, n+1), service: "planner-a", zone: zones[n], memoryMb: replicaMb, slots: 64, step: movedStep, known: known, store: s, record: r, version: version}
		rep.begin(m.Name)
		return rep
	}
	var old []*replica
	for n := range zones {
		old = append(old, begin(n, "v1"))
	}
	var nodes []*node
	for n, zone := range zones {
		nodes = append(nodes, newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address))
	}
	waitReady(nodes)
	time.Sleep(5 * time.Second)
	last := nodes[3]
	if trouble() {
		last.kill()
		r.add("%s is removed for good", last.name)
	}
	for n, rep := range old {
		begin(n, "v2")
		s.remove("servers", rep.id)
		r.add("release: %s gives way to a replica of v2", rep.id)
		time.AfterFunc(drainBound+time.Second, rep.exit)
		time.Sleep(releaseGap)
	}
	time.Sleep(goneTimeout + 3*time.Second) // no stream of v1 can run any more
	var group sync.WaitGroup
	var mu sync.Mutex
	taken, wentOn := 0, 0
	takeUpAt := make(chan struct{})
	for n := range movedStreams {
		id := fmt.Sprintf("s%015d", n)
		group.Go(func() {
			deadline := time.Now().Add(limitMs * time.Millisecond)
			status, got, complete, _ := streamRequest(context.Background(), nodes[0], id, "", 0, time.Until(deadline), r)
			r.add("stream %s at %s: %d, %d events, complete %v", id, nodes[0].name, status, got, complete)
			if complete || got == 0 {
				return
			}
			<-takeUpAt
			goesOn, before := false, got
			for try := range tries {
				to, again := nodes[(n+try)%3], fmt.Sprintf("t%06d%09d", try, n)
				status, now, complete, retryAfter := streamRequest(context.Background(), to, again, id, before, time.Until(deadline), r)
				r.add("stream %s is taken up as %s at %s after event %d: %d, now at event %d, complete %v", id, again, to.name, before, status, now, complete)
				goesOn = goesOn || now > before
				if before = now; complete || time.Until(deadline) < time.Second {
					break
				}
				time.Sleep(max(retryAfter, 100*time.Millisecond))
			}
			mu.Lock()
			defer mu.Unlock()
			if taken++; goesOn {
				wentOn++
			}
		})
	}
	time.Sleep(3 * time.Second)
	alive := nodes
	if trouble() {
		alive = nodes[:3]
	}
	for _, n := range alive {
		n.kill()
	}
	r.add("all processes are killed at once")
	time.Sleep(downTime)
	for _, n := range alive {
		n.start(dir)
	}
	time.Sleep(inTouchAfter)
	close(takeUpAt)
	begun, sent := 0, 0
	for n := range movedStreams {
		id := fmt.Sprintf("n%015d", n)
		group.Go(func() {
			status, got, _, _ := streamRequest(context.Background(), nodes[n%3], id, "", 0, 8*time.Second, r)
			r.add("new stream %s at %s: %d, %d events", id, nodes[n%3].name, status, got)
			mu.Lock()
			defer mu.Unlock()
			if sent++; got > 0 {
				begun++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	text := fmt.Sprintf("%d of %d streams that were taken up went on; %d of %d new streams began", wentOn, taken, begun, sent)
	r.add("%s", text)
	fmt.Println(text)
	if taken >= leastTakeUps && float64(wentOn)/float64(taken) < float64(begun)/float64(sent)/2 {
		r.breaks("%s", text)
	}
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the play.
const (
	movedStreams = 24                     // that run as the channels break
	movedTokens  = 120                    // events of each
	movedStep    = 100 * time.Millisecond // between two of them
	breakAfter   = 3 * time.Second        // from the ack of the config until the channels break; ConfigApplyMs is 2 s
	limitMs      = 25000                  // of a consumer
	tries        = 3                      // of a consumer to take its stream up
	leastTakeUps = 12                     // from which on the rule holds
)

// moveConfig returns a config whose route of resumable streams goes to a service.
func moveConfig(version int, service string, models []model) map[string]any {
	engine := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
			"Slots": 64, "KvTokens": 143941, "Stride": 2, "WeightsMb": replicaMb, "AdapterSlots": adapterSlots, "LoadsPerS": loadsPerS, "Models": models,
		}}
	}
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{{"Name": "draft", "Host": "fleet.example", "PathPrefix": "/draft/", "Kind": "streaming", "TimeoutMs": limitMs, "TargetLatencyMs": 600, "Priority": 1,
			"Service": service, "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapAimMs": 300}},
		"Services": []map[string]any{engine("planner-a"), engine("planner-b")},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// streamRequest sends a request for a stream, and reads it until it ends or breaks off. It
// returns the status, and the last event that it got.
func streamRequest(ctx context.Context, to *node, id, resumes string, last int, left time.Duration, r *record) (status, got int, complete bool, retryAfter time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+"/draft/x", strings.NewReader("prompt"))
	req.Host = "fleet.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Model": "model-a", "X-Token-Count": fmt.Sprintf("100,%d", movedTokens), "X-Request-Deadline": strconv.FormatInt(left.Milliseconds(), 10), "X-Prompt-Prefix": "1:60," + id[8:] + ":40"} {
		req.Header.Set(name, value)
	}
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	got = last
	resp, err := client.Do(req)
	if err != nil {
		return 0, got, false, 0
	}
	defer resp.Body.Close()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			got, _ = strconv.Atoi(text)
		}
	}
	return resp.StatusCode, got, scanner.Err() == nil && got == movedTokens, time.Duration(seconds * float64(time.Second))
}

// playMoved plays a change of the config that moves a route of streams to another service. With
// and without it the channels of consumers to one machine break afterwards, at the consumers' end.
func playMoved(dir string, r *record) {
	m := newModel(0)
	s, known := newStore(), map[string]model{m.Name: m}
	s.set("config", "main", moveConfig(1, "planner-a", []model{m}))
	address := serveStore(s)
	zones := []string{"seeb", "bawshar", "muttrah"}
	for _, service := range []string{"planner-a", "planner-b"} {
		for n, zone := range zones {
			rep := &replica{id: fmt.Sprintf("i-%s%d", service, n+1), service: service, zone: zone, memoryMb: replicaMb, slots: 64, step: movedStep, known: known, store: s, record: r}
			rep.begin(m.Name)
		}
	}
	var nodes []*node
	for n, zone := range zones {
		nodes = append(nodes, newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address))
	}
	waitReady(nodes)
	time.Sleep(5 * time.Second)

	channels, breakChannels := context.WithCancel(context.Background())
	defer breakChannels()
	var group sync.WaitGroup
	var mu sync.Mutex
	taken, wentOn := 0, 0
	for n := range movedStreams {
		id := fmt.Sprintf("s%015d", n)
		group.Go(func() {
			deadline := time.Now().Add(limitMs * time.Millisecond)
			status, last, complete, _ := streamRequest(channels, nodes[0], id, "", 0, time.Until(deadline), r)
			r.add("stream %s at %s: %d, %d events, complete %v", id, nodes[0].name, status, last, complete)
			if complete || last == 0 {
				return
			}
			goesOn := false
			for try := range tries {
				to, again := nodes[1+(n+try)%2], fmt.Sprintf("t%06d%09d", try, n)
				status, got, complete, retryAfter := streamRequest(context.Background(), to, again, id, last, time.Until(deadline), r)
				r.add("stream %s is taken up as %s at %s after event %d: %d, now at event %d, complete %v", id, again, to.name, last, status, got, complete)
				goesOn = goesOn || got > last
				if last = got; complete || time.Until(deadline) < time.Second {
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
	time.Sleep(2 * time.Second)
	if trouble() {
		s.set("config", "main", moveConfig(2, "planner-b", []model{m}))
		r.add("the operator's config 2 is acknowledged: the route moves from planner-a to planner-b; the replicas of both go on serving, all of software version v1")
	}
	time.Sleep(breakAfter)
	r.add("the channels of the consumers to %s break", nodes[0].name)
	breakChannels()
	// New streams show what the other machines serve meanwhile.
	begun, sent := 0, 0
	for n := range movedStreams {
		id := fmt.Sprintf("n%015d", n)
		group.Go(func() {
			status, got, _, _ := streamRequest(context.Background(), nodes[1+n%2], id, "", 0, 12*time.Second, r)
			r.add("new stream %s at %s: %d, %d events", id, nodes[1+n%2].name, status, got)
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

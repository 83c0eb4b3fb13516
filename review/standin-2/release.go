package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the small deployments: memory of a replica, sizes and load times of models.
const (
	replicaMb    = 200000
	adapterSlots = 8
	loadsPerS    = 1.1
)

func newModel(n int) model {
	return model{Name: fmt.Sprintf("model-%c", 'a'+n), WeightsMb: 72700, LoadS: 5, WarmS: 1.3, DiskS: 1.7, Adapters: 2, AdapterMb: 66}
}

// releaseConfig returns a version of the config that lists some models.
func releaseConfig(version int, models []model) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "plan", "Host": "fleet.example", "PathPrefix": "/plan/", "Kind": "streaming", "TimeoutMs": 25000, "TargetLatencyMs": 6000, "Priority": 1,
				"Service": "planner", "MaxAttempts": 1, "Sticky": true, "Resumable": false, "GapAimMs": 300},
		},
		"Services": []map[string]any{
			{"Name": "planner", "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvTokens": 143941, "Stride": 2, "WeightsMb": replicaMb, "AdapterSlots": adapterSlots, "LoadsPerS": loadsPerS, "Models": models,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// releases is how many release notes the operator writes, and releasePause the time between two.
const (
	releases     = 5
	releasePause = 12 * time.Second
)

// playRelease plays release notes: each withdraws a model and adds another one.
func playRelease(dir string, r *record) {
	s := newStore()
	address := serveStore(s)
	known := map[string]model{}
	var all []model
	for n := range 20 {
		m := newModel(n)
		all = append(all, m)
		known[m.Name] = m
	}
	listed := slices.Clone(all[:4])
	s.set("config", "main", releaseConfig(1, listed))
	zones := []string{"seeb", "bawshar", "muttrah"}
	for n := range 4 {
		rep := &replica{id: fmt.Sprintf("i-planner%d", n+1), service: "planner", zone: zones[n%3], memoryMb: replicaMb, slots: 64, step: 50 * time.Millisecond, known: known, store: s, record: r}
		rep.begin(all[n].Name, all[(n+1)%4].Name)
	}
	var nodes []*node
	for n, zone := range zones {
		nodes = append(nodes, newNode(dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address))
	}
	waitReady(nodes)
	time.Sleep(6 * time.Second)
	var current atomic.Pointer[[]model]
	current.Store(&listed)
	stop := make(chan struct{})
	go consumers(nodes, &current, r, stop)
	next := 4
	for version := range releases {
		time.Sleep(releasePause)
		if !trouble() {
			continue
		}
		withdrawn, added := listed[0].Name, all[next]
		listed = append(slices.Clone(listed[1:]), added)
		next++
		update := listed
		current.Store(&update)
		s.set("config", "main", releaseConfig(version+2, listed))
		r.add("the operator's config %d is acknowledged: %s is withdrawn, %s is added", version+2, withdrawn, added.Name)
	}
	time.Sleep(6 * time.Second)
	close(stop)
}

// consumers send requests for the listed models, each on a new channel.
func consumers(nodes []*node, listed *atomic.Pointer[[]model], r *record, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		models := *listed.Load()
		go request(client, nodes[n%len(nodes)], fmt.Sprintf("r%015d", n), models[n%len(models)].Name, r)
	}
}

func request(client *http.Client, to *node, id, model string, r *record) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+to.front+"/plan/x", strings.NewReader("prompt"))
	req.Host = "fleet.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Model": model, "X-Token-Count": "100,40", "X-Request-Deadline": "25000", "X-Prompt-Prefix": "1:60," + id[8:] + ":40"} {
		req.Header.Set(name, value)
	}
	r.add("consumer sends %s for %s to %s", id, model, to.name)
	resp, err := client.Do(req)
	if err != nil {
		r.add("consumer gets no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	events, scanner := 0, bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id:") {
			events++
		}
	}
	r.add("consumer gets %d, %d events, for %s; error %v", resp.StatusCode, events, id, scanner.Err())
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Deployment of the case.
const (
	weightsMb    = 72000
	routeTimeout = 4 * time.Second
	orderTime    = 200 * time.Millisecond // from an order until its answer
	settleTime   = 2500 * time.Millisecond
	downTime     = 300 * time.Millisecond // of the replicas that crash
)

var zones = []string{"akl-a", "akl-b", "hlz-c"}

// hangPlacement is the model that each replica holds at the start, four replicas a zone.
// Each model is held twice.
var hangPlacement = []string{"m0", "m1", "m2", "m3", "m1", "m2", "m3", "m4", "m0", "m4", "m5", "m5"}

// The replicas that crash: two of twelve.
const (
	hangFirst  = 10 // holds m5, like its neighbour in the zone
	hangSecond = 0
)

func hangConfig(models []rlbfakedeployment.Spec) map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{"Name": "draft", "Host": "fleet.example", "PathPrefix": "/draft/", "Kind": "streaming", "TimeoutMs": routeTimeout.Milliseconds(),
			"TargetLatencyMs": 600, "Priority": 0, "Service": "planner", "MaxAttempts": 2, "Resumable": true, "GapAimMs": 300}},
		"Services": []map[string]any{{"Name": "planner", "HealthPath": "/health", "MaxConns": 370, "Engine": map[string]any{
			"Slots": 64, "KvTokens": 129569, "WeightsMb": 200000, "AdapterSlots": 8, "LoadsPerS": 1.4, "Models": models,
		}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// newHangFleet starts a fleet of three nodes and twelve replicas.
func newHangFleet(rec *record) (*fleet, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	specs, list := map[string]rlbfakedeployment.Spec{}, []rlbfakedeployment.Spec{}
	for i := range 6 {
		m := rlbfakedeployment.Spec{Name: fmt.Sprintf("m%d", i), WeightsMb: weightsMb, LoadS: 5, WarmS: 1.3, DiskS: 1.7}
		specs[m.Name], list = m, append(list, m)
	}
	f.store.Set("config", "main", hangConfig(list))
	for i, model := range hangPlacement {
		f.addReplica(rlbfakedeployment.ReplicaOpts{
			ID: fmt.Sprintf("i-%02d", i), Service: "planner", Domain: zones[i*len(zones)/len(hangPlacement)], Slots: 64, MemoryMb: 200000, Adapters: 8,
			Models: specs, Fencing: true, Step: 25 * time.Millisecond, Loaded: []string{model},
		}, orderTime)
	}
	if err := f.startReplicas(); err != nil {
		return f, err
	}
	for i, zone := range zones {
		if _, err := f.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone); err != nil {
			return f, err
		}
	}
	return f, f.startNodes()
}

// hangRound plays one fleet. It reports whether the rule was broken at a node.
func hangRound(rec *record, trouble bool, apart time.Duration) (broken bool, err error) {
	f, err := newHangFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime) // the lease is taken and the reports are read
	if trouble {
		if err := crashTwo(rec, f, apart); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	broken = hangProbe(rec, f)
	if broken {
		rec.printf("the same once more, to see whether the nodes recover")
		hangProbe(rec, f)
	}
	if dir := os.Getenv("REVIEW_LOGS"); broken && dir != "" {
		for _, n := range f.nodes {
			data, _ := os.ReadFile(n.logPath)
			_ = os.WriteFile(dir+"/"+n.name+".log", data, 0o644)
		}
	}
	return broken, nil
}

// crashTwo makes two replicas crash and come back, empty, under their Ids. They write their
// entries some time apart.
func crashTwo(rec *record, f *fleet, apart time.Duration) error {
	two := []*replica{f.replicas[hangFirst], f.replicas[hangSecond]}
	for _, r := range two {
		rec.printf("replica %s crashes", r.id)
		r.crash()
	}
	time.Sleep(downTime)
	for _, r := range two {
		if err := r.serve(); err != nil {
			return err
		}
		rec.printf("replica %s is back under its Id", r.id)
	}
	for _, r := range two {
		time.Sleep(apart)
		r.register()
		rec.printf("replica %s writes its entry", r.id)
	}
	return nil
}

// hangProbe sends requests for a model of sound replicas to each node. The rule is broken
// if eight or more at a node, which is more than half, have no answer half a second after
// the route's TimeoutMs.
func hangProbe(rec *record, f *fleet) bool {
	const probes = 12
	unanswered := make([]int, len(f.nodes))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, n := range f.nodes {
		for range probes {
			group.Go(func() {
				a := ask(n, "m4", 4, routeTimeout, routeTimeout+500*time.Millisecond, nil)
				mu.Lock()
				defer mu.Unlock()
				rec.printf("node %s: request %s for m4: status %d after %v, %d bytes, error %v", n.name, a.id, a.status, a.took.Round(time.Millisecond), len(a.body), a.err)
				if a.status == 0 {
					unanswered[i]++
				}
			})
		}
	}
	group.Wait()
	broken := false
	for i, n := range f.nodes {
		rec.printf("node %s: %d of %d requests have no answer 0.5 s after their TimeoutMs; ready: %v", n.name, unanswered[i], probes, n.ready())
		broken = broken || unanswered[i] >= 8
	}
	return broken
}

// hang plays rounds, each with a new fleet, until the rule is broken or the time is up.
func hang(rec *record, trouble bool) (bool, error) {
	end := time.Now().Add(105 * time.Second)
	for round := 0; time.Now().Add(12 * time.Second).Before(end); round++ {
		apart := time.Duration(50+round%6*50) * time.Millisecond
		rec.printf("round %d: the entries are written %v apart", round+1, apart)
		broken, err := hangRound(rec, trouble, apart)
		if err != nil || broken {
			return broken, err
		}
	}
	return false, nil
}

package main

import (
	"fmt"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// The replicas and the crashes of the case.
const (
	loneOld       = 4                // replicas of the old version, two for each model
	loneOthers    = 2                // replicas of the new version with the other model, which serve on
	loneServes    = 4 * time.Second  // from the start of a replica until it crashes
	loneTimeLimit = 75 * time.Second // no further crash comes then
)

// lone plays two software versions side by side. Of the replicas of the new one, one has the
// model that consumers ask for. It crashes, and another one takes its place; the others of
// its version serve on.
func lone(rec *record, trouble bool) (bool, error) {
	f, err := newLoneFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	count := &lostCount{statuses: map[int]int{}}
	stop := f.sendStreams(func(zone []*node) { count.consume(rec, zone) })
	end := time.Now().Add(loneTimeLimit)
	for number := loneOld + loneOthers; time.Now().Before(end); number++ {
		r := f.addModel(number, "v2", "m0")
		if err := r.serve(); err != nil {
			return false, err
		}
		r.register()
		go r.run()
		rec.printf("replica %s of v2 with m0 joins", r.id)
		time.Sleep(loneServes)
		if !trouble {
			break
		}
		rec.printf("replica %s crashes with %d streams begun", r.id, len(r.inner.Runs()))
		r.crash()
		time.Sleep(3 * heartbeat)
		f.store.Remove("servers", r.id)
		time.Sleep(time.Second)
	}
	if !trouble {
		time.Sleep(time.Until(end))
	}
	stop()
	rec.printf("%d streams, %d of them began; %d taken up, %d of them went on; statuses %v", count.streams, count.begun, count.takenUp, count.wentOn, count.statuses)
	return count.takenUp >= minTakenUp && 2*count.wentOn*count.streams < count.takenUp*count.begun, nil
}

// newLoneFleet starts a fleet with replicas of two versions; no replica of v2 has m0 yet.
func newLoneFleet(rec *record) (*fleet, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	f.store.Set("config", "main", hangConfig([]rlbfakedeployment.Spec{versionModel, otherModel}))
	for i := range loneOld {
		f.addModel(i, "v1", fmt.Sprintf("m%d", i%2))
	}
	for i := range loneOthers {
		f.addModel(loneOld+i, "v2", "m1")
	}
	if err := f.startReplicas(); err != nil {
		return f, err
	}
	return f, f.startTwoNodesPerZone()
}

// otherModel is held beside the model that consumers ask for.
var otherModel = rlbfakedeployment.Spec{Name: "m1", WeightsMb: weightsMb, LoadS: 5, WarmS: 1.3, DiskS: 1.7}

// addModel adds a replica of a software version with a model, without starting it.
func (f *fleet) addModel(number int, version, model string) *replica {
	r := f.addReplica(rlbfakedeployment.ReplicaOpts{
		ID: fmt.Sprintf("i-%02d", number), Service: "planner", Domain: zones[number%len(zones)], Slots: 64, MemoryMb: 200000, Adapters: 8,
		Models:  map[string]rlbfakedeployment.Spec{versionModel.Name: versionModel, otherModel.Name: otherModel},
		Fencing: true, Loaded: []string{model}, Version: version,
	}, 0)
	r.inner.Intercept = streamEvents(version)
	return r
}

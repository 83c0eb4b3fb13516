package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The release and the check of the case.
const (
	releaseCrash    = 300 * time.Millisecond // from the first stream at the new replica until it crashes
	orderReplicas   = 5                      // of the old version
	orderTimeLimit  = 75 * time.Second       // no further release begins then
	maxMixedStreams = 2                      // by the rule
)

// orderCount counts what consumers saw.
type orderCount struct {
	mu                                  sync.Mutex
	streams, takenUp, wentOn, mixed, ok int
}

// consume asks for one stream at a node of a zone and takes it up once, at the other node
// of the zone, if its channel breaks.
func consume(rec *record, zone []*node, count *orderCount) {
	first := rand.IntN(len(zone))
	id, limit := newID(), time.Now().Add(routeTimeout)
	pieces, _, complete := try(zone[first], id, "", 0, routeTimeout)
	takenUp, wentOn, second := false, false, ""
	if len(pieces) > 0 && !complete {
		takenUp, second = true, newID()
		rest, status, ended := try(zone[(first+1)%len(zone)], second, id, pieces[len(pieces)-1].number, time.Until(limit))
		wentOn, complete = len(rest) > 0, ended
		rec.printf("stream %s of %s broke after event %d (%s); taken up at %s as %s: status %d, %d more events", id, zone[first].name,
			pieces[len(pieces)-1].number, pieces[len(pieces)-1].version, zone[(first+1)%len(zone)].name, second, status, len(rest))
		pieces = append(pieces, rest...)
	}
	versions := map[string]bool{}
	for _, p := range pieces {
		versions[p.version] = true
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	count.streams++
	if takenUp {
		count.takenUp++
	}
	if wentOn {
		count.wentOn++
	}
	if complete {
		count.ok++
	}
	if len(versions) > 1 {
		count.mixed++
		rec.printf("stream %s holds events of %d versions: %v", id, len(versions), versions)
	}
}

// order plays releases of a version whose first replica crashes soon after its start.
func order(rec *record, trouble bool) (bool, error) {
	f, err := newVersionFleet(rec, orderReplicas)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	count := &orderCount{}
	stop := f.sendStreams(func(zone []*node) { consume(rec, zone, count) })
	end := time.Now().Add(orderTimeLimit)
	for release := 0; time.Now().Before(end); release++ {
		time.Sleep(releasePause)
		if err := playRelease(rec, f.addVersion(10+release, fmt.Sprintf("v%d", 2+release)), trouble); err != nil {
			return false, err
		}
		if count.mu.Lock(); count.mixed > maxMixedStreams {
			count.mu.Unlock()
			break
		}
		count.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	stop()
	rec.printf("%d streams, %d complete; %d taken up, %d of them went on; %d hold events of two versions (more than %d break the rule)",
		count.streams, count.ok, count.takenUp, count.wentOn, count.mixed, maxMixedStreams)
	return count.mixed > maxMixedStreams, nil
}

// playRelease starts a replica of a new version. It crashes soon after its first stream and
// does not come back, as the operator ends the release; without the disruption it serves on
// and then leaves.
func playRelease(rec *record, r *replica, trouble bool) error {
	if err := r.serve(); err != nil {
		return err
	}
	r.register()
	rec.printf("replica %s of a new version joins", r.id)
	for end := time.Now().Add(3 * time.Second); len(r.inner.Runs()) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		time.Sleep(releaseCrash)
		rec.printf("replica %s crashes with %d streams begun", r.id, len(r.inner.Runs()))
		r.crash()
		time.Sleep(3 * heartbeat)
		r.fleet.store.Remove("servers", r.id)
		return nil
	}
	time.Sleep(2 * time.Second)
	r.fleet.store.Set("servers", r.id, r.inner.Entry("draining"))
	time.Sleep(routeTimeout)
	r.fleet.store.Remove("servers", r.id)
	return nil
}

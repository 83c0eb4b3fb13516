package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The release and the check of the case.
const (
	killAfter     = 200 * time.Millisecond // from the entries of a new version until a node is killed
	restartAfter  = 500 * time.Millisecond // from the kill until the process is started again
	lostTimeLimit = 75 * time.Second       // no further release begins then
	minTakenUp    = 12                     // by the rule
)

// lostCount counts what consumers saw.
type lostCount struct {
	mu                              sync.Mutex
	streams, begun, takenUp, wentOn int
	statuses                        map[int]int // of the answers to those that took a stream up
}

// consume asks for one stream and takes it up once, at the other node of the zone, if its
// channel breaks.
func (c *lostCount) consume(rec *record, zone []*node) {
	first := rand.IntN(len(zone))
	id, limit := newID(), time.Now().Add(routeTimeout)
	pieces, _, complete := try(zone[first], id, "", 0, routeTimeout)
	c.mu.Lock()
	c.streams++
	if len(pieces) > 0 {
		c.begun++
	}
	c.mu.Unlock()
	if len(pieces) == 0 || complete {
		return
	}
	other, second, last := zone[(first+1)%len(zone)], newID(), pieces[len(pieces)-1]
	rest, status, _ := try(other, second, id, last.number, time.Until(limit))
	rec.printf("stream %s of %s broke after event %d (%s); taken up at %s as %s: status %d, %d more events",
		id, zone[first].name, last.number, last.version, other.name, second, status, len(rest))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takenUp++
	c.statuses[status]++
	if len(rest) > 0 {
		c.wentOn++
	}
}

// lost plays releases of two replicas of a new version, and kills a node soon after each.
func lost(rec *record, trouble bool) (bool, error) {
	f, err := newVersionFleet(rec, 4)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	count := &lostCount{statuses: map[int]int{}}
	stop := f.sendStreams(func(zone []*node) { count.consume(rec, zone) })
	end := time.Now().Add(lostTimeLimit)
	for release := 0; time.Now().Before(end); release++ {
		time.Sleep(releasePause)
		if err := f.playLostRelease(release, trouble); err != nil {
			return false, err
		}
	}
	stop()
	rec.printf("%d streams, %d of them began; %d taken up, %d of them went on; statuses %v", count.streams, count.begun, count.takenUp, count.wentOn, count.statuses)
	return count.takenUp >= minTakenUp && 2*count.wentOn*count.streams < count.takenUp*count.begun, nil
}

// playLostRelease starts two replicas of a new version, which leave after some seconds. One
// node is killed soon after their entries are written, and started again.
func (f *fleet) playLostRelease(release int, trouble bool) error {
	version := fmt.Sprintf("v%d", 2+release)
	joined := []*replica{f.addVersion(10+2*release, version), f.addVersion(11+2*release, version)}
	for _, r := range joined {
		if err := r.serve(); err != nil {
			return err
		}
		r.register()
	}
	f.record.printf("two replicas of %s join", version)
	time.Sleep(killAfter)
	if victim := f.zone(release % len(zones))[1]; trouble {
		victim.kill()
		f.record.printf("node %s is killed", victim.name)
		time.Sleep(restartAfter)
		if err := victim.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, r := range joined {
		f.store.Set("servers", r.id, r.inner.Entry("draining"))
	}
	time.Sleep(routeTimeout)
	for _, r := range joined {
		f.store.Remove("servers", r.id)
		r.crash()
	}
	return nil
}

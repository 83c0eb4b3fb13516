package rlbdiscovery

import (
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// drainingTTL is how long an incarnation without an entry is remembered as draining: an
// entry that lapsed in an outage of the object API may come back.
const drainingTTL = 10 * time.Minute

// drainingSet holds the incarnations of endpoints that stated in an answer or in their entry
// that they drain. An incarnation that drains never takes new work again, so that what its
// entry says later does not end it: the entry may be older than the answer, or come from a
// copy from which the object API was restored.
type drainingSet map[uint64]time.Time // when the entry was last known, by incarnation

// contains reports whether the incarnation of an endpoint stated that it drains.
func (d drainingSet) contains(e *rlbdeployment.Endpoint) bool {
	if len(d) == 0 {
		return false
	}
	_, known := d[e.IncarnationKey()]
	return known
}

// expire forgets the incarnations that have had no entry since drainingTTL.
func (d drainingSet) expire(now time.Time, hasEntry func(incarnation uint64) bool) {
	for incarnation, lastKnown := range d {
		switch {
		case hasEntry(incarnation):
			d[incarnation] = now
		case now.Sub(lastKnown) > drainingTTL:
			delete(d, incarnation)
		}
	}
}

// MarkDraining records that an incarnation of an endpoint stated in an answer that it
// drains, whatever its entry says. It reports whether that is new.
func (v *View) MarkDraining(e *rlbdeployment.Endpoint, source string) bool {
	return v.MarkDrainingIncarnations([]uint64{e.IncarnationKey()}, source)
}

// MarkDrainingIncarnations records for several incarnations that they drain, see
// MarkDraining and rlbdeployment.Endpoint.IncarnationKey.
func (v *View) MarkDrainingIncarnations(incarnations []uint64, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	added := false
	for _, incarnation := range incarnations {
		if _, known := v.draining[incarnation]; !known {
			v.draining[incarnation] = v.now()
			added = true
		}
	}
	if added && v.applyDraining(source) {
		v.publish()
	}
	return added
}

// applyDraining marks the endpoints whose incarnation drains. It reports whether any was
// not marked yet. v.mu is held.
func (v *View) applyDraining(source string) bool {
	changed := false
	for id, entry := range v.entries {
		if entry.endpoint == nil || entry.endpoint.Draining || !v.draining.contains(entry.endpoint) {
			continue
		}
		marked := *entry.endpoint
		marked.Draining = true
		entry.endpoint, entry.markedDraining = &marked, true
		changed = true
		v.log.WithFields(log.Fields{"endpoint": id, "source": source, "revision": entry.version.String()}).Info("endpoint states that it drains, before its entry does")
	}
	return changed
}

// MarkedDraining returns the incarnations that drain although their entries do not say
// so. Other instances learn them from the digests of this one.
func (v *View) MarkedDraining() []uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.draining) == 0 {
		return nil
	}
	var marked []uint64
	for _, entry := range v.entries {
		if entry.markedDraining {
			marked = append(marked, entry.endpoint.IncarnationKey())
		}
	}
	return marked
}

// expireDraining forgets incarnations that are gone. v.mu is held.
func (v *View) expireDraining() {
	if len(v.draining) == 0 {
		return
	}
	present := map[uint64]bool{}
	for _, entry := range v.entries {
		if entry.endpoint != nil && entry.endpoint.Draining {
			present[entry.endpoint.IncarnationKey()] = true
		}
	}
	v.draining.expire(v.now(), func(incarnation uint64) bool { return present[incarnation] })
}

package rlbdiscovery

import (
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// removedTTL is how long the removal of an entry is remembered: no copy from which the
// object API is restored is older.
const removedTTL = 10 * time.Minute

// removedSet holds the incarnations of endpoints whose entries were removed. A restore of
// the object API brings such an entry back, whether the endpoint is alive or not.
type removedSet map[uint64]*removedEntry

// removedEntry is the removal of an entry.
type removedEntry struct {
	era      uint64 // in which the entry was removed or, after a restore, came back
	forgetAt time.Time
}

// add records that the entry of an endpoint was removed in an era.
func (r removedSet) add(e *rlbdeployment.Endpoint, era uint64, now time.Time) {
	r[e.IncarnationKey()] = &removedEntry{era, now.Add(removedTTL)}
}

// broughtBack reports whether an entry of a version may be back only because the object API
// was restored. Any further write of the entry shows that its endpoint is alive.
func (r removedSet) broughtBack(e *rlbdeployment.Endpoint, version rlbobject.Version) bool {
	key := e.IncarnationKey()
	removed, known := r[key]
	switch {
	case !known:
		return false
	case version.Era() == removed.era:
		delete(r, key)
		return false
	default:
		removed.era = version.Era()
		return true
	}
}

// expire forgets old removals.
func (r removedSet) expire(now time.Time) {
	for incarnation, removed := range r {
		if !now.Before(removed.forgetAt) {
			delete(r, incarnation)
		}
	}
}

// useBroughtBack makes endpoints usable whose entries have been back for longer than the
// platform keeps the entry of a silent endpoint. It reports whether there are any. v.mu is
// held.
func (v *View) useBroughtBack() bool {
	now, changed := v.now(), false
	for id, e := range v.entries {
		if e.unusedUntil.IsZero() || now.Before(e.unusedUntil) {
			continue
		}
		e.unusedUntil = time.Time{}
		changed = true
		v.log.WithFields(log.Fields{"endpoint": id, "revision": e.version.String()}).Info("endpoint is used again: its entry stayed after a restore of the object API")
	}
	return changed
}

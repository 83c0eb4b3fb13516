package rlbdiscovery

import (
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbleaving"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

const (
	// leavingTTL is how long a leaving is remembered that this instance has published. Others
	// may still publish it for some time; it must not become new again through them.
	leavingTTL = time.Minute
	// maxLeavings is how many leavings a digest contains; those beyond are caught up with.
	maxLeavings = 128
	// sameDrop is the difference between two ends of a grace period that may be due to the
	// time that a message takes.
	sameDrop = 20 * time.Millisecond
)

// Removed is the removal of an entry as instances tell it each other before they have caught
// up with each other.
type Removed struct {
	Incarnation uint64 // see rlbdeployment.Endpoint.IncarnationKey
	Version     rlbobject.Version
	DropAt      time.Time // end of the grace period
}

// leaving is an endpoint's leaving that became known from its entry.
type leaving struct {
	removed      Removed // its version is 0 if the endpoint drains
	publishUntil time.Time
}

// leavingSet holds the latest leavings by incarnation. Digests contain them, so that all
// instances learn of them from whichever one knows.
type leavingSet map[uint64]leaving

func (l leavingSet) expire(now time.Time) {
	for incarnation, known := range l {
		if now.Sub(known.publishUntil) > leavingTTL {
			delete(l, incarnation)
		}
	}
}

// SetBound sets the longest time between the acknowledgement that an endpoint leaves and the
// last request to it.
func (v *View) SetBound(bound time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget = rlbleaving.NewBudget(bound)
}

// Budget returns the division of the time that SetBound has set.
func (v *View) Budget() rlbleaving.Budget {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget
}

// LeavingCount returns a number that increases with each leaving that becomes known.
func (v *View) LeavingCount() uint64 { return v.leavingCount.Load() }

// noteDraining notes that an endpoint drains according to its entry. v.mu is held.
func (v *View) noteDraining(e *rlbdeployment.Endpoint) {
	key := e.IncarnationKey()
	if _, known := v.draining[key]; !known {
		v.leavings[key] = leaving{Removed{Incarnation: key}, v.now().Add(v.budget.Bound())}
		v.leavingCount.Add(1)
	}
	v.draining[key] = v.now()
}

// noteRemoved notes that the entry of an endpoint was removed. v.mu is held.
func (v *View) noteRemoved(incarnation uint64, version rlbobject.Version, dropAt time.Time) {
	v.leavings[incarnation] = leaving{Removed{incarnation, version, dropAt}, dropAt.Add(v.budget.Bound() / 2)}
	v.leavingCount.Add(1)
}

// cameBack ends the publication of a removal that an entry follows. v.mu is held.
func (v *View) cameBack(e *rlbdeployment.Endpoint, version rlbobject.Version) {
	key := e.IncarnationKey()
	if l, known := v.leavings[key]; known && l.removed.Version != 0 && l.removed.Version < version {
		l.publishUntil = v.now()
		v.leavings[key] = l
	}
}

// Leavings returns the incarnations that drain, and those whose entries were removed, since
// shortly.
func (v *View) Leavings() (draining []uint64, removed []Removed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for incarnation, l := range v.leavings {
		switch {
		case !now.Before(l.publishUntil) || len(draining)+len(removed) >= maxLeavings:
		case l.removed.Version == 0:
			draining = append(draining, incarnation)
		default:
			removed = append(removed, l.removed)
		}
	}
	return draining, removed
}

// ApplyRemoved applies removals that another instance knows. The grace periods end when they
// do there; the entries themselves are caught up with later.
func (v *View) ApplyRemoved(all []Removed, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range all {
		known, found := v.leavings[r.Incarnation]
		if !found || known.removed.Version < r.Version || r.DropAt.Before(known.removed.DropAt.Add(-sameDrop)) {
			v.applyRemoved(r, source)
		}
	}
}

// applyRemoved applies one removal, unless the entry is newer. v.mu is held.
func (v *View) applyRemoved(r Removed, source string) {
	v.noteRemoved(r.Incarnation, r.Version, r.DropAt)
	for id, e := range v.entries {
		if e.endpoint == nil || e.version > r.Version || e.endpoint.IncarnationKey() != r.Incarnation {
			continue
		}
		if e.dropAt.IsZero() || !e.lapsed && r.DropAt.Before(e.dropAt) {
			v.dropBy(e, r.DropAt)
			v.log.WithFields(log.Fields{"endpoint": id, "source": source, "revision": r.Version.String(), "grace": r.DropAt.Sub(v.now()).String()}).Info("entry of an endpoint was removed")
		}
	}
}

// LimitGraces ends the grace periods that follow no outage at the latest at the time that the
// budget has for removals since the latest message of a watcher, received at heardAt.
func (v *View) LimitGraces(heardAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	latest := v.budget.LatestDropAt(heardAt)
	for id, e := range v.entries {
		if e.dropAt.IsZero() || e.lapsed || !latest.Before(e.dropAt) {
			continue
		}
		v.dropBy(e, latest)
		if known := v.leavings[e.endpoint.IncarnationKey()].removed; known.Version != 0 {
			v.noteRemoved(known.Incarnation, known.Version, latest)
		}
		v.log.WithFields(log.Fields{"endpoint": id, "grace": latest.Sub(v.now()).String()}).Info("shorter grace period of a removed entry: the removal may have been some time ago")
	}
}

// Package rlbdiscovery keeps an instance's view of the deployment: the config in
// force and the entries of the endpoints. Watches of the object API and other
// instances update it; readers get immutable snapshots without locking.
package rlbdiscovery

import (
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcompress"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbleaving"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworkspace"
)

// outageGrace is the grace period before the endpoint of a removed entry is dropped after an
// outage of the object API, in which the entry of a live endpoint may have lapsed. At other
// times rlbleaving.Budget has it.
const outageGrace = 1700 * time.Millisecond

// Decoder decodes the configs of operators and the entries of endpoints.
type Decoder interface {
	Config(value []byte) (*rlbdeployment.Config, error)
	Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error)
}

// Snapshot is an immutable copy of the view.
type Snapshot struct {
	Config    *rlbdeployment.Config // nil: none received yet
	Callers   *rlbworkspace.Index   // the workspaces of Config by key
	ByID      map[string]*rlbdeployment.Endpoint
	ByService map[string][]*rlbdeployment.Endpoint
}

// View is an instance's view of the deployment. It is safe for concurrent use.
type View struct {
	log     log.Interface
	decoder Decoder
	now     func() time.Time
	// silence is the time after which the platform removes the entry of a silent endpoint.
	silence time.Duration
	secret  rlbworkspace.Secret

	mu               sync.Mutex
	config           *rlbdeployment.Config
	callers          *rlbworkspace.Index
	compressedConfig []byte // sent to other instances
	malformedConfig  uint64 // hash of the latest config that could not be decoded; it arrives again and again
	entries          map[string]*entry
	revision         rlbobject.Version // newest version of an entry or removal
	removals         []removal         // the latest ones, at most maxRemovals
	draining         drainingSet
	removed          removedSet
	budget           rlbleaving.Budget
	leavings         leavingSet
	nextDrop         time.Time     // end of the first grace period; zero: none
	leavingCount     atomic.Uint64 // number of leavings that became known
	fingerprint      fingerprint
	// beyondList reports that entries are newer than the list they came from, of several pages:
	// others up to their revision are missing until the changes since the list are read.
	beyondList bool

	snapshot atomic.Pointer[Snapshot]
}

type entry struct {
	raw      []byte
	version  rlbobject.Version
	sum      uint64                  // part of the fingerprint
	endpoint *rlbdeployment.Endpoint // nil: the entry cannot be decoded
	dropAt   time.Time               // end of the grace period after a removal; zero: not removed
	lapsed   bool                    // removed in an outage: it may come back
	recorded bool                    // the removal is among those for instances that catch up
	// markedDraining reports that the endpoint counts as draining because it stated so in
	// an answer, not because its entry does.
	markedDraining bool
	// unusedUntil is when the endpoint may be used; zero: now. It is set if the entry may be
	// back only because the object API was restored.
	unusedUntil time.Time
}

// removal records that an entry was removed.
type removal struct {
	name    string
	version rlbobject.Version
	lapsed  bool // removed in an outage: it may come back
}

// maxRemovals is how many removals are kept for instances that catch up.
const maxRemovals = 256

// New returns an empty view. The platform removes the entry of an endpoint after silence.
func New(logger log.Interface, decoder Decoder, now func() time.Time, silence time.Duration) *View {
	v := &View{
		log: logger, decoder: decoder, now: now, silence: silence, entries: map[string]*entry{}, draining: drainingSet{}, removed: removedSet{}, callers: &rlbworkspace.Index{},
		budget: rlbleaving.NewBudget(rlbleaving.DefaultBound), leavings: leavingSet{},
	}
	_, _ = rand.Read(v.secret[:]) // it never fails
	v.snapshot.Store(&Snapshot{Callers: v.callers})
	return v
}

// Revision returns the newest revision of entries and removals.
func (v *View) Revision() rlbobject.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Snapshot returns the current snapshot.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// ApplyConfig puts a config in force if it is newer than the one in force.
func (v *View) ApplyConfig(value []byte, source string) {
	decoded, err := v.decoder.Config(value)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.logMalformedConfig(value, source, err)
		return
	}
	if v.config != nil && decoded.Version <= v.config.Version {
		return
	}
	v.config, v.compressedConfig = decoded, rlbcompress.Compress(value)
	v.callers = rlbworkspace.NewIndex(decoded.Workspaces(), v.secret)
	v.publish()
	v.log.WithFields(log.Fields{"version": decoded.Version, "routes": decoded.Routes(), "workspaces": decoded.WorkspaceCount(), "source": source}).Info("config in force")
}

// logMalformedConfig logs that a config cannot be decoded, once until another one arrives.
// v.mu is held.
func (v *View) logMalformedConfig(value []byte, source string, err error) {
	hash := xxhash.Sum64(value)
	if hash == v.malformedConfig {
		return
	}
	v.malformedConfig = hash
	v.log.WithError(err).WithField("source", source).Error("failed to decode the config; the previous one stays in force")
}

// ApplyList replaces the entries by the full list at a revision. Endpoints that are
// missing from it are dropped after a grace period, which is longer after an outage, but
// not those whose entries are newer than the list.
func (v *View) ApplyList(objects []rlbobject.Object, revision rlbobject.Version, afterOutage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[string]bool{}
	outdated := 0
	v.beyondList = false
	for _, o := range objects {
		listed[o.Name] = true
		v.beyondList = v.beyondList || o.Version > revision
		if !v.applyEntry(o) {
			outdated++
		}
	}
	v.logOutdated(outdated, revision)
	for id, e := range v.entries {
		if !listed[id] && !e.recorded && e.version <= revision {
			v.remove(id, e, revision, afterOutage)
		}
	}
	v.publish()
}

// ApplyChanges applies changed and removed entries.
func (v *View) ApplyChanges(objects []rlbobject.Object, afterOutage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	outdated, newest := 0, rlbobject.Version(0)
	v.beyondList = false
	for _, o := range objects {
		newest = max(newest, o.Version)
		if !o.Deleted {
			if !v.applyEntry(o) {
				outdated++
			}
			continue
		}
		switch e, known := v.entries[o.Name]; {
		case !known:
			v.keepRemoval(o.Name, o.Version, afterOutage)
		case o.Version >= e.version:
			v.remove(o.Name, e, o.Version, afterOutage)
		default:
			outdated++
		}
	}
	v.logOutdated(outdated, newest)
	v.publish()
}

// logOutdated logs that entries were ignored because newer ones are known.
func (v *View) logOutdated(entries int, newest rlbobject.Version) {
	if entries > 0 {
		v.log.WithFields(log.Fields{"entries": entries, "revision": newest.String(), "known": v.revision.String()}).Info("ignored entries that are older than the known ones")
	}
}

// remove records the removal of an entry and starts its grace period.
func (v *View) remove(id string, e *entry, version rlbobject.Version, lapsed bool) {
	if e.endpoint != nil && !lapsed {
		v.removed.add(e.endpoint, version.Era(), v.now())
	}
	e.recorded = true
	v.keepRemoval(id, version, lapsed)
	v.scheduleDrop(id, e, version, lapsed)
}

// keepRemoval keeps a removal for instances that catch up.
func (v *View) keepRemoval(name string, version rlbobject.Version, lapsed bool) {
	v.removals = append(v.removals, removal{name, version, lapsed})
	if len(v.removals) > maxRemovals {
		v.removals = v.removals[len(v.removals)-maxRemovals:]
	}
	v.revision = max(v.revision, version)
}

// Sweep drops the entries whose grace period has ended and forgets what is no longer needed.
func (v *View) Sweep() {
	v.DropRemoved()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireDraining()
	v.removed.expire(v.now())
	v.leavings.expire(v.now())
	if v.useBroughtBack() {
		v.publish()
	}
}

// DropRemoved drops the entries whose grace period has ended. It costs nothing if there are
// none.
func (v *View) DropRemoved() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	if v.nextDrop.IsZero() || now.Before(v.nextDrop) {
		return
	}
	v.nextDrop = time.Time{}
	for id, e := range v.entries {
		switch {
		case e.dropAt.IsZero():
		case now.Before(e.dropAt):
			v.dropBy(e, e.dropAt)
		default:
			v.dropEntry(id, "entry was removed and did not come back")
		}
	}
	v.publish()
}

// applyEntry applies an entry unless it is the known one or older. It reports false if it is
// older. v.mu is held.
func (v *View) applyEntry(o rlbobject.Object) bool {
	old, known := v.entries[o.Name]
	if known && o.Version < old.version {
		return false
	}
	if known && o.Version == old.version && old.dropAt.IsZero() {
		return true
	}
	next := &entry{raw: o.Value, version: o.Version, sum: sumOf(o.Name, o.Version)}
	decoded, err := v.decoder.Endpoint(o.Name, o.Value)
	if err != nil {
		next.raw = nil // of any size; other instances need to know only that there is no endpoint
		v.log.WithError(err).WithField("endpoint", o.Name).Warn("failed to decode the entry of an endpoint; the endpoint is not used")
	} else {
		v.applyEndpoint(next, decoded)
	}
	v.entries[o.Name] = next
	v.revision = max(v.revision, o.Version)
	v.logEntry(o.Name, old, next)
	return true
}

// applyEndpoint sets the endpoint of an entry. What is known to drain, or to be gone, is not
// used because an older entry says otherwise.
func (v *View) applyEndpoint(e *entry, endpoint *rlbdeployment.Endpoint) {
	e.endpoint = endpoint
	v.cameBack(endpoint, e.version)
	if endpoint.Draining {
		v.noteDraining(endpoint)
	}
	e.markedDraining = !endpoint.Draining && v.draining.contains(endpoint)
	endpoint.Draining = endpoint.Draining || e.markedDraining
	if v.removed.broughtBack(endpoint, e.version) {
		e.unusedUntil = v.now().Add(v.silence)
		v.log.WithFields(log.Fields{"endpoint": endpoint.ID, "revision": e.version.String()}).Info("entry of a removed endpoint is back after a restore of the object API; it is not used yet")
	}
}

func (v *View) logEntry(id string, old, next *entry) {
	if next.endpoint == nil {
		return
	}
	if old == nil || old.endpoint == nil || !old.endpoint.SameIncarnation(next.endpoint) || old.endpoint.Draining != next.endpoint.Draining {
		v.log.WithFields(log.Fields{
			"endpoint": id, "address": next.endpoint.Address, "leaving": next.endpoint.Draining,
			"revision": next.version.String(), "holds": next.endpoint.LoadedModels, "software": next.endpoint.SoftwareVersion,
		}).Info("endpoint discovered or updated")
	}
}

// scheduleDrop starts the grace period of a removed entry. An entry that cannot be
// decoded, or of a draining endpoint, is dropped at once.
func (v *View) scheduleDrop(id string, e *entry, version rlbobject.Version, afterOutage bool) {
	if e.endpoint == nil || e.endpoint.Draining {
		v.dropEntry(id, "entry was removed")
		return
	}
	if !e.dropAt.IsZero() {
		return
	}
	if afterOutage {
		e.lapsed = true
		v.dropBy(e, v.now().Add(outageGrace))
		return
	}
	v.dropBy(e, v.budget.DropAt(v.now()))
	v.noteRemoved(e.endpoint.IncarnationKey(), version, e.dropAt)
}

// dropBy ends the grace period of an entry at a time.
func (v *View) dropBy(e *entry, at time.Time) {
	e.dropAt = at
	v.fingerprint.valid = false
	if v.nextDrop.IsZero() || at.Before(v.nextDrop) {
		v.nextDrop = at
	}
}

func (v *View) dropEntry(id, reason string) {
	if e := v.entries[id]; e.endpoint != nil {
		v.removed.add(e.endpoint, v.revision.Era(), v.now())
	}
	delete(v.entries, id)
	v.log.WithFields(log.Fields{"endpoint": id, "reason": reason}).Info("endpoint removed")
}

// publish builds and stores a new snapshot.
func (v *View) publish() {
	s := &Snapshot{Config: v.config, Callers: v.callers, ByID: map[string]*rlbdeployment.Endpoint{}, ByService: map[string][]*rlbdeployment.Endpoint{}}
	for id, e := range v.entries {
		if e.endpoint == nil || !e.unusedUntil.IsZero() {
			continue
		}
		s.ByID[id] = e.endpoint
		s.ByService[e.endpoint.Service] = append(s.ByService[e.endpoint.Service], e.endpoint)
	}
	v.snapshot.Store(s)
	v.fingerprint.valid = false
}

// Changes are configs and entries in the encoding of the object API.
type Changes struct {
	Config  []byte // compressed, see Decompress; empty: not newer
	Entries []rlbobject.Object
	Lapsed  []rlbobject.Object // entries removed in an outage, which may come back
}

// ChangesSince returns the config if it is newer than a version, and the entries and
// the latest removals that are newer than a revision.
func (v *View) ChangesSince(config uint64, entries rlbobject.Version) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes Changes
	if v.config != nil && v.config.Version > config {
		changes.Config = v.compressedConfig
	}
	for id, e := range v.entries {
		if e.version > entries {
			changes.Entries = append(changes.Entries, rlbobject.Object{Name: id, Version: e.version, Value: e.raw})
		}
	}
	for _, r := range v.removals {
		if e := v.entries[r.name]; r.version <= entries || e != nil && e.dropAt.IsZero() {
			continue // not newer, or the entry came back
		}
		o := rlbobject.Object{Name: r.name, Version: r.version, Deleted: true}
		if r.lapsed {
			changes.Lapsed = append(changes.Lapsed, o)
		} else {
			changes.Entries = append(changes.Entries, o)
		}
	}
	return changes
}

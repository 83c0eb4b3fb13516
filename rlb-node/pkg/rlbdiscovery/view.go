// Package rlbdiscovery is what an instance knows of the deployment: the config in
// force and the entries of the endpoints. It is fed by watches of the object API
// and by other instances, and read without locks.
package rlbdiscovery

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Times for which an entry that is removed may come back.
const (
	returnGrace = 1700 * time.Millisecond // after an outage of the object API
	removeGrace = 900 * time.Millisecond  // an outage may have been too short to be noticed
)

// Decoder reads what operators and endpoints write.
type Decoder interface {
	Config(value []byte) (*rlbdeployment.Config, error)
	Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error)
}

// Snapshot is the view at one moment. It is never changed.
type Snapshot struct {
	Config    *rlbdeployment.Config // nil: none is known yet
	ByID      map[string]*rlbdeployment.Endpoint
	ByService map[string][]*rlbdeployment.Endpoint
}

// View is an instance's view. Its methods may be called from any goroutine.
type View struct {
	log     log.Interface
	decoder Decoder
	now     func() time.Time

	mu        sync.Mutex
	config    *rlbdeployment.Config
	rawConfig []byte // compressed, as other instances get it
	entries   map[string]*entry
	revision  rlbobject.Version // newest of the entries and of removals
	removed   []removal         // the latest ones

	snapshot atomic.Pointer[Snapshot]
}

type entry struct {
	raw      []byte
	version  rlbobject.Version
	endpoint *rlbdeployment.Endpoint // nil: the entry names none
	gone     time.Time               // when it is dropped; zero: it stays
}

// removal is an entry that was removed.
type removal struct {
	name    string
	version rlbobject.Version
	lapsed  bool // in an outage: it may come back
}

// keptRemovals is how many removals are remembered for those that ask.
const keptRemovals = 256

// New returns an empty view.
func New(logger log.Interface, decoder Decoder, now func() time.Time) *View {
	v := &View{log: logger, decoder: decoder, now: now, entries: map[string]*entry{}}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Revision returns the newest revision of the entries.
func (v *View) Revision() rlbobject.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Snapshot returns the present view.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// ApplyConfig puts a config in force if it is newer than the present one.
func (v *View) ApplyConfig(value []byte, source string) {
	decoded, err := v.decoder.Config(value)
	if err != nil {
		v.log.WithError(err).WithField("source", source).Error("config cannot be read; the old one stays in force")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config != nil && decoded.Version <= v.config.Version {
		return
	}
	v.config, v.rawConfig = decoded, compress(value)
	v.publish()
	v.log.WithFields(log.Fields{"version": decoded.Version, "routes": decoded.Routes(), "source": source}).Info("config in force")
}

// ApplyList takes the full list of entries at a revision. Entries that it lacks are dropped, at
// once or, after an outage, when they had time to come back.
func (v *View) ApplyList(objects []rlbobject.Object, revision rlbobject.Version, afterOutage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		v.put(o)
	}
	for id, e := range v.entries {
		if !listed[id] && e.gone.IsZero() {
			v.noteRemoval(id, max(e.version, revision), afterOutage)
			v.drop(id, e, afterOutage)
		}
	}
	v.publish()
}

// ApplyChanges takes changed entries.
func (v *View) ApplyChanges(objects []rlbobject.Object, afterOutage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range objects {
		if !o.Deleted {
			v.put(o)
			continue
		}
		if e, known := v.entries[o.Name]; known && o.Version >= e.version {
			v.noteRemoval(o.Name, o.Version, afterOutage)
			v.drop(o.Name, e, afterOutage)
		}
	}
	v.publish()
}

func (v *View) noteRemoval(name string, version rlbobject.Version, lapsed bool) {
	v.removed = append(v.removed, removal{name, version, lapsed})
	if len(v.removed) > keptRemovals {
		v.removed = v.removed[len(v.removed)-keptRemovals:]
	}
	v.revision = max(v.revision, version)
}

// Sweep drops entries whose time to come back has passed.
func (v *View) Sweep() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, dropped := v.now(), false
	for id, e := range v.entries {
		if !e.gone.IsZero() && !now.Before(e.gone) {
			v.forget(id, "removed from the list, and not back")
			dropped = true
		}
	}
	if dropped {
		v.publish()
	}
}

func (v *View) put(o rlbobject.Object) {
	old, known := v.entries[o.Name]
	if known && (o.Version < old.version || o.Version == old.version && old.gone.IsZero()) {
		return
	}
	next := &entry{raw: o.Value, version: o.Version}
	decoded, err := v.decoder.Endpoint(o.Name, o.Value)
	if err != nil {
		v.log.WithError(err).WithField("endpoint", o.Name).Warn("entry of an endpoint cannot be read; it is not used")
	} else {
		next.endpoint = decoded
	}
	v.entries[o.Name] = next
	v.revision = max(v.revision, o.Version)
	v.logPut(o.Name, old, next)
}

func (v *View) logPut(id string, old, next *entry) {
	if next.endpoint == nil {
		return
	}
	if old == nil || old.endpoint == nil || !old.endpoint.SameIncarnation(next.endpoint) || old.endpoint.Draining != next.endpoint.Draining {
		v.log.WithFields(log.Fields{
			"endpoint": id, "address": next.endpoint.Address, "leaving": next.endpoint.Draining,
			"revision": uint64(next.version), "holds": next.endpoint.LoadedModels,
		}).Info("endpoint known")
	}
}

func (v *View) drop(id string, e *entry, afterOutage bool) {
	if e.endpoint == nil || e.endpoint.Draining {
		v.forget(id, "removed from the list")
		return
	}
	if !e.gone.IsZero() {
		return
	}
	e.gone = v.now().Add(removeGrace)
	if afterOutage {
		e.gone = v.now().Add(returnGrace)
	}
}

func (v *View) forget(id, reason string) {
	delete(v.entries, id)
	v.log.WithFields(log.Fields{"endpoint": id, "reason": reason}).Info("endpoint gone")
}

// publish makes a new snapshot.
func (v *View) publish() {
	s := &Snapshot{Config: v.config, ByID: map[string]*rlbdeployment.Endpoint{}, ByService: map[string][]*rlbdeployment.Endpoint{}}
	for id, e := range v.entries {
		if e.endpoint == nil {
			continue
		}
		s.ByID[id] = e.endpoint
		s.ByService[e.endpoint.Service] = append(s.ByService[e.endpoint.Service], e.endpoint)
	}
	v.snapshot.Store(s)
}

// Known is what a view was made from, as it stands in the object API.
type Known struct {
	Config  []byte // compressed, see Expand; empty: not newer
	Entries []rlbobject.Object
	Lapsed  []rlbobject.Object // removed in an outage: they may come back
}

// Known returns what is newer than a config's version and a revision of entries.
func (v *View) Known(config uint64, entries rlbobject.Version) Known {
	v.mu.Lock()
	defer v.mu.Unlock()
	var k Known
	if v.config != nil && v.config.Version > config {
		k.Config = v.rawConfig
	}
	for id, e := range v.entries {
		if e.version > entries {
			k.Entries = append(k.Entries, rlbobject.Object{Name: id, Version: e.version, Value: e.raw})
		}
	}
	for _, r := range v.removed {
		if e := v.entries[r.name]; r.version <= entries || e != nil && e.gone.IsZero() {
			continue // known, or back again
		}
		o := rlbobject.Object{Name: r.name, Version: r.version, Deleted: true}
		if r.lapsed {
			k.Lapsed = append(k.Lapsed, o)
		} else {
			k.Entries = append(k.Entries, o)
		}
	}
	return k
}

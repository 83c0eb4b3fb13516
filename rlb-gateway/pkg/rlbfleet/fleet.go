// Package rlbfleet keeps a gateway's view of the fleet: the release note in
// force and the endpoints that serve each model and plain service.
package rlbfleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// crossDomainLatency is the assumed one-way latency between failure domains.
const crossDomainLatency = 1500 * time.Microsecond

// defaultSlots is the assumed number of slots of an endpoint that has not reported
// any.
const defaultSlots = 32

// Expiry of state that is no longer updated.
const (
	expireInterval = 10 * time.Second
	processTTL     = 10 * time.Minute // time without a heartbeat after which a process is removed
)

// Fleet is a gateway's view of the fleet. It is safe for concurrent use.
type Fleet struct {
	domain             string
	now                func() time.Time
	mu                 sync.Mutex
	state              *rlbfleetstate.State
	endpoints          map[string]*rlbroute.Endpoint // by ID
	entries            map[string]routeEntry         // of the current routes, by endpoint ID
	builtFrom          revisions
	appliedLoads       rlbtable.Revision // of the load reports applied to the endpoints
	nextExpire         time.Time         // time of the next call of state.Expire
	crashCauses        *rlbcrash.Evidence
	nextAnsweredPart   map[uint64]time.Time                     // when TakeAnsweredParts may return a part of a prompt again
	unpublishedCrashes map[rlbfleetstate.CrashKey]chan struct{} // closed once the controllers have published the crash record
	routes             atomic.Pointer[Routes]
}

// revisions are the table revisions that the routes were built from.
type revisions struct {
	instances, engines rlbtable.Revision
}

// New returns an empty view for a gateway in a failure domain.
func New(domain string, now func() time.Time) *Fleet {
	f := &Fleet{domain: domain, now: now, state: rlbfleetstate.New(), endpoints: map[string]*rlbroute.Endpoint{}, entries: map[string]routeEntry{}, unpublishedCrashes: map[rlbfleetstate.CrashKey]chan struct{}{}, nextAnsweredPart: map[uint64]time.Time{}}
	f.crashCauses = rlbcrash.New(rlbcrash.Opts{Now: now})
	f.routes.Store(&Routes{})
	return f
}

// Routes returns the current routes.
func (f *Fleet) Routes() *Routes { return f.routes.Load() }

// ApplyUpdate applies an update from a controller.
func (f *Fleet) ApplyUpdate(u rlbfleetstate.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.learnFromCrashes(u.Crashes)
	f.state.Merge(u, rlbfleetstate.OriginSameDomain, now)
	if now.After(f.nextExpire) {
		f.nextExpire = now.Add(expireInterval)
		f.state.Expire(now, now.Add(-processTTL))
	}
	f.confirmPublished(u.Crashes)
	f.updateRoutes(f.changedEndpoints())
	f.applyLoadReports(now)
}

// changedEndpoints returns the ids of the endpoints with changes that affect the
// routes. f.mu must be held.
func (f *Fleet) changedEndpoints() map[string]struct{} {
	ids := map[string]struct{}{}
	instances, _ := f.state.Instances().Since(f.builtFrom.instances)
	for _, c := range instances {
		ids[c.Key] = struct{}{}
	}
	engines, _ := f.state.Engines().Since(f.builtFrom.engines)
	for _, c := range engines {
		ids[c.Key] = struct{}{}
	}
	loads, _ := f.state.Loads().Since(f.appliedLoads)
	for _, c := range loads {
		if entry, routed := f.entries[c.Key]; routed && c.Row.Slots > 0 && entry.endpoint.Slots() != c.Row.Slots {
			ids[c.Key] = struct{}{}
		}
	}
	return ids
}

// updateRoutes publishes new routes if the note or an endpoint changed. It rebuilds
// only the routes of the endpoints in ids. f.mu must be held.
func (f *Fleet) updateRoutes(ids map[string]struct{}) {
	f.builtFrom = revisions{f.state.Instances().Revision(), f.state.Engines().Revision()}
	if len(ids) == 0 && f.state.Note().Version == f.Routes().Note().Version {
		return
	}
	routes := f.Routes().clone(f.state.Note())
	for id := range ids {
		if before, routed := f.entries[id]; routed {
			routes.remove(before)
			delete(f.entries, id)
		}
		if _, known := f.state.Instances().Get(id); !known {
			delete(f.endpoints, id)
		}
		if entry, serves := f.entryFor(id); serves {
			routes.add(entry)
			f.entries[id] = entry
		}
	}
	f.routes.Store(routes)
}

// entryFor returns the route entry of an endpoint, or false if it must not get
// requests. f.mu must be held.
func (f *Fleet) entryFor(id string) (routeEntry, bool) {
	instance, known := f.state.Instances().Get(id)
	if !known || !instance.Serves() {
		return routeEntry{}, false
	}
	if instance.Type == rlbinstance.TypeService {
		return routeEntry{endpoint: f.endpointFor(instance, 0), service: instance.Role}, true
	}
	engine, known := f.state.Engines().Get(id)
	if instance.Type != rlbinstance.TypeEngine || !known || engine.Draining {
		return routeEntry{}, false
	}
	entry := routeEntry{endpoint: f.endpointFor(instance, engine.Incarnation), unreachable: engine.Unreachable}
	for _, r := range engine.Residents {
		if r.Phase == rlbengine.PhaseReady {
			entry.models = append(entry.models, modelVersion{r.Name, r.Version})
		}
	}
	return entry, true
}

// gatewayTimeout is the time without a heartbeat after which a gateway is not counted.
const gatewayTimeout = 10 * time.Second

// Gateways returns the number of gateways with recent heartbeats that are known to
// this one. It is at least 1.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := 0, f.now()
	f.state.Processes().All(func(key rlbfleetstate.ProcessKey, _ rlbfleetstate.Process) bool {
		if key.Type == rlbfleetstate.ProcessGateway && now.Sub(f.state.LastHeartbeat(key)) < gatewayTimeout {
			n++
		}
		return true
	})
	return max(1, n)
}

// endpointFor returns the endpoint of an instance. It creates a new one if the
// instance restarted or its properties changed. f.mu must be held.
func (f *Fleet) endpointFor(instance rlbfleetstate.Instance, incarnation uint64) *rlbroute.Endpoint {
	opts := rlbroute.EndpointOpts{
		ID: instance.ID, Address: instance.Address, FailureDomain: instance.FailureDomain,
		Incarnation: incarnation, Slots: defaultSlots,
	}
	if instance.FailureDomain != f.domain {
		opts.Latency = crossDomainLatency
	}
	if load, known := f.state.Loads().Get(instance.ID); known && load.Slots > 0 {
		opts.Slots = load.Slots
	}
	if e, known := f.endpoints[instance.ID]; known && e.Opts() == opts {
		return e
	}
	e := rlbroute.NewEndpoint(opts)
	f.endpoints[instance.ID] = e
	return e
}

// applyLoadReports applies new load reports to the endpoints. f.mu must be held.
func (f *Fleet) applyLoadReports(now time.Time) {
	changes, _ := f.state.Loads().Since(f.appliedLoads)
	f.appliedLoads = f.state.Loads().Revision()
	for _, change := range changes {
		if e, known := f.endpoints[change.Key]; known {
			e.ApplyReport(change.Row.Running+change.Row.Waiting, change.Row.Adapters, now)
		}
	}
}

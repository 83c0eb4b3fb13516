// Package rlbfleet keeps a gateway's view of the fleet: the release note in
// force and the endpoints that serve each model and plain service.
package rlbfleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// crossDomainLatency is the one-way latency between failure domains.
const crossDomainLatency = 1500 * time.Microsecond

// defaultSlots is assumed for an endpoint that has not reported its slots.
const defaultSlots = 32

// Terms of forgetting.
const (
	expireInterval = 10 * time.Second
	nodeTTL        = 10 * time.Minute
)

// Fleet is the view. It is safe for concurrent use.
type Fleet struct {
	domain             string
	now                func() time.Time
	mu                 sync.Mutex
	state              *rlbfleetstate.State
	endpoints          map[string]*rlbroute.Endpoint
	entries            map[string]routeEntry
	builtFrom          revisions
	appliedLoads       rlbtable.Revision
	nextExpire         time.Time                                // of the next look for what to forget
	unpublishedCrashes map[rlbfleetstate.CrashKey]chan struct{} // strikes that the controllers have yet to tell
	routes             atomic.Pointer[Routes]
}

// revisions are those of the tables that routes are built from.
type revisions struct {
	instances, engines rlbtable.Revision
}

// New returns the view of a gateway in a failure domain.
func New(domain string, now func() time.Time) *Fleet {
	f := &Fleet{domain: domain, now: now, state: rlbfleetstate.New(), endpoints: map[string]*rlbroute.Endpoint{}, entries: map[string]routeEntry{}, unpublishedCrashes: map[rlbfleetstate.CrashKey]chan struct{}{}}
	f.routes.Store(&Routes{})
	return f
}

// Routes returns the present routes.
func (f *Fleet) Routes() *Routes { return f.routes.Load() }

// ApplyUpdate takes what a controller tells.
func (f *Fleet) ApplyUpdate(u rlbfleetstate.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.state.Merge(u, rlbfleetstate.OriginSameDomain, now)
	if now.After(f.nextExpire) {
		f.nextExpire = now.Add(expireInterval)
		f.state.Expire(now, now.Add(-nodeTTL))
	}
	f.confirmPublished(u.Crashes)
	f.updateRoutes(f.changedEndpoints())
	f.applyLoadReports(now)
}

// changedEndpoints returns the names of the endpoints of which something changed that
// routes depend on; f.mu is held.
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
		if p, placed := f.entries[c.Key]; placed && c.Row.Slots > 0 && p.endpoint.Slots() != c.Row.Slots {
			ids[c.Key] = struct{}{}
		}
	}
	return ids
}

// updateRoutes publishes new routes if the note or an endpoint changed. Its work is
// that of what changed; f.mu is held.
func (f *Fleet) updateRoutes(ids map[string]struct{}) {
	f.builtFrom = revisions{f.state.Instances().Revision(), f.state.Engines().Revision()}
	if len(ids) == 0 && f.state.Note().Version == f.Routes().Note().Version {
		return
	}
	routes := f.Routes().clone(f.state.Note())
	for id := range ids {
		if before, placed := f.entries[id]; placed {
			routes.remove(before)
			delete(f.entries, id)
		}
		if _, known := f.state.Instances().Get(id); !known {
			delete(f.endpoints, id)
		}
		if p, serves := f.entryFor(id); serves {
			routes.add(p)
			f.entries[id] = p
		}
	}
	f.routes.Store(routes)
}

// entryFor returns where the routes should have an endpoint; f.mu is held.
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
	p := routeEntry{endpoint: f.endpointFor(instance, engine.Incarnation), unreachable: engine.Unreachable}
	for _, r := range engine.Residents {
		if r.Phase == rlbengine.PhaseReady {
			p.models = append(p.models, modelVersion{r.Name, r.Version})
		}
	}
	return p, true
}

// gatewayTimeout is after how long a gateway without heartbeats does not count.
const gatewayTimeout = 10 * time.Second

// Gateways returns how many gateways are known, this one among them.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := 0, f.now()
	f.state.Nodes().All(func(key rlbfleetstate.NodeKey, _ rlbfleetstate.Node) bool {
		if key.Type == rlbfleetstate.NodeGateway && now.Sub(f.state.LastHeartbeat(key)) < gatewayTimeout {
			n++
		}
		return true
	})
	return max(1, n)
}

// endpointFor returns the entity of an instance, a new one if it started anew.
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

// applyLoadReports hands new load reports to the endpoints; f.mu is held.
func (f *Fleet) applyLoadReports(now time.Time) {
	changes, _ := f.state.Loads().Since(f.appliedLoads)
	f.appliedLoads = f.state.Loads().Revision()
	for _, change := range changes {
		if e, known := f.endpoints[change.Key]; known {
			e.ApplyReport(change.Row.Running+change.Row.Waiting, change.Row.Adapters, now)
		}
	}
}

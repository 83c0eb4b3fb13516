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

// distanceBetweenDomains is the one-way latency between failure domains.
const distanceBetweenDomains = 1500 * time.Microsecond

// defaultSlots is assumed for an endpoint that has not reported its slots.
const defaultSlots = 32

// Terms of forgetting.
const (
	expirePeriod = 10 * time.Second
	forgetNodes  = 10 * time.Minute
)

// Fleet is the view. It is safe for concurrent use.
type Fleet struct {
	domain    string
	now       func() time.Time
	mu        sync.Mutex
	world     *rlbfleetstate.State
	endpoints map[string]*rlbroute.Endpoint
	places    map[string]place
	built     revisions
	loads     rlbtable.Revision
	expire    time.Time                                // of the next look for what to forget
	echoes    map[rlbfleetstate.CrashKey]chan struct{} // strikes that the controllers have yet to tell
	routes    atomic.Pointer[Routes]
}

// revisions are those of the tables that routes are built from.
type revisions struct {
	instances, engines rlbtable.Revision
}

// New returns the view of a gateway in a failure domain.
func New(domain string, now func() time.Time) *Fleet {
	f := &Fleet{domain: domain, now: now, world: rlbfleetstate.New(), endpoints: map[string]*rlbroute.Endpoint{}, places: map[string]place{}, echoes: map[rlbfleetstate.CrashKey]chan struct{}{}}
	f.routes.Store(&Routes{})
	return f
}

// Routes returns the present routes.
func (f *Fleet) Routes() *Routes { return f.routes.Load() }

// Update takes what a controller tells.
func (f *Fleet) Update(u rlbfleetstate.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.world.Merge(u, rlbfleetstate.OriginSameDomain, now)
	if now.After(f.expire) {
		f.expire = now.Add(expirePeriod)
		f.world.Expire(now, now.Add(-forgetNodes))
	}
	f.echo(u.Crashes)
	f.reroute(f.changed())
	f.report(now)
}

// changed returns the names of the endpoints of which something changed that
// routes depend on; f.mu is held.
func (f *Fleet) changed() map[string]struct{} {
	ids := map[string]struct{}{}
	instances, _ := f.world.Instances().Since(f.built.instances)
	for _, c := range instances {
		ids[c.Key] = struct{}{}
	}
	engines, _ := f.world.Engines().Since(f.built.engines)
	for _, c := range engines {
		ids[c.Key] = struct{}{}
	}
	loads, _ := f.world.Loads().Since(f.loads)
	for _, c := range loads {
		if p, placed := f.places[c.Key]; placed && c.Row.Slots > 0 && p.endpoint.Slots() != c.Row.Slots {
			ids[c.Key] = struct{}{}
		}
	}
	return ids
}

// reroute publishes new routes if the note or an endpoint changed. Its work is
// that of what changed; f.mu is held.
func (f *Fleet) reroute(ids map[string]struct{}) {
	f.built = revisions{f.world.Instances().Revision(), f.world.Engines().Revision()}
	if len(ids) == 0 && f.world.Note().Version == f.Routes().Note().Version {
		return
	}
	routes := f.Routes().next(f.world.Note())
	for id := range ids {
		if before, placed := f.places[id]; placed {
			routes.remove(before)
			delete(f.places, id)
		}
		if _, known := f.world.Instances().Get(id); !known {
			delete(f.endpoints, id)
		}
		if p, serves := f.placeOf(id); serves {
			routes.add(p)
			f.places[id] = p
		}
	}
	f.routes.Store(routes)
}

// placeOf returns where the routes should have an endpoint; f.mu is held.
func (f *Fleet) placeOf(id string) (place, bool) {
	instance, known := f.world.Instances().Get(id)
	if !known || !instance.Serves() {
		return place{}, false
	}
	if instance.Type == rlbinstance.TypeService {
		return place{endpoint: f.endpoint(instance, 0), service: instance.Role}, true
	}
	engine, known := f.world.Engines().Get(id)
	if instance.Type != rlbinstance.TypeEngine || !known || engine.Draining {
		return place{}, false
	}
	p := place{endpoint: f.endpoint(instance, engine.Incarnation), lost: engine.Unreachable}
	for _, r := range engine.Residents {
		if r.Phase == rlbengine.PhaseReady {
			p.models = append(p.models, modelVersion{r.Name, r.Version})
		}
	}
	return p, true
}

// gatewaySilence is after how long a gateway without heartbeats does not count.
const gatewaySilence = 10 * time.Second

// Gateways returns how many gateways are known, this one among them.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := 0, f.now()
	f.world.Nodes().All(func(key rlbfleetstate.NodeKey, _ rlbfleetstate.Node) bool {
		if key.Type == rlbfleetstate.NodeGateway && now.Sub(f.world.LastHeartbeat(key)) < gatewaySilence {
			n++
		}
		return true
	})
	return max(1, n)
}

// endpoint returns the entity of an instance, a new one if it started anew.
func (f *Fleet) endpoint(instance rlbfleetstate.Instance, incarnation uint64) *rlbroute.Endpoint {
	opts := rlbroute.EndpointOpts{
		ID: instance.ID, Address: instance.Address, FailureDomain: instance.FailureDomain,
		Incarnation: incarnation, Slots: defaultSlots,
	}
	if instance.FailureDomain != f.domain {
		opts.Latency = distanceBetweenDomains
	}
	if load, known := f.world.Loads().Get(instance.ID); known && load.Slots > 0 {
		opts.Slots = load.Slots
	}
	if e, known := f.endpoints[instance.ID]; known && e.Opts() == opts {
		return e
	}
	e := rlbroute.NewEndpoint(opts)
	f.endpoints[instance.ID] = e
	return e
}

// report hands new load reports to the endpoints; f.mu is held.
func (f *Fleet) report(now time.Time) {
	changes, _ := f.world.Loads().Since(f.loads)
	f.loads = f.world.Loads().Revision()
	for _, change := range changes {
		if e, known := f.endpoints[change.Key]; known {
			e.ApplyReport(change.Row.Running+change.Row.Waiting, change.Row.Adapters, now)
		}
	}
}

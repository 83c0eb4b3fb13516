// Package rlbfleet keeps a gateway's view of the fleet: the release note in
// force and the endpoints that serve each model and plain service.
package rlbfleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// distanceBetweenDomains is the one-way latency between failure domains.
const distanceBetweenDomains = 1500 * time.Microsecond

// defaultSlots is assumed for an endpoint that has not reported its slots.
const defaultSlots = 32

// Routes is what a gateway routes by. It never changes once published.
type Routes struct {
	note     rlbnote.State
	models   map[string][]served // by name, versions in order
	services map[string][]*rlbroute.Endpoint
}

// served is one version of a model with the endpoints that have it ready.
type served struct {
	version   string
	endpoints []*rlbroute.Endpoint
	lost      bool // all of them: none of which control hears has the version
}

// Note returns the release state in force.
func (r *Routes) Note() rlbnote.State { return r.note }

// Model returns the endpoints that serve a model and the version they serve:
// the wanted one or, until a replica of that is ready, the one that most
// endpoints still have.
func (r *Routes) Model(name, wanted string) (endpoints []*rlbroute.Endpoint, version string) {
	for _, s := range r.models[name] {
		if s.version == wanted {
			return s.endpoints, wanted
		}
		if len(s.endpoints) > len(endpoints) {
			endpoints, version = s.endpoints, s.version
		}
	}
	return endpoints, version
}

// Candidates returns the endpoints of a model or plain service.
func (r *Routes) Candidates(name string) []*rlbroute.Endpoint {
	if m, inForce := r.note.Models[name]; inForce {
		endpoints, _ := r.Model(name, m.Version)
		return endpoints
	}
	return r.services[name]
}

// Version returns the endpoints that serve exactly a version of a model.
func (r *Routes) Version(name, version string) []*rlbroute.Endpoint {
	for _, s := range r.models[name] {
		if s.version == version {
			return s.endpoints
		}
	}
	return nil
}

// add notes that an endpoint serves a version of a model. One that control
// calls lost is used only while there is no other.
func (r *Routes) add(name, version string, e *rlbroute.Endpoint, lost bool) {
	for i, s := range r.models[name] {
		switch {
		case s.version != version:
			continue
		case s.lost && !lost:
			r.models[name][i] = served{version, []*rlbroute.Endpoint{e}, false}
		case s.lost == lost:
			r.models[name][i].endpoints = append(s.endpoints, e)
		}
		return
	}
	r.models[name] = append(r.models[name], served{version, []*rlbroute.Endpoint{e}, lost})
}

// Service returns the endpoints of a plain service.
func (r *Routes) Service(name string) []*rlbroute.Endpoint { return r.services[name] }

// Fleet is the view. It is safe for concurrent use.
type Fleet struct {
	domain    string
	now       func() time.Time
	mu        sync.Mutex
	world     *rlbworld.World
	endpoints map[string]*rlbroute.Endpoint
	built     revisions
	loads     rlbtable.Revision
	echoes    map[rlbworld.StrikeKey]chan struct{} // strikes that the controllers have yet to tell
	routes    atomic.Pointer[Routes]
}

// revisions are those of the tables that routes are built from.
type revisions struct {
	note               uint64
	instances, engines rlbtable.Revision
}

// New returns the view of a gateway in a failure domain.
func New(domain string, now func() time.Time) *Fleet {
	f := &Fleet{domain: domain, now: now, world: rlbworld.New(), endpoints: map[string]*rlbroute.Endpoint{}, echoes: map[rlbworld.StrikeKey]chan struct{}{}}
	f.routes.Store(&Routes{})
	return f
}

// Routes returns the present routes.
func (f *Fleet) Routes() *Routes { return f.routes.Load() }

// Update takes what a controller tells.
func (f *Fleet) Update(u rlbworld.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.world.Merge(u, rlbworld.OriginDomain, now)
	f.echo(u.Strikes)
	current := revisions{f.world.Note().Version, f.world.Instances().Revision(), f.world.Engines().Revision()}
	if current != f.built {
		f.rebuild()
		f.built = current
	}
	f.report(now)
}

// gatewaySilence is after how long a gateway without heartbeats does not count.
const gatewaySilence = 10 * time.Second

// Gateways returns how many gateways are known, this one among them.
func (f *Fleet) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := 0, f.now()
	f.world.Nodes().All(func(key rlbworld.NodeKey, _ rlbworld.Node) bool {
		if key.Type == rlbworld.NodeGateway && now.Sub(f.world.Heard(key)) < gatewaySilence {
			n++
		}
		return true
	})
	return max(1, n)
}

// rebuild makes new routes; f.mu is held.
func (f *Fleet) rebuild() {
	routes := &Routes{
		note:     f.world.Note(),
		models:   map[string][]served{},
		services: map[string][]*rlbroute.Endpoint{},
	}
	f.world.Instances().All(func(_ string, instance rlbworld.Instance) bool {
		if !instance.Serves() {
			return true
		}
		switch instance.Type {
		case rlbinstance.TypeService:
			e := f.endpoint(instance, 0)
			routes.services[instance.Role] = append(routes.services[instance.Role], e)
		case rlbinstance.TypeEngine:
			f.addEngine(routes, instance)
		}
		return true
	})
	f.routes.Store(routes)
}

func (f *Fleet) addEngine(routes *Routes, instance rlbworld.Instance) {
	engine, known := f.world.Engines().Get(instance.ID)
	if !known || engine.Draining {
		return
	}
	e := f.endpoint(instance, engine.Incarnation)
	for _, resident := range engine.Residents {
		if resident.Phase == rlbengine.PhaseReady {
			routes.add(resident.Name, resident.Version, e, engine.Lost)
		}
	}
}

// endpoint returns the entity of an instance, a new one if it started anew.
func (f *Fleet) endpoint(instance rlbworld.Instance, incarnation uint64) *rlbroute.Endpoint {
	opts := rlbroute.EndpointOpts{
		ID: instance.ID, Address: instance.Address, FailureDomain: instance.FailureDomain,
		Incarnation: incarnation, Slots: defaultSlots,
	}
	if instance.FailureDomain != f.domain {
		opts.Distance = distanceBetweenDomains
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
			e.Report(change.Row.Running+change.Row.Waiting, change.Row.Adapters, now)
		}
	}
}

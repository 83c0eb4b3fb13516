package rlbscheduler

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Find returns the endpoints on which an adapter is loaded, the best first. It
// asks the holder of the lease, which may load the adapter.
func (d *Scheduler) Find(ctx context.Context, service, model, adapter string, avoid []string) ([]string, string) {
	q := rlbpeer.AdapterQuery{Service: service, Model: model, Adapter: adapter, Domain: d.Domain, Avoid: avoid}
	key := strings.Join([]string{service, model, adapter}, "/")
	known, fresh := d.cached(key, avoid)
	if fresh && len(known) > 0 {
		return known, ""
	}
	answer := d.find(ctx, q)
	if len(answer.Endpoints) == 0 {
		return d.remembered(q, known), answer.Reason
	}
	d.mu.Lock()
	d.cache[key] = found{answer.Endpoints, d.now().Add(cacheFor)}
	d.mu.Unlock()
	return answer.Endpoints, answer.Reason
}

// remembered returns the endpoints that held an adapter when it was last heard
// of, by the holder of the lease or in their entries.
func (d *Scheduler) remembered(q rlbpeer.AdapterQuery, known []string) []string {
	for _, e := range d.View.Snapshot().ByService[q.Service] {
		if e.HasAdapter(q.Model, q.Adapter) && !slices.Contains(q.Avoid, e.ID) && !slices.Contains(known, e.ID) {
			known = append(known, e.ID)
		}
	}
	return known
}

func (d *Scheduler) find(ctx context.Context, q rlbpeer.AdapterQuery) rlbpeer.Reply {
	ctx, cancel := context.WithTimeout(ctx, adapterWait)
	defer cancel()
	if d.Fence() > 0 {
		return d.ServeAdapterQuery(ctx, q)
	}
	holder, heard := d.Fleet.LeaseHolder(d.now())
	if !heard {
		return rlbpeer.Reply{Reason: "no instance is heard of that holds the lease for orders"}
	}
	answer, err := d.Query(ctx, holder.Address, rlbpeer.Query{Adapter: &q})
	if err != nil {
		return rlbpeer.Reply{Reason: "holder " + holder.Name + " of the lease does not answer: " + err.Error()}
	}
	return answer
}

func (d *Scheduler) cached(key string, avoid []string) (endpoints []string, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hit, known := d.cache[key]
	if !known {
		return nil, false
	}
	endpoints = slices.DeleteFunc(slices.Clone(hit.endpoints), func(id string) bool { return slices.Contains(avoid, id) })
	return endpoints, !d.now().After(hit.until)
}

// ServeAdapterQuery answers the question for an adapter as the holder of the lease.
func (d *Scheduler) ServeAdapterQuery(ctx context.Context, q rlbpeer.AdapterQuery) rlbpeer.Reply {
	turn := d.turn(q.Service + "/" + q.Model + "/" + q.Adapter)
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return rlbpeer.Reply{Reason: "the adapter is being loaded for others"}
	}
	snapshot := d.View.Snapshot()
	if snapshot.Config == nil || snapshot.Config.Services[q.Service].Engine == nil {
		return rlbpeer.Reply{Reason: "the service has no engines"}
	}
	engine := snapshot.Config.Services[q.Service].Engine
	options := d.options(ctx, snapshot, q)
	if ids := d.loaded(ctx, options, q); len(ids) > 0 {
		return rlbpeer.Reply{Endpoints: ids}
	}
	for _, o := range options {
		if d.loadAdapter(ctx, o.desk, engine, q) {
			return rlbpeer.Reply{Endpoints: []string{o.desk.life.ID}}
		}
	}
	return rlbpeer.Reply{Reason: "no endpoint with the model takes the adapter now"}
}

// turn returns what lets one goroutine at a time deal with an adapter.
func (d *Scheduler) turn(key string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.turns[key] == nil {
		d.turns[key] = make(chan struct{}, 1)
	}
	return d.turns[key]
}

// option is an endpoint that holds the model of an adapter.
type option struct {
	desk  *desk
	cost  time.Duration
	ready time.Time // when the adapter can be used; zero: it is not there
}

// Weights of an option, as waits for the answer to begin.
const (
	noSlot    = 50 * time.Millisecond // another adapter must go first
	slotInUse = 2 * time.Second       // one that may be in use
)

// options returns the endpoints that hold the model, the best first.
func (d *Scheduler) options(ctx context.Context, snapshot *rlbdiscovery.Snapshot, q rlbpeer.AdapterQuery) []option {
	var all []option
	engine := snapshot.Config.Services[q.Service].Engine
	for _, at := range d.all(snapshot, q.Service) {
		entry := snapshot.ByID[at.life.ID]
		if entry == nil || entry.Draining || slices.Contains(q.Avoid, entry.ID) {
			continue
		}
		o := option{desk: at, cost: d.Cost(entry, q.Domain)}
		at.mu.Lock()
		known := d.refresh(ctx, at) && at.holds(q.Model) && !at.busy()
		if known {
			o.cost += d.slotCost(at, engine)
			if a := at.models[q.Model].adapters[q.Adapter]; a != nil {
				o.ready = maxTime(a.ready, time.Unix(1, 0))
			}
		}
		at.mu.Unlock()
		if known {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// slotCost returns what it costs to find a slot for an adapter. One that may be
// in use is the last to go: its endpoint would be busy until the use ends.
func (d *Scheduler) slotCost(at *desk, engine *rlbdeployment.Engine) time.Duration {
	now := d.now()
	if n, _ := at.adapters(now); n < engine.AdapterSlots {
		return 0
	}
	if _, _, used := at.oldestAdapter(); now.Sub(used) < inUseFor {
		return slotInUse
	}
	return noSlot
}

// loaded returns the endpoints that have the adapter, once the first of them
// can be used.
func (d *Scheduler) loaded(ctx context.Context, options []option, q rlbpeer.AdapterQuery) []string {
	var ids []string
	var ready time.Time
	for _, o := range options {
		if o.ready.IsZero() {
			continue
		}
		ids = append(ids, o.desk.life.ID)
		if ready.IsZero() || o.ready.Before(ready) {
			ready = o.ready
		}
		o.desk.mu.Lock()
		if m := o.desk.models[q.Model]; m != nil && m.adapters[q.Adapter] != nil {
			m.adapters[q.Adapter].used = d.now()
		}
		o.desk.mu.Unlock()
	}
	if len(ids) > 0 {
		rlbcommon.Sleep(ctx, ready.Sub(d.now()))
	}
	return ids
}

// loadAdapter loads an adapter on an endpoint, in place of the one that was
// asked for longest ago if there is no slot left.
func (d *Scheduler) loadAdapter(ctx context.Context, at *desk, engine *rlbdeployment.Engine, q rlbpeer.AdapterQuery) bool {
	ready, ordered := d.orderAdapter(ctx, at, engine, q)
	if ordered {
		rlbcommon.Sleep(ctx, ready.Sub(d.now()))
	}
	return ordered
}

func (d *Scheduler) orderAdapter(ctx context.Context, at *desk, engine *rlbdeployment.Engine, q rlbpeer.AdapterQuery) (time.Time, bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	now := d.now()
	if !at.known || !at.holds(q.Model) || at.busy() || now.Before(at.pause) {
		return time.Time{}, false
	}
	all, coming := at.adapters(now)
	if coming >= adaptersComing {
		return time.Time{}, false
	}
	if all >= engine.AdapterSlots {
		model, name, used := at.oldestAdapter()
		if now.Sub(used) < keepFor {
			return time.Time{}, false
		}
		o := rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: model, Adapter: name}
		if !d.order(ctx, at, engine, o, "makes room for "+q.Model+"/"+q.Adapter) {
			return time.Time{}, false
		}
	}
	o := rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: q.Model, Adapter: q.Adapter}
	if !d.order(ctx, at, engine, o, "asked for") {
		return time.Time{}, false
	}
	return at.models[q.Model].adapters[q.Adapter].ready, true
}

package rlbscheduler

import (
	"context"
	"math"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Weights of a plan.
const (
	moveWeight  = 0.2
	busyWeight  = 0.05
	farWeight   = 1.0 // of a load from the weight store beyond one from a copy nearby
	replicas    = 2
	goodLoad    = 12  // requests in progress that a replica answers well
	searches    = 12  // for replicas to give way, in one plan
	spares      = 1   // loads under way at which no further spare is loaded: a load keeps its endpoint busy
	growth      = 6   // loads of one model at once
	secondsFull = 7.0 // the store serves as many loads at full speed as it starts in that time
)

// plan proposes changes for each service with engines, and orders them.
func (d *Scheduler) plan(ctx context.Context) {
	snapshot := d.View.Snapshot()
	if snapshot.Config == nil {
		return
	}
	demand := d.demand()
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		desks := d.all(snapshot, name)
		input := d.input(ctx, snapshot, service.Engine, desks, demand)
		for _, proposal := range rlbplacement.Plan(input, planOpts(service.Engine)) {
			d.carryOut(ctx, desks, service.Engine, proposal)
		}
	}
}

func planOpts(engine *rlbdeployment.Engine) rlbplacement.Opts {
	return rlbplacement.Opts{
		MoveWeight:  moveWeight,
		BusyWeight:  busyWeight,
		FarWeight:   farWeight,
		Slots:       min(goodLoad, float64(engine.Slots)),
		Replicas:    replicas,
		Growth:      growth,
		Searches:    searches,
		Spares:      spares,
		LoadsAtOnce: int(math.Ceil(engine.LoadsPerSecond * secondsFull)),
	}
}

// demand sums what all instances' callers want.
func (d *Scheduler) demand() map[string]float64 {
	sum := d.Fleet.Demand(d.now())
	for model, n := range d.Demand() {
		sum[model] += float64(n)
	}
	return sum
}

// input describes the endpoints to the placement. Endpoints whose state is not
// known count with what is believed of them, and get no orders.
func (d *Scheduler) input(ctx context.Context, snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, desks []*desk, demand map[string]float64) rlbplacement.Input {
	note := rlbnote.State{Models: map[string]rlbnote.Model{}}
	for name, m := range engine.Models {
		note.Models[name] = rlbnote.Model{Name: name, Memory: m.Memory}
	}
	input := rlbplacement.Input{Note: note, Demand: demand, Settled: true}
	for _, at := range desks {
		if e, known := d.describe(ctx, snapshot, engine, at); known {
			input.Engines = append(input.Engines, e)
		}
	}
	return input
}

// describe describes an endpoint. One with an order under way is described as it
// was last, and gets no other.
func (d *Scheduler) describe(ctx context.Context, snapshot *rlbdiscovery.Snapshot, engine *rlbdeployment.Engine, at *desk) (rlbplacement.Engine, bool) {
	entry := snapshot.ByID[at.life.ID]
	if entry == nil {
		return rlbplacement.Engine{}, false
	}
	if !at.mu.TryLock() {
		last, known := d.described[at.life.ID]
		last.Frozen = true
		return last, known
	}
	defer at.mu.Unlock()
	at.take(entry)
	if at.overdue(d.now()) {
		at.known = false
	}
	known := d.refresh(ctx, at)
	if !known && len(at.models) == 0 {
		at.assume(entry)
	}
	e := rlbplacement.Engine{
		Frozen: !known || at.busy() || d.now().Before(at.pause) || d.now().Before(at.blocked),
		ID:     at.endpoint.ID, Domain: at.endpoint.Domain, Memory: memory(engine), Reserved: at.used(engine), Leaving: entry.Draining,
		InFlight: d.Load(at.life.ID).InFlight,
		Near:     slices.Concat(at.endpoint.InMemory, at.endpoint.OnDisk),
	}
	for name, m := range at.models {
		e.Residents = append(e.Residents, rlbengine.Resident{Name: name, Phase: phase(m), Memory: engine.Models[name].Memory})
	}
	slices.SortFunc(e.Residents, func(a, b rlbengine.Resident) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	d.described[at.life.ID] = e
	return e, true
}

func phase(m *model) rlbengine.Phase {
	switch {
	case m.leaving:
		return rlbengine.PhaseUnloading
	case !m.ready.IsZero():
		return rlbengine.PhaseLoading
	default:
		return rlbengine.PhaseReady
	}
}

// carryOut orders a proposal if it still may be.
func (d *Scheduler) carryOut(ctx context.Context, desks []*desk, engine *rlbdeployment.Engine, p rlbplacement.Proposal) {
	at := slices.IndexFunc(desks, func(x *desk) bool { return x.life.ID == p.Endpoint })
	if at < 0 {
		return
	}
	if p.Action == rlbengine.ActionUnload && d.ready(desks, p.Name) < 2 && d.listed(engine, p.Name) {
		return // the last replica stays
	}
	go func() {
		x := desks[at]
		if !x.mu.TryLock() {
			return // an order is under way; the next plan sees what became of it
		}
		defer x.mu.Unlock()
		now := d.now()
		if !x.known || x.busy() || now.Before(x.pause) || now.Before(x.blocked) {
			return
		}
		if p.Action == rlbengine.ActionUnload {
			if x.holds(p.Name) {
				d.order(ctx, x, engine, rlbdeployment.Order{Action: rlbdeployment.ActionUnload, Model: p.Name}, p.Reason)
			}
			return
		}
		if !x.fits(engine, p.Name) || !x.endpoint.HasLocalCopy(p.Name) && !d.rate.take(now, engine.LoadsPerSecond) {
			return
		}
		d.order(ctx, x, engine, rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: p.Name}, p.Reason)
	}()
}

func (d *Scheduler) listed(engine *rlbdeployment.Engine, name string) bool {
	_, listed := engine.Models[name]
	return listed
}

// ready returns the number of endpoints on which a model can be used.
func (d *Scheduler) ready(desks []*desk, name string) int {
	n := 0
	for _, at := range desks {
		if !at.mu.TryLock() {
			continue // an order is under way: it does not count as ready
		}
		if at.known && at.holds(name) && !at.endpoint.Draining {
			n++
		}
		at.mu.Unlock()
	}
	return n
}

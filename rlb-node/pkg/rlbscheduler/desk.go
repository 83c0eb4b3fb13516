package rlbscheduler

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Terms of orders.
const (
	orderPoll      = 150 * time.Millisecond // between two looks at an order that takes effect
	loadSlack      = 250 * time.Millisecond // after the time a load should take
	adapterBase    = 4 * time.Millisecond   // of fetching an adapter of no size
	adapterPerMB   = 250 * time.Microsecond // of fetching
	adapterFactor  = 1.5                    // the fetch may share the store with others
	adaptersComing = 4                      // an endpoint fetches that many at once
	reportLag      = 600 * time.Millisecond // by which a report may be older than the latest order
	lateOrder      = 13 * time.Second       // for which an order without an answer may still take effect
)

// desk is what the holder of the lease knows of one endpoint and its orders.
// One order is given at a time. The mutex is held while an order is on its way.
type desk struct {
	life     *rlbdeployment.Endpoint // the entry that the desk began with; it never changes
	mu       sync.Mutex
	endpoint *rlbdeployment.Endpoint // with the copies that its latest report told of
	entry    *rlbdeployment.Endpoint // as taken last
	known    bool                    // the state below was read after the latest order without an answer
	sequence uint64
	models   map[string]*model
	ordered  time.Time // when the latest order was accepted
	unsure   time.Time // until when an order without an answer may take effect
	blocked  time.Time // until when such an order to an earlier life may reach this one
	pause    time.Time // until when no order is tried
}

// model is a model at an endpoint.
type model struct {
	ready    time.Time // when its load should be done; zero: it is there
	leaving  bool      // it is being unloaded
	adapters map[string]*adapter
}

// adapter is an adapter at an endpoint.
type adapter struct {
	ready time.Time // from when it can be used
	used  time.Time // when it was asked for last
}

func newDesk(e *rlbdeployment.Endpoint) *desk {
	return &desk{life: e, endpoint: e, entry: e, models: map[string]*model{}}
}

// sameLife reports whether an entry is of the endpoint's life that the desk is
// about.
func (d *desk) sameLife(e *rlbdeployment.Endpoint) bool { return d.life.SameIncarnation(e) }

// reborn returns the desk of an endpoint's next life. An order without an answer
// may still reach it.
func (d *desk) reborn(e *rlbdeployment.Endpoint) *desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := newDesk(e)
	next.blocked = d.unsure
	return next
}

// take notes the endpoint's entry. One that names other models than the desk
// knows of makes the state unknown.
func (d *desk) take(e *rlbdeployment.Endpoint) {
	if e == d.entry || !d.sameLife(e) {
		return
	}
	d.entry = e
	if !d.busy() && !d.agrees(e) {
		d.known = false
	}
	endpoint := *e
	if len(endpoint.OnDisk) == 0 && len(endpoint.InMemory) == 0 {
		endpoint.OnDisk, endpoint.InMemory = d.endpoint.OnDisk, d.endpoint.InMemory
	}
	d.endpoint = &endpoint
}

// assume takes the models that an entry names, until a report tells more.
func (d *desk) assume(e *rlbdeployment.Endpoint) {
	for _, h := range e.LoadedModels {
		d.models[h.Model] = &model{adapters: map[string]*adapter{}}
	}
}

// agrees reports whether an entry names the models that the desk knows of.
func (d *desk) agrees(e *rlbdeployment.Endpoint) bool {
	for name := range d.models {
		if !e.HasModel(name) {
			return false
		}
	}
	return len(e.LoadedModels) == len(d.models)
}

// report takes the endpoint's own report; it reports whether the state is known
// with it. It is not after a report from before the latest order, nor while the
// endpoint carries out an order that somebody else gave.
func (d *desk) report(r rlbdeployment.Report, now time.Time) bool {
	if r.Sequence < d.sequence && now.Sub(d.ordered) < reportLag || r.Busy && !d.busy() {
		return false
	}
	old := d.models
	d.models, d.sequence, d.known = map[string]*model{}, r.Sequence, true
	for _, h := range r.LoadedModels {
		d.models[h.Model] = heldModel(h, old[h.Model])
	}
	for _, name := range r.Fetching {
		d.comes(name, now)
	}
	if r.Busy {
		d.keepBusy(old, now.Add(orderPoll))
	}
	endpoint := *d.endpoint
	endpoint.InMemory, endpoint.OnDisk = r.InMemory, r.OnDisk
	d.endpoint = &endpoint
	return true
}

// heldModel returns a model that an endpoint holds; old is what was known of it.
func heldModel(h rlbdeployment.LoadedModel, old *model) *model {
	m := &model{adapters: map[string]*adapter{}}
	for _, name := range h.Adapters {
		m.adapters[name] = &adapter{}
		if old != nil && old.adapters[name] != nil {
			m.adapters[name].used = old.adapters[name].used
		}
	}
	return m
}

// keepBusy keeps the model that the endpoint loads or unloads as it was, until
// the next look.
func (d *desk) keepBusy(old map[string]*model, until time.Time) {
	for name, m := range old {
		held := d.models[name] != nil
		if held && m.leaving || !held && !m.leaving && !m.ready.IsZero() {
			d.models[name] = m
			m.ready = maxTime(m.ready, until)
		}
	}
}

// comes notes an adapter, as MODEL/ADAPTER, that the endpoint is fetching.
func (d *desk) comes(name string, now time.Time) {
	modelName, adapterName, _ := strings.Cut(name, "/")
	if m := d.models[modelName]; m != nil && m.adapters[adapterName] == nil {
		m.adapters[adapterName] = &adapter{ready: now.Add(reportLag), used: now}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// busy reports whether a model is being loaded or unloaded.
func (d *desk) busy() bool {
	for _, m := range d.models {
		if m.leaving || !m.ready.IsZero() {
			return true
		}
	}
	return false
}

// overdue reports whether a load or unload should be done by now.
func (d *desk) overdue(now time.Time) bool {
	for _, m := range d.models {
		if !m.ready.IsZero() && now.After(m.ready) {
			return true
		}
	}
	return false
}

// holds reports whether a model can be used.
func (d *desk) holds(name string) bool {
	m := d.models[name]
	return m != nil && !m.leaving && m.ready.IsZero()
}

// used returns the memory of all models, those that come and go among them.
func (d *desk) used(engine *rlbdeployment.Engine) rlbunit.Bytes {
	var sum rlbunit.Bytes
	for name := range d.models {
		sum += engine.Models[name].Memory
	}
	return sum
}

// memory returns what an endpoint has for models: all but what its adapters may
// take.
func memory(engine *rlbdeployment.Engine) rlbunit.Bytes {
	var largest rlbunit.Bytes
	for _, m := range engine.Models {
		largest = max(largest, m.AdapterMemory)
	}
	return engine.Memory - rlbunit.Bytes(engine.AdapterSlots)*largest
}

// fits reports whether a model can be loaded without overcommitting memory.
func (d *desk) fits(engine *rlbdeployment.Engine, name string) bool {
	m, listed := engine.Models[name]
	return listed && d.models[name] == nil && d.used(engine)+m.Memory <= memory(engine)
}

// adapters returns how many adapters there are, and how many of them are on
// their way.
func (d *desk) adapters(now time.Time) (all, coming int) {
	for _, m := range d.models {
		for _, a := range m.adapters {
			all++
			if a.ready.After(now) {
				coming++
			}
		}
	}
	return all, coming
}

// oldestAdapter returns the adapter that was asked for longest ago.
func (d *desk) oldestAdapter() (modelName, name string, used time.Time) {
	for m, held := range d.models {
		for a, state := range held.adapters {
			if name == "" || state.used.Before(used) || state.used.Equal(used) && m+a < modelName+name {
				modelName, name, used = m, a, state.used
			}
		}
	}
	return modelName, name, used
}

// applied notes that an order takes effect.
func (d *desk) applied(o rlbdeployment.Order, engine *rlbdeployment.Engine, now time.Time) {
	spec := engine.Models[o.Model]
	switch {
	case o.Adapter != "" && o.Action == rlbdeployment.ActionLoad:
		fetch := adapterBase + time.Duration(float64(spec.AdapterMemory)/1e6*float64(adapterPerMB))
		d.models[o.Model].adapters[o.Adapter] = &adapter{ready: now.Add(time.Duration(adapterFactor * float64(fetch))), used: now}
	case o.Adapter != "":
		delete(d.models[o.Model].adapters, o.Adapter)
	case o.Action == rlbdeployment.ActionLoad:
		d.models[o.Model] = &model{ready: now.Add(d.loadTime(spec) + loadSlack), adapters: map[string]*adapter{}}
	default:
		d.models[o.Model].leaving, d.models[o.Model].ready = true, now.Add(loadSlack)
	}
}

func (d *desk) loadTime(m rlbdeployment.Model) time.Duration {
	switch {
	case slices.Contains(d.endpoint.InMemory, m.Name):
		return m.FromMemory
	case slices.Contains(d.endpoint.OnDisk, m.Name):
		return m.FromDisk
	default:
		return m.FromStore
	}
}

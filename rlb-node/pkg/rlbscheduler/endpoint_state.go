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
	orderPollInterval  = 150 * time.Millisecond // between two looks at an order that takes effect
	loadTimeMargin     = 250 * time.Millisecond // after the time a load should take
	adapterFetchBase   = 4 * time.Millisecond   // of fetching an adapter of no size
	adapterFetchPerMB  = 250 * time.Microsecond // of fetching
	adapterFetchFactor = 1.5                    // the fetch may share the store with others
	maxAdapterFetches  = 4                      // an endpoint fetches that many at once
	maxReportLag       = 600 * time.Millisecond // by which a report may be older than the latest order
	inDoubtPeriod      = 13 * time.Second       // for which an order without an answer may still take effect
)

// endpointState is what the holder of the lease knows of one endpoint and its orders.
// One order is given at a time. The mutex is held while an order is on its way.
type endpointState struct {
	incarnation  *rlbdeployment.Endpoint // the entry that the desk began with; it never changes
	mu           sync.Mutex
	endpoint     *rlbdeployment.Endpoint // with the copies that its latest report told of
	lastEntry    *rlbdeployment.Endpoint // as taken last
	known        bool                    // the state below was read after the latest order without an answer
	sequence     uint64
	models       map[string]*modelState
	lastAccepted time.Time // when the latest order was accepted
	inDoubtUntil time.Time // until when an order without an answer may take effect
	blockedUntil time.Time // until when such an order to an earlier life may reach this one
	pausedUntil  time.Time // until when no order is tried
}

// modelState is a model at an endpoint.
type modelState struct {
	readyAt   time.Time // when its load should be done; zero: it is there
	unloading bool      // it is being unloaded
	adapters  map[string]*adapterState
}

// adapterState is an adapter at an endpoint.
type adapterState struct {
	readyAt  time.Time // from when it can be used
	lastUsed time.Time // when it was asked for last
}

func newEndpointState(e *rlbdeployment.Endpoint) *endpointState {
	return &endpointState{incarnation: e, endpoint: e, lastEntry: e, models: map[string]*modelState{}}
}

// sameIncarnation reports whether an entry is of the endpoint's life that the desk is
// about.
func (s *endpointState) sameIncarnation(e *rlbdeployment.Endpoint) bool {
	return s.incarnation.SameIncarnation(e)
}

// restarted returns the desk of an endpoint's next life. An order without an answer
// may still reach it.
func (s *endpointState) restarted(e *rlbdeployment.Endpoint) *endpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := newEndpointState(e)
	next.blockedUntil = s.inDoubtUntil
	return next
}

// applyEntry notes the endpoint's entry. One that names other models than the desk
// knows of makes the state unknown.
func (s *endpointState) applyEntry(e *rlbdeployment.Endpoint) {
	if e == s.lastEntry || !s.sameIncarnation(e) {
		return
	}
	s.lastEntry = e
	if !s.busy() && !s.matchesEntry(e) {
		s.known = false
	}
	endpoint := *e
	if len(endpoint.OnDisk) == 0 && len(endpoint.InMemory) == 0 {
		endpoint.OnDisk, endpoint.InMemory = s.endpoint.OnDisk, s.endpoint.InMemory
	}
	s.endpoint = &endpoint
}

// applyHeldModels takes the models that an entry names, until a report tells more.
func (s *endpointState) applyHeldModels(e *rlbdeployment.Endpoint) {
	for _, h := range e.LoadedModels {
		s.models[h.Model] = &modelState{adapters: map[string]*adapterState{}}
	}
}

// matchesEntry reports whether an entry names the models that the desk knows of.
func (s *endpointState) matchesEntry(e *rlbdeployment.Endpoint) bool {
	for name := range s.models {
		if !e.HasModel(name) {
			return false
		}
	}
	return len(e.LoadedModels) == len(s.models)
}

// applyReport takes the endpoint's own report; it reports whether the state is known
// with it. It is not after a report from before the latest order, nor while the
// endpoint carries out an order that somebody else gave.
func (s *endpointState) applyReport(r rlbdeployment.Report, now time.Time) bool {
	if r.Sequence < s.sequence && now.Sub(s.lastAccepted) < maxReportLag || r.Busy && !s.busy() {
		return false
	}
	old := s.models
	s.models, s.sequence, s.known = map[string]*modelState{}, r.Sequence, true
	for _, h := range r.LoadedModels {
		s.models[h.Model] = newModelState(h, old[h.Model])
	}
	for _, name := range r.Fetching {
		s.addFetchingAdapter(name, now)
	}
	if r.Busy {
		s.keepPendingModels(old, now.Add(orderPollInterval))
	}
	endpoint := *s.endpoint
	endpoint.InMemory, endpoint.OnDisk = r.InMemory, r.OnDisk
	s.endpoint = &endpoint
	return true
}

// newModelState returns a model that an endpoint holds; old is what was known of it.
func newModelState(h rlbdeployment.LoadedModel, old *modelState) *modelState {
	m := &modelState{adapters: map[string]*adapterState{}}
	for _, name := range h.Adapters {
		m.adapters[name] = &adapterState{}
		if old != nil && old.adapters[name] != nil {
			m.adapters[name].lastUsed = old.adapters[name].lastUsed
		}
	}
	return m
}

// keepPendingModels keeps the model that the endpoint loads or unloads as it was, until
// the next look.
func (s *endpointState) keepPendingModels(old map[string]*modelState, until time.Time) {
	for name, m := range old {
		held := s.models[name] != nil
		if held && m.unloading || !held && !m.unloading && !m.readyAt.IsZero() {
			s.models[name] = m
			m.readyAt = later(m.readyAt, until)
		}
	}
}

// addFetchingAdapter notes an adapter, as MODEL/ADAPTER, that the endpoint is fetching.
func (s *endpointState) addFetchingAdapter(name string, now time.Time) {
	modelName, adapterName, _ := strings.Cut(name, "/")
	if m := s.models[modelName]; m != nil && m.adapters[adapterName] == nil {
		m.adapters[adapterName] = &adapterState{readyAt: now.Add(maxReportLag), lastUsed: now}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// busy reports whether a model is being loaded or unloaded.
func (s *endpointState) busy() bool {
	for _, m := range s.models {
		if m.unloading || !m.readyAt.IsZero() {
			return true
		}
	}
	return false
}

// overdue reports whether a load or unload should be done by now.
func (s *endpointState) overdue(now time.Time) bool {
	for _, m := range s.models {
		if !m.readyAt.IsZero() && now.After(m.readyAt) {
			return true
		}
	}
	return false
}

// canServe reports whether a model can be used.
func (s *endpointState) canServe(name string) bool {
	m := s.models[name]
	return m != nil && !m.unloading && m.readyAt.IsZero()
}

// usedMemory returns the memory of all models, those that come and go among them.
func (s *endpointState) usedMemory(engine *rlbdeployment.Engine) rlbunit.Bytes {
	var sum rlbunit.Bytes
	for name := range s.models {
		sum += engine.Models[name].Memory
	}
	return sum
}

// modelMemory returns what an endpoint has for models: all but what its adapters may
// take.
func modelMemory(engine *rlbdeployment.Engine) rlbunit.Bytes {
	var largest rlbunit.Bytes
	for _, m := range engine.Models {
		largest = max(largest, m.AdapterMemory)
	}
	return engine.Memory - rlbunit.Bytes(engine.AdapterSlots)*largest
}

// fits reports whether a model can be loaded without overcommitting memory.
func (s *endpointState) fits(engine *rlbdeployment.Engine, name string) bool {
	m, listed := engine.Models[name]
	return listed && s.models[name] == nil && s.usedMemory(engine)+m.Memory <= modelMemory(engine)
}

// countAdapters returns how many adapters there are, and how many of them are on
// their way.
func (s *endpointState) countAdapters(now time.Time) (total, fetching int) {
	for _, m := range s.models {
		for _, a := range m.adapters {
			total++
			if a.readyAt.After(now) {
				fetching++
			}
		}
	}
	return total, fetching
}

// lruAdapter returns the adapter that was asked for longest ago.
func (s *endpointState) lruAdapter() (modelName, name string, lastUsed time.Time) {
	for m, held := range s.models {
		for a, state := range held.adapters {
			if name == "" || state.lastUsed.Before(lastUsed) || state.lastUsed.Equal(lastUsed) && m+a < modelName+name {
				modelName, name, lastUsed = m, a, state.lastUsed
			}
		}
	}
	return modelName, name, lastUsed
}

// applyOrder notes that an order takes effect.
func (s *endpointState) applyOrder(o rlbdeployment.Order, engine *rlbdeployment.Engine, now time.Time) {
	spec := engine.Models[o.Model]
	switch {
	case o.Adapter != "" && o.Action == rlbdeployment.ActionLoad:
		fetch := adapterFetchBase + time.Duration(float64(spec.AdapterMemory)/1e6*float64(adapterFetchPerMB))
		s.models[o.Model].adapters[o.Adapter] = &adapterState{readyAt: now.Add(time.Duration(adapterFetchFactor * float64(fetch))), lastUsed: now}
	case o.Adapter != "":
		delete(s.models[o.Model].adapters, o.Adapter)
	case o.Action == rlbdeployment.ActionLoad:
		s.models[o.Model] = &modelState{readyAt: now.Add(s.loadTime(spec) + loadTimeMargin), adapters: map[string]*adapterState{}}
	default:
		s.models[o.Model].unloading, s.models[o.Model].readyAt = true, now.Add(loadTimeMargin)
	}
}

func (s *endpointState) loadTime(m rlbdeployment.Model) time.Duration {
	switch {
	case slices.Contains(s.endpoint.InMemory, m.Name):
		return m.FromMemory
	case slices.Contains(s.endpoint.OnDisk, m.Name):
		return m.FromDisk
	default:
		return m.FromStore
	}
}

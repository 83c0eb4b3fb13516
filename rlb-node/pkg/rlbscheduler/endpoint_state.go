package rlbscheduler

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Timing and limits of orders.
const (
	orderPollInterval  = 150 * time.Millisecond // interval between reports while an order takes effect
	loadTimeMargin     = 250 * time.Millisecond // added to the expected time of a load; also the expected time of an unload
	adapterFetchBase   = 4 * time.Millisecond   // fixed part of the time to fetch an adapter
	adapterFetchPerMB  = 250 * time.Microsecond // part that grows with its size
	adapterFetchFactor = 1.5                    // other fetches may share the weight store
	maxAdapterFetches  = 4                      // concurrent fetches of an endpoint
	maxReportLag       = 600 * time.Millisecond // a report may be this much older than the latest order
	inDoubtPeriod      = 13 * time.Second       // how long an order without an answer may still take effect
)

// endpointState is the lease holder's view of one incarnation of an endpoint and of
// its orders. One order is sent at a time: mu is held while it is in flight.
type endpointState struct {
	incarnation  *rlbdeployment.Endpoint // first entry of this incarnation; never changes
	mu           sync.Mutex
	endpoint     *rlbdeployment.Endpoint // latest entry, with the local copies from the latest report
	lastEntry    *rlbdeployment.Endpoint // latest entry as received
	known        bool                    // whether the state below is up to date; if not, a report must be read
	sequence     uint64                  // sequence number that the endpoint expects in the next order
	models       map[string]*modelState
	lastAccepted time.Time // time of the latest accepted order
	pausedUntil  time.Time // no order is sent and no report is read until then
}

// modelState is the state of a model on an endpoint.
type modelState struct {
	readyAt   time.Time // when its load or unload should be complete; zero if it is loaded
	unloading bool
	unloadAt  time.Time // when its unload is ordered; until then no new requests are sent; zero: it stays
	unloadFor string    // reason of that unload
	adapters  map[string]*adapterState
}

// adapterState is the state of an adapter on an endpoint.
type adapterState struct {
	readyAt  time.Time // when its load should be complete; zero if a report lists it as loaded
	lastUsed time.Time // time of the latest query for it
}

func newEndpointState(e *rlbdeployment.Endpoint) *endpointState {
	return &endpointState{incarnation: e, endpoint: e, lastEntry: e, models: map[string]*modelState{}}
}

// sameIncarnation reports whether an entry belongs to the incarnation that s describes.
func (s *endpointState) sameIncarnation(e *rlbdeployment.Endpoint) bool {
	return s.incarnation.SameIncarnation(e)
}

// applyEntry updates s from a new entry of the same incarnation. If the entry lists
// other models than s and no load or unload is in progress, the state becomes unknown.
// An entry without local copies leaves the known ones in place.
func (s *endpointState) applyEntry(e *rlbdeployment.Endpoint) {
	if e == s.lastEntry || !s.sameIncarnation(e) {
		return
	}
	s.lastEntry = e
	if !s.inProgress() && !s.matchesEntry(e) {
		s.known = false
	}
	endpoint := *e
	if len(endpoint.OnDisk) == 0 && len(endpoint.InMemory) == 0 {
		endpoint.OnDisk, endpoint.InMemory = s.endpoint.OnDisk, s.endpoint.InMemory
	}
	s.endpoint = &endpoint
}

// applyLoadedModels adds the models in an entry, as an estimate until a report is read.
func (s *endpointState) applyLoadedModels(e *rlbdeployment.Endpoint) {
	for _, h := range e.LoadedModels {
		s.models[h.Model] = &modelState{adapters: map[string]*adapterState{}}
	}
}

// matchesEntry reports whether an entry lists the same models as s.
func (s *endpointState) matchesEntry(e *rlbdeployment.Endpoint) bool {
	for name := range s.models {
		if !e.HasModel(name) {
			return false
		}
	}
	return len(e.LoadedModels) == len(s.models)
}

// applyReport replaces the state by the endpoint's report. It returns false and
// changes nothing if the report may be older than the latest order, or if the endpoint
// is busy with an order of another sender.
func (s *endpointState) applyReport(r rlbdeployment.Report, now time.Time) bool {
	if r.Sequence < s.sequence && now.Sub(s.lastAccepted) < maxReportLag || r.Busy && !s.inProgress() {
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

// newModelState returns the state of a model in a report. It keeps an announced unload and
// the use times of the adapters in old, which may be nil.
func newModelState(h rlbdeployment.LoadedModel, old *modelState) *modelState {
	m := &modelState{adapters: map[string]*adapterState{}}
	if old != nil {
		m.unloadAt, m.unloadFor = old.unloadAt, old.unloadFor
	}
	for _, name := range h.Adapters {
		m.adapters[name] = &adapterState{}
		if old != nil && old.adapters[name] != nil {
			m.adapters[name].lastUsed = old.adapters[name].lastUsed
		}
	}
	return m
}

// keepPendingModels restores from old the models that are being loaded or unloaded,
// and expects them to complete at until or later.
func (s *endpointState) keepPendingModels(old map[string]*modelState, until time.Time) {
	for name, m := range old {
		held := s.models[name] != nil
		if held && m.unloading || !held && !m.unloading && !m.readyAt.IsZero() {
			s.models[name] = m
			m.readyAt = later(m.readyAt, until)
		}
	}
}

// addFetchingAdapter adds an adapter that the endpoint is fetching, named as
// MODEL/ADAPTER.
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

// inProgress reports whether a model is being loaded or unloaded.
func (s *endpointState) inProgress() bool {
	for _, m := range s.models {
		if m.unloading || !m.readyAt.IsZero() {
			return true
		}
	}
	return false
}

// busy reports whether a model is being loaded or unloaded or its unload is announced.
func (s *endpointState) busy() bool {
	for _, m := range s.models {
		if !m.unloadAt.IsZero() {
			return true
		}
	}
	return s.inProgress()
}

// overdue reports whether a load or unload should be complete by now.
func (s *endpointState) overdue(now time.Time) bool {
	for _, m := range s.models {
		if !m.readyAt.IsZero() && now.After(m.readyAt) {
			return true
		}
	}
	return false
}

// canServe reports whether a model is loaded and not being unloaded, now or soon.
func (s *endpointState) canServe(name string) bool {
	m := s.models[name]
	return m != nil && !m.unloading && m.unloadAt.IsZero() && m.readyAt.IsZero()
}

// usedMemory returns the memory of all models, including those being loaded or
// unloaded.
func (s *endpointState) usedMemory(on sizes) rlbunit.Bytes {
	var sum rlbunit.Bytes
	for name := range s.models {
		sum += on.of(name).model
	}
	return sum
}

// modelMemory returns the memory available to models: all memory less the largest
// adapter in every adapter slot.
func (s *endpointState) modelMemory(on sizes) rlbunit.Bytes {
	largest := on.largestAdapter
	for name := range s.models {
		largest = max(largest, on.of(name).adapter)
	}
	return on.engine.Memory - rlbunit.Bytes(on.engine.AdapterSlots)*largest
}

// fits reports whether a model can be loaded without overcommitting memory.
func (s *endpointState) fits(on sizes, name string) bool {
	_, listed := on.engine.Models[name]
	return listed && s.models[name] == nil && s.usedMemory(on)+on.of(name).model <= s.modelMemory(on)
}

// adapterMemory reports whether there is memory for an adapter of a model, and whether there
// would be if the endpoint held no other adapters. The memory that modelMemory leaves to them
// may be too small if the config has changed since the models were loaded.
func (s *endpointState) adapterMemory(on sizes, model string) (free, freeable bool) {
	needed := s.usedMemory(on) + on.of(model).adapter
	freeable = needed <= on.engine.Memory
	for name, m := range s.models {
		needed += rlbunit.Bytes(len(m.adapters)) * on.of(name).adapter
	}
	return needed <= on.engine.Memory, freeable
}

// countAdapters returns the number of adapters, and how many of them are still being
// fetched.
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

// holdsAdapter reports whether a model that can serve has an adapter loaded.
func (s *endpointState) holdsAdapter(model, adapter string, now time.Time) bool {
	if !s.canServe(model) {
		return false
	}
	a := s.models[model].adapters[adapter]
	return a != nil && !a.readyAt.After(now)
}

// lruAdapter returns the least recently used adapter.
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

// canEvictAdapter reports whether the least recently used adapter may be unloaded.
func (s *endpointState) canEvictAdapter(now time.Time) bool {
	_, _, lastUsed := s.lruAdapter()
	return now.Sub(lastUsed) >= minAdapterResidency
}

// applyOrder updates the state for an order that takes effect.
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
		s.models[o.Model].unloadAt = time.Time{}
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

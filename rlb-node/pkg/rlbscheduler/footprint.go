package rlbscheduler

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

const (
	// footprintSettlePeriod is the time after a change of a config within which the entry of
	// an endpoint lists what it has loaded under the config before.
	footprintSettlePeriod = time.Minute
	// footprintInterval is the time between two looks at which endpoints still hold models
	// whose footprint has changed.
	footprintInterval = time.Second
)

// footprint is the memory that a model takes on an endpoint.
type footprint struct {
	model   rlbunit.Bytes
	adapter rlbunit.Bytes // each of its adapters
}

// largest returns the larger of two footprints, for the model and its adapters each.
func (f footprint) largest(other footprint) footprint {
	return footprint{max(f.model, other.model), max(f.adapter, other.adapter)}
}

func footprintOf(m rlbdeployment.Model) footprint { return footprint{m.Memory, m.AdapterMemory} }

// footprints remembers what models take on the endpoints that loaded them under an earlier
// config. An endpoint does not say what the models that it holds take, and the config in
// force says it only for the loads to come. It is safe for concurrent use.
type footprints struct {
	mu        sync.Mutex
	config    *rlbdeployment.Config // latest one
	earlier   map[serviceModel]*earlierFootprint
	nextCheck time.Time // of the holders

	largestAdapters map[*rlbdeployment.Engine]rlbunit.Bytes // of the engines of config, as far as they were needed
}

// serviceModel names a model of a service.
type serviceModel struct{ service, model string }

// earlierFootprint is the footprint of a model before the config changed it or withdrew the
// model.
type earlierFootprint struct {
	footprint
	settledAt time.Time       // until then any endpoint may hold the model with it
	holders   map[uint64]bool // incarnations that hold the model with it
}

func newFootprints() *footprints {
	return &footprints{earlier: map[serviceModel]*earlierFootprint{}, largestAdapters: map[*rlbdeployment.Engine]rlbunit.Bytes{}}
}

// update takes over the config in force, and forgets what no endpoint holds any more.
func (f *footprints) update(snapshot *rlbdiscovery.Snapshot, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != snapshot.Config {
		f.compare(snapshot.Config, now)
		f.config, f.largestAdapters = snapshot.Config, map[*rlbdeployment.Engine]rlbunit.Bytes{}
	}
	if len(f.earlier) == 0 || now.Before(f.nextCheck) {
		return
	}
	f.nextCheck = now.Add(footprintInterval)
	f.updateHolders(snapshot, now)
}

// compare records the footprints that a new config changes or no longer lists. f.mu is held.
func (f *footprints) compare(next *rlbdeployment.Config, now time.Time) {
	if f.config == nil || next == nil {
		return
	}
	for service, known := range f.config.Services {
		if known.Engine == nil {
			continue
		}
		engine := next.Services[service].Engine
		for name, m := range known.Engine.Models {
			if engine != nil && engine.Models[name].Name != "" && footprintOf(engine.Models[name]) == footprintOf(m) {
				continue
			}
			f.record(serviceModel{service, name}, footprintOf(m), now)
		}
	}
}

// record records an earlier footprint. f.mu is held.
func (f *footprints) record(of serviceModel, before footprint, now time.Time) {
	known := f.earlier[of]
	if known == nil {
		known = &earlierFootprint{holders: map[uint64]bool{}}
		f.earlier[of] = known
	}
	known.footprint = known.largest(before)
	known.settledAt = now.Add(footprintSettlePeriod)
}

// updateHolders finds the endpoints that hold models with an earlier footprint. f.mu is held.
func (f *footprints) updateHolders(snapshot *rlbdiscovery.Snapshot, now time.Time) {
	still := map[serviceModel]map[uint64]bool{}
	for of := range f.earlier {
		still[of] = map[uint64]bool{}
	}
	for _, e := range snapshot.ByID {
		for _, h := range e.LoadedModels {
			of := serviceModel{e.Service, h.Model}
			known, key := f.earlier[of], e.IncarnationKey()
			if known != nil && (now.Before(known.settledAt) || known.holders[key]) {
				still[of][key] = true
			}
		}
	}
	for of, holders := range still {
		f.earlier[of].holders = holders
		if len(holders) == 0 && !now.Before(f.earlier[of].settledAt) {
			delete(f.earlier, of)
		}
	}
}

// on returns the sizes of the models on an endpoint.
func (f *footprints) on(e *rlbdeployment.Endpoint, engine *rlbdeployment.Engine, now time.Time) sizes {
	f.mu.Lock()
	defer f.mu.Unlock()
	on := sizes{engine: engine, largestAdapter: f.largestAdapter(engine)}
	if len(f.earlier) == 0 {
		return on
	}
	key := e.IncarnationKey()
	on.earlier = map[string]footprint{}
	for of, known := range f.earlier {
		if of.service == e.Service && (now.Before(known.settledAt) || known.holders[key]) {
			on.earlier[of.model] = known.footprint
		}
	}
	return on
}

// largestAdapter returns the size of the largest adapter of an engine's models. It is worked out
// once for each config, which may list many. f.mu is held.
func (f *footprints) largestAdapter(engine *rlbdeployment.Engine) rlbunit.Bytes {
	largest, known := f.largestAdapters[engine]
	if !known {
		largest = largestAdapter(engine)
		f.largestAdapters[engine] = largest
	}
	return largest
}

func largestAdapter(engine *rlbdeployment.Engine) (largest rlbunit.Bytes) {
	for _, m := range engine.Models {
		largest = max(largest, m.AdapterMemory)
	}
	return largest
}

// sizes are the sizes of the models on one endpoint.
type sizes struct {
	engine         *rlbdeployment.Engine // in force
	largestAdapter rlbunit.Bytes         // of the models that it lists
	earlier        map[string]footprint  // of models that the endpoint may hold from before
}

// newSizes returns the sizes on an endpoint that holds nothing from before.
func newSizes(engine *rlbdeployment.Engine) sizes {
	return sizes{engine: engine, largestAdapter: largestAdapter(engine)}
}

// of returns what a model takes. One that no known config lists may take all memory.
func (z sizes) of(name string) footprint {
	m, listed := z.engine.Models[name]
	earlier, remembered := z.earlier[name]
	if !listed && !remembered {
		return footprint{model: z.engine.Memory}
	}
	return footprintOf(m).largest(earlier)
}

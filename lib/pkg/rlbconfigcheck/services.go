package rlbconfigcheck

import (
	"maps"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Rules about services.
const (
	RuleUnusedService   Rule = "unused-service" // no route gives it requests
	RuleNoSlots         Rule = "no-slots"
	RuleNoModels        Rule = "no-models"
	RuleModelTooLarge   Rule = "model-too-large"   // does not fit into an endpoint
	RuleAdapterNoPlace  Rule = "adapter-no-place"  // endpoints hold no adapter
	RuleAdapterTooLarge Rule = "adapter-too-large" // does not fit into an endpoint beside its model
	RuleModelsTooLarge  Rule = "models-too-large"  // do not fit into all endpoints together
	RuleNearCopySlow    Rule = "near-copy-slow"    // a load from a nearer copy takes longer
)

func checkServices(f *findings, c *rlbdeployment.Config, endpoints Endpoints) {
	used := map[string]bool{}
	for r := range c.AllRoutes() {
		for _, s := range r.Shares {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		path := "services/" + name
		if !used[name] {
			f.add(SeverityWarning, RuleUnusedService, path, "no route gives it requests")
		}
		if e := c.Services[name].Engine; e != nil {
			checkEngine(f, path, e)
			checkModelsTogether(f, path, e, endpoints[name])
		}
	}
}

func checkEngine(f *findings, path string, e *rlbdeployment.Engine) {
	if e.Slots <= 0 {
		f.add(SeverityError, RuleNoSlots, path, "its endpoints run %d requests at once: they can take none", e.Slots)
	}
	if len(e.Models) == 0 {
		f.add(SeverityWarning, RuleNoModels, path, "its engines list no models")
	}
	for _, name := range slices.Sorted(maps.Keys(e.Models)) {
		checkModel(f, path+"/models/"+name, e, e.Models[name])
	}
}

func checkModel(f *findings, path string, e *rlbdeployment.Engine, m rlbdeployment.Model) {
	switch {
	case m.Memory > e.Memory:
		f.add(SeverityError, RuleModelTooLarge, path, "it needs %s, and an endpoint has %s: it is never loaded", m.Memory, e.Memory)
	case len(m.Adapters) == 0:
	case e.AdapterSlots <= 0:
		f.add(SeverityError, RuleAdapterNoPlace, path, "it has %d adapters, and endpoints hold none", len(m.Adapters))
	case m.Memory+m.AdapterMemory > e.Memory:
		f.add(SeverityError, RuleAdapterTooLarge, path, "with one adapter it needs %s, and an endpoint has %s: its adapters are never loaded", m.Memory+m.AdapterMemory, e.Memory)
	}
	if m.FromDisk > m.FromStore || m.FromMemory > m.FromDisk {
		f.add(SeverityWarning, RuleNearCopySlow, path, "a load takes %v from the weight store, %v from disk and %v from memory: a nearer copy is not faster", m.FromStore, m.FromDisk, m.FromMemory)
	}
}

// checkModelsTogether checks whether a number of endpoints can hold each model once. They may
// not do so even if the memory suffices, as no model is split.
func checkModelsTogether(f *findings, path string, e *rlbdeployment.Engine, endpoints int) {
	if endpoints <= 0 {
		return
	}
	var needed rlbunit.Bytes
	for _, m := range e.Models {
		needed += m.Memory
	}
	if held := e.Memory * rlbunit.Bytes(endpoints); needed > held {
		f.add(SeverityWarning, RuleModelsTooLarge, path, "its %d models need %s, and its %d endpoints have %s together: some are always unloaded", len(e.Models), needed, endpoints, held)
	}
}

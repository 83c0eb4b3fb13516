package rlbplacement

import (
	"maps"
	"slices"
)

// Guard names the replica of a model in force that may not be unloaded, and
// those that are being unloaded.
type Guard struct {
	Version  string   `json:"version"`
	Endpoint string   `json:"endpoint"`
	Retiring []string `json:"retiring,omitempty"`
}

// Guards is the value of one object that all lease holders change by
// conditional writes. An unload of a version in force is recorded here before
// it is ordered, so that two holders with different views of the fleet cannot
// between them unload the last replica.
type Guards struct {
	Models map[string]Guard `json:"models"`
}

// Guarded reports whether a replica of the version is kept.
func (g Guards) Guarded(name, version string) bool {
	guard, found := g.Models[name]
	return found && guard.Version == version && guard.Endpoint != ""
}

// Protects reports whether the replica on an endpoint may not be unloaded.
func (g Guards) Protects(name, version, endpoint string) bool {
	guard, found := g.Models[name]
	return found && guard.Version == version && guard.Endpoint == endpoint
}

func (g Guards) withGuard(name string, guard Guard) Guards {
	next := Guards{Models: maps.Clone(g.Models)}
	if next.Models == nil {
		next.Models = map[string]Guard{}
	}
	next.Models[name] = guard
	return next
}

// Protect makes a replica the guarded one. The caller has just read from the
// endpoint itself that the replica is ready, after it read g. It reports false
// if the replica is being unloaded.
func (g Guards) Protect(name, version, endpoint string) (Guards, bool) {
	guard := g.Models[name]
	if guard.Version != version {
		guard = Guard{Version: version}
	}
	if slices.Contains(guard.Retiring, endpoint) {
		return g, false
	}
	guard.Endpoint = endpoint
	return g.withGuard(name, guard), true
}

// Retire records that a replica is to be unloaded. It reports false if that
// replica is the guarded one, or none is guarded.
func (g Guards) Retire(name, version, endpoint string) (Guards, bool) {
	guard, found := g.Models[name]
	if !found || guard.Version != version || guard.Endpoint == "" || guard.Endpoint == endpoint {
		return g, false
	}
	if slices.Contains(guard.Retiring, endpoint) {
		return g, true
	}
	guard.Retiring = append(slices.Clone(guard.Retiring), endpoint)
	return g.withGuard(name, guard), true
}

// ClearRetiring notes that the endpoint itself shows that the replica is gone.
func (g Guards) ClearRetiring(name, version, endpoint string) Guards {
	guard := g.Models[name]
	at := slices.Index(guard.Retiring, endpoint)
	if guard.Version != version || at < 0 {
		return g
	}
	guard.Retiring = slices.Delete(slices.Clone(guard.Retiring), at, at+1)
	return g.withGuard(name, guard)
}

// Prune forgets models that are not in force. It reports whether it did.
func (g Guards) Prune(inForce func(name string) bool) (Guards, bool) {
	next := Guards{Models: map[string]Guard{}}
	for name, guard := range g.Models {
		if inForce(name) {
			next.Models[name] = guard
		}
	}
	return next, len(next.Models) != len(g.Models)
}

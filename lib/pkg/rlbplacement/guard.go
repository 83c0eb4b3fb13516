package rlbplacement

import (
	"maps"
	"slices"
)

// Guard names the endpoint whose replica of a model in force must not be
// unloaded, and the endpoints whose replicas are being unloaded.
type Guard struct {
	Version  string   `json:"version"`
	Endpoint string   `json:"endpoint"`
	Retiring []string `json:"retiring,omitempty"`
}

// Guards is the value of one object that all lease holders change by
// conditional writes. An unload of a version in force is recorded here before
// it is ordered, so that two holders with different views of the fleet cannot
// together unload the last replica.
type Guards struct {
	Models map[string]Guard `json:"models"`
}

// Guarded reports whether the version has a guarded replica.
func (g Guards) Guarded(name, version string) bool {
	guard, found := g.Models[name]
	return found && guard.Version == version && guard.Endpoint != ""
}

// Protects reports whether the replica on an endpoint is the guarded one, which
// must not be unloaded.
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

// Protect makes a replica the guarded one. The caller must have read from the
// endpoint itself, after it read g, that the replica is ready. Protect reports
// false if the replica is being unloaded.
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

// Retire records that a replica will be unloaded. It reports false if that
// replica is the guarded one, or if the version has no guarded replica.
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

// ClearRetiring removes a replica from the retiring ones. The caller must have
// read from the endpoint itself that the replica is unloaded.
func (g Guards) ClearRetiring(name, version, endpoint string) Guards {
	guard := g.Models[name]
	at := slices.Index(guard.Retiring, endpoint)
	if guard.Version != version || at < 0 {
		return g
	}
	guard.Retiring = slices.Delete(slices.Clone(guard.Retiring), at, at+1)
	return g.withGuard(name, guard)
}

// Prune removes the guards of models that are not in force. It reports whether
// there were any.
func (g Guards) Prune(inForce func(name string) bool) (Guards, bool) {
	next := Guards{Models: map[string]Guard{}}
	for name, guard := range g.Models {
		if inForce(name) {
			next.Models[name] = guard
		}
	}
	return next, len(next.Models) != len(g.Models)
}

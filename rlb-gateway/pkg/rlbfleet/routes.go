package rlbfleet

import (
	"maps"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Routes maps models and plain services to endpoints. Published routes never change;
// the next version shares the unchanged parts.
type Routes struct {
	note     rlbnote.State
	models   map[string][]servedVersion // by name
	services map[string][]*rlbroute.Endpoint
}

// servedVersion holds the endpoints that have one version of a model ready.
type servedVersion struct {
	version     string
	reachable   []*rlbroute.Endpoint
	unreachable []*rlbroute.Endpoint // without reports to the controllers; they may still serve requests
}

// endpoints returns the endpoints that the controllers can reach, or the unreachable
// ones if there are no others.
func (s servedVersion) endpoints() []*rlbroute.Endpoint {
	if len(s.reachable) > 0 {
		return s.reachable
	}
	return s.unreachable
}

// Note returns the state of the release note in force.
func (r *Routes) Note() rlbnote.State { return r.note }

// Model returns the endpoints that serve a model and the version they serve. That is
// the wanted version or, as long as no endpoint has it ready, the version that most
// endpoints have ready.
func (r *Routes) Model(name, wanted string) (endpoints []*rlbroute.Endpoint, version string) {
	for _, s := range r.models[name] {
		if s.version == wanted {
			return s.endpoints(), wanted
		}
		if len(s.endpoints()) > len(endpoints) {
			endpoints, version = s.endpoints(), s.version
		}
	}
	return endpoints, version
}

// Candidates returns the endpoints of a model or plain service by name.
func (r *Routes) Candidates(name string) []*rlbroute.Endpoint {
	if m, inForce := r.note.Models[name]; inForce {
		endpoints, _ := r.Model(name, m.Version)
		return endpoints
	}
	return r.services[name]
}

// Version returns the endpoints that serve the given version of a model.
func (r *Routes) Version(name, version string) []*rlbroute.Endpoint {
	for _, s := range r.models[name] {
		if s.version == version {
			return s.endpoints()
		}
	}
	return nil
}

// Service returns the endpoints of a plain service.
func (r *Routes) Service(name string) []*rlbroute.Endpoint { return r.services[name] }

// routeEntry is an endpoint with the models or the plain service that it serves.
type routeEntry struct {
	endpoint    *rlbroute.Endpoint
	models      []modelVersion
	service     string // empty for a model engine
	unreachable bool
}

type modelVersion struct{ name, version string }

// clone returns a copy with a new note, which can be changed until it is published.
func (r *Routes) clone(note rlbnote.State) *Routes {
	n := &Routes{note: note, models: maps.Clone(r.models), services: maps.Clone(r.services)}
	if n.models == nil {
		n.models, n.services = map[string][]servedVersion{}, map[string][]*rlbroute.Endpoint{}
	}
	return n
}

// add adds an endpoint to its routes. It copies the endpoint lists, as published
// routes share them.
func (r *Routes) add(entry routeEntry) {
	if entry.service != "" {
		r.services[entry.service] = withEndpoint(r.services[entry.service], entry.endpoint)
		return
	}
	for _, m := range entry.models {
		r.updateVersion(m, func(s *servedVersion) {
			if entry.unreachable {
				s.unreachable = withEndpoint(s.unreachable, entry.endpoint)
			} else {
				s.reachable = withEndpoint(s.reachable, entry.endpoint)
			}
		})
	}
}

// remove removes an endpoint from its routes.
func (r *Routes) remove(entry routeEntry) {
	if entry.service != "" {
		r.services[entry.service] = withoutEndpoint(r.services[entry.service], entry.endpoint)
		return
	}
	for _, m := range entry.models {
		r.updateVersion(m, func(s *servedVersion) {
			s.reachable, s.unreachable = withoutEndpoint(s.reachable, entry.endpoint), withoutEndpoint(s.unreachable, entry.endpoint)
		})
	}
}

func (r *Routes) updateVersion(m modelVersion, change func(*servedVersion)) {
	list := slices.Clone(r.models[m.name])
	at := slices.IndexFunc(list, func(s servedVersion) bool { return s.version == m.version })
	if at < 0 {
		list = append(list, servedVersion{version: m.version})
		at = len(list) - 1
	}
	change(&list[at])
	if len(list[at].endpoints()) == 0 {
		list = slices.Delete(list, at, at+1)
	}
	r.models[m.name] = list
}

func withEndpoint(list []*rlbroute.Endpoint, e *rlbroute.Endpoint) []*rlbroute.Endpoint {
	return append(slices.Clip(list), e)
}

func withoutEndpoint(list []*rlbroute.Endpoint, e *rlbroute.Endpoint) []*rlbroute.Endpoint {
	at := slices.Index(list, e)
	if at < 0 {
		return list
	}
	return slices.Delete(slices.Clone(list), at, at+1)
}

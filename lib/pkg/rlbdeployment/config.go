// Package rlbdeployment describes a deployment whose callers address services by
// routes: the config that the operator publishes, with its routes, services, models
// and limits, and the entries of the endpoints. It does no I/O.
package rlbdeployment

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// RouteKind says whether a request of a route may run more than once.
type RouteKind int

// Kinds of routes.
const (
	KindNonIdempotent RouteKind = iota // runs at most once
	KindIdempotent                     // may run more than once
	KindStream                         // a stream of events; runs at most once, unless the route is resumable
)

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route routes requests for one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool          // a second endpoint may continue the stream
	Timeout       time.Duration // longest time from the request to its final answer
	TargetLatency time.Duration // target for the time to the answer, or to the first event of a stream
	MaxEventGap   time.Duration // a longer gap between two events of a stream counts as late
	Priority      int           // 0 is the highest priority
	MaxAttempts   int           // maximum number of endpoints that a request may be sent to
	Public        bool          // open to callers without a key, also if the config has workspaces
	Shares        []Share
}

// Retryable reports whether a request of the route may be sent to a second endpoint
// when a first one may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request, chosen by weight; draw is a random
// number.
func (r *Route) PickService(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name          string
	Memory        rlbunit.Bytes
	Adapters      []string
	AdapterMemory rlbunit.Bytes
	FromStore     time.Duration // time to load it from the weight store
	FromDisk      time.Duration // time to load it from the endpoint's disk
	FromMemory    time.Duration // time to load it from the endpoint's host memory
}

// Engine is the common configuration of the model engines of a service.
type Engine struct {
	Slots          int // batch size
	Memory         rlbunit.Bytes
	AdapterSlots   int
	LoadsPerSecond float64 // limit of the weight store for all endpoints together
	Models         map[string]Model
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// Limits are the limits on the size and duration of requests from callers.
type Limits struct {
	HeaderBytes   rlbunit.Bytes
	BodyBytes     rlbunit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Lists reports whether the service lists a model and, unless adapter is empty, the
// adapter of the model.
func (s *Service) Lists(model, adapter string) bool {
	if s.Engine == nil {
		return false
	}
	m, listed := s.Engine.Models[model]
	return listed && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// Config is one version of the published config. It is immutable.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	byHost     map[string][]*Route      // longest prefix first
	priorities map[string]priorityRange // of the routes, by service
	workspaces map[string]Workspace     // by name; nil: callers are not identified
}

// NewConfig returns a config and indexes its routes by host.
func NewConfig(version uint64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, byHost: map[string][]*Route{}, priorities: map[string]priorityRange{}}
	for i := range routes {
		r := &routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.addPriority(r)
	}
	for _, all := range c.byHost {
		slices.SortStableFunc(all, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// WithWorkspaces returns a copy of the config whose callers are identified by the keys of
// workspaces, also if there are none.
func (c *Config) WithWorkspaces(workspaces []Workspace) *Config {
	changed := *c
	changed.workspaces = make(map[string]Workspace, len(workspaces))
	for _, w := range workspaces {
		changed.workspaces[w.name] = w
	}
	return &changed
}

// IdentifiesCallers reports whether callers need the key of a workspace on routes that are
// not public.
func (c *Config) IdentifiesCallers() bool { return c.workspaces != nil }

// Workspace returns the workspace with a name.
func (c *Config) Workspace(name string) (Workspace, bool) {
	w, found := c.workspaces[name]
	return w, found
}

// Workspaces returns the workspaces, in no order.
func (c *Config) Workspaces() iter.Seq[Workspace] { return maps.Values(c.workspaces) }

// WorkspaceCount returns the number of workspaces.
func (c *Config) WorkspaceCount() int { return len(c.workspaces) }

// Route returns the route of a host with the longest matching path prefix.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// AllRoutes returns the routes, in no order.
func (c *Config) AllRoutes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, all := range c.byHost {
			for _, r := range all {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, all := range c.byHost {
		n += len(all)
	}
	return n
}

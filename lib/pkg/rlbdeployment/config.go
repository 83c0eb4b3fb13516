// Package rlbdeployment holds what an operator publishes for a deployment whose
// callers address services by routes: the config with its routes, services,
// models and limits, and the entries of the endpoints. It does no I/O.
package rlbdeployment

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// RouteKind says what may be done with a request of a route more than once.
type RouteKind int

// The kinds.
const (
	KindNonIdempotent RouteKind = iota // not idempotent: runs at most once
	KindIdempotent                     // may run more than once
	KindStream                         // a stream of events; once, unless the route is resumable
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route sends requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool          // a stream that a second endpoint may go on with
	Timeout       time.Duration // longest time from the request to its final answer
	TargetLatency time.Duration // time to the answer, or to a stream's first event
	MaxEventGap   time.Duration // longest pause between two events that is on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // endpoints that one request may be sent to
	Shares        []Share
}

// Retryable reports whether a second endpoint may run a request of the route
// after a first one may have.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request; draw is a random number, which the
// shares divide.
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

// Model is a model that the engines of a service may hold.
type Model struct {
	Name          string
	Memory        rlbunit.Bytes
	Adapters      []string
	AdapterMemory rlbunit.Bytes
	FromStore     time.Duration // load from the weight store
	FromDisk      time.Duration // load from the endpoint's disk
	FromMemory    time.Duration // load from the endpoint's host memory
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int // requests in one batch
	Memory         rlbunit.Bytes
	AdapterSlots   int
	LoadsPerSecond float64 // that the weight store allows over all endpoints
	Models         map[string]Model
}

// Service is a set of equal endpoints.
type Service struct {
	Name   string
	Engine *Engine // nil: a plain service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   rlbunit.Bytes
	BodyBytes     rlbunit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Lists reports whether the service lists a model and, unless it is empty, an
// adapter of it.
func (s *Service) Lists(model, adapter string) bool {
	if s.Engine == nil {
		return false
	}
	m, listed := s.Engine.Models[model]
	return listed && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// Config is one version of what an operator has published. It is never changed.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// NewConfig returns a config with the routes.
func NewConfig(version uint64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for i := range routes {
		r := &routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, all := range c.byHost {
		slices.SortStableFunc(all, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// Route returns the route of a host with the longest prefix of the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, all := range c.byHost {
		n += len(all)
	}
	return n
}

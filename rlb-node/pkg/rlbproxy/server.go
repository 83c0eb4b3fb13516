// Package rlbproxy serves callers: it reads a request, finds its route, sends
// it to endpoints and passes the answer on.
package rlbproxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Adapters finds endpoints on which an adapter is loaded.
type Adapters interface {
	// Find returns the ids of endpoints that hold an adapter, the best first.
	// It may load the adapter. None: the reason is for people.
	Find(ctx context.Context, service, model, adapter string, avoid []string) (endpoints []string, reason string)
}

// Opts are what a server is made of.
type Opts struct {
	Log        log.Interface
	Domain     string
	View       *rlbdiscovery.View
	Loads      *rlbbalancer.Balancer
	Others     func(endpoint string) rlbbalancer.Load // other instances' work at an endpoint
	Crashes    func(print uint64) int                 // endpoints that the other instances lost while they ran a request
	Instances  func() int                             // that share the budget for repeats
	Dispatcher *rlbdispatch.Dispatcher
	Adapters   Adapters
	Budget     rlbretrybudget.Limits
	Metrics    metrics.Registry
	Now        func() time.Time
}

// Server serves callers.
type Server struct {
	Opts
	budgets  *budgets
	demand   *Demand
	suspects *suspects
	meters   meters
	leaving  atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64
}

// New returns a server.
func New(opts Opts) *Server {
	return &Server{
		Opts:     opts,
		budgets:  newBudgets(opts.Budget),
		demand:   newDemand(opts.Now),
		suspects: newSuspects(opts.Now, opts.Crashes),
		meters:   newMeters(opts.Metrics),
	}
}

// Demand returns what callers want of each model.
func (s *Server) Demand() *Demand { return s.demand }

// Crashes returns the requests that endpoints were lost with lately.
func (s *Server) Crashes() map[uint64]uint8 { return s.suspects.tell() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Leave makes each answer end its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether the instance is shutting down.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Close makes each further request be refused as not run: there is no time left
// in which it could be answered.
func (s *Server) Close() { s.closed.Store(true) }

// Ready reports whether the instance can serve callers.
func (s *Server) Ready() bool { return !s.leaving.Load() && s.View.Snapshot().Config != nil }

// ServeHTTP implements http.Handler for callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	x, refusal := s.read(w, r)
	if refusal == nil && s.closed.Load() {
		refusal = refuseLeaving
	}
	if refusal != nil {
		s.refuse(w, x, refusal)
		return
	}
	s.run(w, x)
}

// ServeReadiness answers the balancer.
func (s *Server) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

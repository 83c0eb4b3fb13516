// Package rlbproxy serves callers: it reads a request, finds its route, forwards it
// to endpoints and relays the answer.
package rlbproxy

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Adapters finds endpoints on which an adapter is loaded.
type Adapters interface {
	// Find returns the IDs of endpoints that hold an adapter, the best first. It
	// may load the adapter. If there are none, it returns a reason for the log.
	Find(ctx context.Context, service, model, adapter string, avoid []string) (endpoints []string, reason string)
}

// Origins remembers which software version began which stream.
type Origins interface {
	// MayBegin reports whether a stream that its caller may take up can begin at origin now.
	MayBegin(origin rlborigin.Origin) bool
	// Began records that the first event of the stream that a request began came from an
	// endpoint of origin. The caller may take the stream up until deadline.
	Began(request string, origin rlborigin.Origin, deadline time.Time)
	// Ended records that the stream was relayed to its end.
	Ended(request string)
	// Lookup returns the origin of the stream of a request, if this instance remembers it.
	Lookup(request string) (origin rlborigin.Origin, known bool)
	// Find returns the version that began the stream of a request. It may ask for what
	// other instances know.
	Find(ctx context.Context, service, request string) (version string, verdict rlborigin.Verdict)
}

// Spillover decides which requests leave the failure domain, and learns of those that do.
type Spillover interface {
	// Costs returns the costs of the other domains for one request of a pool.
	Costs(pool string) func(domain string) time.Duration
	// RecordRequest records that a request was sent to another domain.
	RecordRequest(domain string)
	// RecordTraffic records bytes that were sent to another domain or came from it.
	RecordTraffic(domain string, bytes int)
}

// Opts are the dependencies and settings of a server.
type Opts struct {
	Log        log.Interface
	Domain     string
	View       *rlbdiscovery.View
	Balancer   *rlbbalancer.Balancer
	PeerLoad   func(endpoint string) rlbbalancer.Load // load of the other instances at an endpoint
	Crashes    *rlbcrash.Evidence                     // properties of requests that crash endpoints
	Instances  func() int                             // number of instances that share the retry budget
	Dispatcher *rlbdispatch.Dispatcher
	Adapters   Adapters
	Origins    Origins
	Limiter    *rlbratelimit.Limiter // limits that endpoints state
	// ModelChanges returns which models endpoints serve other than their entries say.
	ModelChanges func() rlbpeer.ModelChanges
	RetryBudget  rlbretrybudget.Limits
	MaxBodies    int64     // limit in bytes of the bodies of the requests in flight; 0: a default
	Quotas       Quotas    // of the workspaces
	Spillover    Spillover // nil: other failure domains have a fixed cost
	// ConfigCurrent reports whether no newer config than that of the view is known to exist,
	// and the instance is where it would learn of one.
	ConfigCurrent func() bool
	Metrics       metrics.Registry
	Now           func() time.Time
}

// Server is the HTTP handler for callers.
type Server struct {
	Opts
	budgets        *retryBudgets
	demand         *Demand
	requestMetrics requestMetrics
	workspaces     *workspaceMetrics
	durations      *durations
	bodies         *rlbdispatch.Memory // of the requests in flight
	draining       atomic.Bool
	closed         atomic.Bool
	requestEnd     atomic.Pointer[time.Time] // when the requests in flight end at the latest; nil: not draining
	inFlight       atomic.Int64
	requests       context.Context // ends with EndRequests
	endRequests    context.CancelFunc
}

// New returns a server.
func New(opts Opts) *Server {
	requests, endRequests := context.WithCancel(context.Background())
	return &Server{
		Opts:           opts,
		budgets:        newRetryBudgets(opts.RetryBudget),
		demand:         newDemand(opts.Now),
		requestMetrics: newRequestMetrics(opts.Metrics),
		workspaces:     newWorkspaceMetrics(opts.Metrics),
		durations:      newDurations(),
		bodies:         rlbdispatch.NewMemory(cmp.Or(opts.MaxBodies, maxBodies)),
		requests:       requests,
		endRequests:    endRequests,
	}
}

// Demand returns the counts of requests by model.
func (s *Server) Demand() *Demand { return s.demand }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Ready reports whether the instance can serve callers.
func (s *Server) Ready() bool { return !s.draining.Load() && s.View.Snapshot().Config != nil }

// ServeHTTP implements http.Handler for callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := s.readRequest(w, r)
	defer func() {
		req.releaseMemory()
		req.releaseBody()
	}()
	if refusal == nil && !s.takes(req) {
		refusal = refuseShutdown
	}
	switch {
	case refusal != nil && req.bodyUnread:
		s.refuseUnread(w, req, refusal)
	case refusal != nil:
		s.refuse(w, req, refusal)
	default:
		s.proxy(w, req)
	}
}

// ServeReadiness answers readiness checks of the load balancer.
func (s *Server) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

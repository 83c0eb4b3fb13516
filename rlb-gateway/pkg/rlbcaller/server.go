// Package rlbcaller serves callers over HTTP: model requests with an
// OpenAI-compatible API, requests to plain services, health, readiness and metrics.
package rlbcaller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbfleet"
)

// Opts are the dependencies of a server.
type Opts struct {
	*rlbcommon.Common
	Fleet         *rlbfleet.Fleet
	Dispatcher    *rlbdispatch.Dispatcher
	Policy        rlbroute.Policy[*rlbroute.Endpoint]
	Claims        Claims
	ReportCrashes func([]rlbfleetstate.Crash) // sends crash records to the controllers
	Metrics       metrics.Registry
}

// Server handles the requests of callers.
type Server struct {
	Opts
	limits   limits
	budget   *rlbroute.RetryBudget
	fetches  *rlbroute.FetchLimit
	inFlight atomic.Int64
	draining atomic.Bool
	counters counters
	demand   *demandMeter
	refusals refusalLog
	// background counts operations that outlive their request.
	background sync.WaitGroup
}

// limits are the settings that every request uses.
type limits struct {
	maxBody, maxAnswer     int64
	deadline, maxDeadline  time.Duration
	maxAttempts            int
	maxInFlight            int64
	maxInFlightPerEndpoint int
	admission              bool
}

// counters are the server's metrics.
type counters struct {
	outcomes   map[rlbroute.Outcome]metrics.Counter
	tokens     metrics.Counter
	retries    metrics.Counter
	firstToken metrics.Histogram // microseconds
}

// Parameters of the exponentially decaying sample of the latency histogram.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// New returns a server.
func New(opts Opts) *Server {
	settings := opts.Settings
	server := &Server{
		Opts: opts,
		limits: limits{
			maxBody:                int64(settings.Bytes(rlbsettings.GatewayMaxBody)),
			maxAnswer:              int64(settings.Bytes(rlbsettings.GatewayMaxAnswer)),
			deadline:               settings.Duration(rlbsettings.GatewayDeadline),
			maxDeadline:            settings.Duration(rlbsettings.GatewayMaxDeadline),
			maxAttempts:            settings.Int(rlbsettings.GatewayMaxAttempts),
			maxInFlight:            int64(settings.Int(rlbsettings.GatewayMaxInFlight)),
			maxInFlightPerEndpoint: settings.Int(rlbsettings.GatewayEndpointInFlight),
			admission:              settings.Bool(rlbsettings.GatewayAdmission),
		},
		budget:  rlbroute.NewRetryBudget(settings.Ratio(rlbsettings.GatewayRetryShare)),
		fetches: rlbroute.NewFetchLimit(settings.Int(rlbsettings.GatewayAdapterFetches)),
		demand:  newDemandMeter(),
	}
	server.counters = counters{
		outcomes:   map[rlbroute.Outcome]metrics.Counter{},
		tokens:     metrics.GetOrRegisterCounter("tokens_relayed", opts.Metrics),
		retries:    metrics.GetOrRegisterCounter("retries", opts.Metrics),
		firstToken: metrics.GetOrRegisterHistogram("first_token_us", opts.Metrics, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, outcome := range []rlbroute.Outcome{rlbroute.Answered, rlbroute.NotRun, rlbroute.Failed, rlbroute.Unknown} {
		server.counters.outcomes[outcome] = metrics.GetOrRegisterCounter("requests_"+string(outcome), opts.Metrics)
	}
	return server
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleRequest(s.serveModel))
	mux.HandleFunc("POST /v1/completions", s.handleRequest(s.serveModel))
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /ready", s.serveReadiness)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("/", s.handleRequest(s.serveService))
	return mux
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain makes the server report that it is not ready and close callers'
// connections after their answers. Load balancers then connect to other gateways.
func (s *Server) Drain() { s.draining.Store(true) }

// Report returns the demand for each model since the last call, and an update with
// the burn counts and refusals of the requests that ended since then.
func (s *Server) Report(now time.Time) ([]rlbfleetstate.Demand, rlbfleetstate.Update) {
	demand, burn := s.demand.collect(now)
	return demand, rlbfleetstate.Update{Burn: burn, Refusals: s.refusals.collect()}
}

// call is a request of a caller and the state of its answer.
type call struct {
	id              string
	arrived         time.Time
	deadline        time.Time
	nonIdempotent   bool   // must run at most once
	key             string // idempotency key; empty: none
	body            []byte
	w               http.ResponseWriter
	r               *http.Request
	responseStarted bool // a part of the answer was written to the caller
	storedAnswer    rlbclaim.Answer
	attempts        int
}

// handleRequest wraps a handler of model or service requests. It assigns the
// request id, enforces the limits, sets the deadline and counts the outcome.
func (s *Server) handleRequest(handle func(context.Context, *call) *Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		s.budget.RecordRequest()
		c := &call{id: uuid.NewString(), arrived: time.Now(), w: w, r: r}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		refusal := s.admit(c)
		if refusal == nil {
			ctx, cancel := context.WithCancel(r.Context())
			refusal = handle(ctx, c)
			cancel()
		}
		s.finish(c, refusal)
	}
}

func (s *Server) admit(c *call) *Refusal {
	if s.inFlight.Load() > s.limits.maxInFlight {
		return newRefusal(rlbroute.NotRun, CodeOverloaded)
	}
	if refusal := s.readDeadline(c); refusal != nil {
		return refusal
	}
	return s.readBody(c)
}

func (s *Server) finish(c *call, refusal *Refusal) {
	outcome := rlbroute.Answered
	if refusal != nil {
		outcome = refusal.Outcome
		if c.responseStarted {
			refusal.writeEvent(c.w, c.id)
		} else {
			refusal.write(c.w, c.id)
		}
		s.refusals.add(c.id, fmt.Sprintf("%s %s: %s, %s after %s in %d attempts", c.r.Method, c.r.URL.Path, outcome, refusal.Code, time.Since(c.arrived).Round(time.Millisecond), c.attempts))
		s.Log.WithField("request_id", c.id).WithField("outcome", string(outcome)).WithField("code", string(refusal.Code)).
			WithField("note_version", s.Fleet.Routes().Note().Version).Info("request not answered")
	}
	s.counters.outcomes[outcome].Inc(1)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readiness is the body of the answer to GET /ready.
type readiness struct {
	Ready       bool   `json:"ready"`
	NoteVersion uint64 `json:"note_version"`
	Draining    bool   `json:"draining"`
	InFlight    int64  `json:"in_flight"`
}

// serveReadiness answers 200 while a release note is in force and the server is not
// draining, and 503 otherwise.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	state := readiness{NoteVersion: s.Fleet.Routes().Note().Version, Draining: s.draining.Load(), InFlight: s.InFlight()}
	state.Ready = state.NoteVersion > 0 && !state.Draining
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.Metrics, w)
}

// setIdentity sets the request id and outcome headers of an answer.
func setIdentity(c *call, outcome rlbroute.Outcome) {
	c.w.Header().Set(rlbrelay.HeaderRequestID, c.id)
	c.w.Header().Set(HeaderOutcome, string(outcome))
}

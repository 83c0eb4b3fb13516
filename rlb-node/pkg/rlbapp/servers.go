package rlbapp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Limits of the servers and timing of the shutdown.
const (
	headerTimeout     = 10 * time.Second // to read a request header
	callerIdleTimeout = 2 * time.Minute  // of connections
	maxHeaderBytes    = 64 << 10
	maxStatusHeader   = 16 << 10 // bytes, of a readiness check or of a call for the metrics
	// drainDelay is how long the instance serves after it became not ready, until the
	// load balancer has detected it: two readiness checks, a second apart, and their answers.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin        = 700 * time.Millisecond
	lastAnswerTime    = 300 * time.Millisecond // of it, to answer the requests that are ended
	drainPollInterval = 50 * time.Millisecond
)

// servers holds the HTTP servers of an instance.
type servers struct {
	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server
	failed    chan error
}

// listen starts the HTTP servers. It returns them and a function that closes them.
func (a *app) listen() (*servers, func(), error) {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /-/readiness", a.proxy.ServeReadiness)
	metricsAddress, err := internalAddress(a.Settings, -1)
	if err != nil {
		return nil, nil, err
	}
	s := &servers{
		callers:   &http.Server{Addr: a.Settings.Text(rlbsettings.NodeCallers), Handler: a.proxy, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes},
		readiness: &http.Server{Addr: a.Settings.Text(rlbsettings.NodeReadiness), Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxStatusHeader},
		metrics:   &http.Server{Addr: metricsAddress, Handler: a.metricsHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxStatusHeader},
		failed:    make(chan error, 3),
	}
	for _, server := range s.all() {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("listen on %s: %w", server.Addr, err), s.close())
		}
		connections := a.machine.Connections(rlbintake.StatusShare)
		if server == s.callers {
			connections = a.machine.Connections(rlbintake.CallerShare)
		}
		go func() { s.failed <- a.intake.Serve(server, listener, connections) }()
	}
	return s, func() { _ = s.close() }, nil
}

// acceptPeers holds the connections of other instances to the limits of the process.
func (a *app) acceptPeers(listener net.Listener) net.Listener {
	return a.intake.Frames(listener, a.machine.Connections(rlbintake.ControlShare))
}

func (s *servers) all() []*http.Server { return []*http.Server{s.callers, s.readiness, s.metrics} }

func (s *servers) close() error {
	return errors.Join(s.callers.Close(), s.readiness.Close(), s.metrics.Close())
}

// metricsHandler serves the metrics as JSON.
func (a *app) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.updateGauges()
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(a.registry, w)
	})
	return mux
}

// updateGauges sets the gauges to the current values.
func (a *app) updateGauges() {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, a.registry).Update(value) }
	snapshot, now := a.view.Snapshot(), rlbclock.Now()
	set("requests_in_progress", a.proxy.InFlight())
	set("tunnels_for_others", a.link.Tunnels())
	set("endpoints_known", int64(len(snapshot.ByID)))
	set("instances_known", int64(a.fleet.KnownInstances(now)))
	set("domain_instances_live", int64(len(a.fleet.LiveDigests(now))+1))
	set("lease_fence", int64(a.scheduler.Fence()))
	if snapshot.Config != nil {
		set("config_version", int64(snapshot.Config.Version))
	}
	a.updateQuotaGauges()
}

// shutdownPlan is when an instance that shuts down stops what.
type shutdownPlan struct {
	takeUntil   time.Time // takes requests that can end in time
	requestsEnd time.Time // ends the requests in flight
	exit        time.Time // closes all connections
}

// newShutdownPlan plans a shutdown that begins at now. Within a short grace at least half of
// the time is for requests that were taken before.
func newShutdownPlan(now time.Time, grace time.Duration) shutdownPlan {
	requests := grace - exitMargin
	return shutdownPlan{
		takeUntil:   now.Add(min(drainDelay, requests/2)),
		requestsEnd: now.Add(requests),
		exit:        now.Add(requests + lastAnswerTime),
	}
}

// shutDown serves new requests until the load balancer has detected that the instance
// is not ready, and then waits for the requests in flight until the grace ends. What has no
// answer then gets one that says what is known of it.
func (a *app) shutDown(s *servers) error {
	plan := newShutdownPlan(rlbclock.Now(), time.Duration(a.grace.Load()))
	a.Log.WithField("in_progress", a.proxy.InFlight()).Info("shutting down")
	a.proxy.Drain(plan.requestsEnd)
	a.scheduler.StepDown()
	time.Sleep(plan.takeUntil.Sub(rlbclock.Now()))
	a.proxy.Close()
	a.waitForRequests(plan.requestsEnd)
	if ended := a.proxy.InFlight(); ended > 0 {
		a.Log.WithField("in_progress", ended).Warn("the grace ends; answering the requests in progress")
	}
	a.proxy.EndRequests()
	a.waitForRequests(plan.exit)
	ctx, cancel := context.WithTimeout(context.Background(), max(plan.exit.Sub(rlbclock.Now()), drainPollInterval))
	defer cancel()
	err := s.callers.Shutdown(ctx)
	a.Log.WithField("in_progress", a.proxy.InFlight()).Info("stopped")
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the platform would abort the remaining requests anyway
	}
	return err
}

// waitForRequests waits until no request is in flight, neither of an own caller nor through a
// tunnel of another instance, or until a time.
func (a *app) waitForRequests(until time.Time) {
	for a.proxy.InFlight()+a.link.Tunnels() > 0 && rlbclock.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

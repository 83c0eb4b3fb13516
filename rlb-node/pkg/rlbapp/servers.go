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
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Terms of the servers.
const (
	headerWait = 10 * time.Second // for a caller's request header
	callerIdle = 2 * time.Minute  // of a caller's connection
	maxHeader  = 64 << 10         // bytes
	// noticed is the time after which the balancer has seen that the instance
	// is not ready: two of its questions, a second apart, and their answers.
	noticed = 2500 * time.Millisecond
	// cutBefore is the part of the grace that is left for the process to end.
	cutBefore   = 700 * time.Millisecond
	quietPeriod = 50 * time.Millisecond
)

// servers are the HTTP servers of a node.
type servers struct {
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	failed  chan error
}

func (a *app) listen() (*servers, func(), error) {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /-/readiness", a.front.ServeReadiness)
	metricsAddress, err := internalAddress(a.Settings, -1)
	if err != nil {
		return nil, nil, err
	}
	s := &servers{
		callers: &http.Server{Addr: a.Settings.Text(rlbsettings.NodeCallers), Handler: a.front, ReadHeaderTimeout: headerWait, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader},
		ready:   &http.Server{Addr: a.Settings.Text(rlbsettings.NodeReadiness), Handler: readiness, ReadHeaderTimeout: headerWait, IdleTimeout: callerIdle},
		metrics: &http.Server{Addr: metricsAddress, Handler: a.metricsHandler(), ReadHeaderTimeout: headerWait, IdleTimeout: callerIdle},
		failed:  make(chan error, 3),
	}
	for _, server := range s.all() {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("listen on %s: %w", server.Addr, err), s.close())
		}
		go func() { s.failed <- server.Serve(listener) }()
	}
	return s, func() { _ = s.close() }, nil
}

func (s *servers) all() []*http.Server { return []*http.Server{s.callers, s.ready, s.metrics} }

func (s *servers) close() error {
	return errors.Join(s.callers.Close(), s.ready.Close(), s.metrics.Close())
}

// metricsHandler serves the counters and histograms as JSON text.
func (a *app) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.gauge()
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(a.registry, w)
	})
	return mux
}

// gauge sets the gauges to what the instance knows now.
func (a *app) gauge() {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, a.registry).Update(value) }
	snapshot, now := a.view.Snapshot(), rlbclock.Now()
	set("requests_in_progress", a.front.Active())
	set("endpoints_known", int64(len(snapshot.ByID)))
	set("instances_known", int64(a.fleet.KnownInstances(now)))
	set("domain_instances_live", int64(len(a.fleet.LiveDigests(now))+1))
	set("lease_fence", int64(a.duty.Fence()))
	if snapshot.Config != nil {
		set("config_version", int64(snapshot.Config.Version))
	}
}

// shutDown serves what comes until the balancer has noticed, then waits for the
// requests in progress.
func (a *app) shutDown(s *servers) error {
	end := time.Now().Add(time.Duration(a.grace.Load()) - cutBefore)
	a.Log.WithField("in_progress", a.front.Active()).Info("shutting down")
	a.front.Leave()
	a.duty.StepDown()
	time.Sleep(noticed)
	a.front.Close()
	for a.front.Active() > 0 && time.Now().Before(end) {
		time.Sleep(quietPeriod)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := s.callers.Shutdown(ctx)
	a.Log.WithField("in_progress", a.front.Active()).Info("stopped")
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // what is still in progress is cut by the platform otherwise
	}
	return err
}

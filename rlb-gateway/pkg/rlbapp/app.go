// Package rlbapp assembles and runs a gateway.
package rlbapp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtls"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbcaller"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbfleet"
)

// Fixed timing of a gateway.
const (
	linkIdleTimeout   = 1500 * time.Millisecond // of a control link; the gateway then reconnects to a controller that responds
	sweepInterval     = time.Second
	reportInterval    = 500 * time.Millisecond // between two reports to the controller
	readHeaderTimeout = 10 * time.Second       // of a caller's connection
	callerIdleTimeout = 2 * time.Minute        // of a caller's connection
	drainDelay        = 2 * time.Second        // between reporting not ready and closing the listener
	drainLogTime      = 5 * time.Second
)

// app is a running gateway.
type app struct {
	*rlbcommon.Common
	fleet      *rlbfleet.Fleet
	server     *rlbcaller.Server
	link       *rlblink.Client
	startedAt  int64
	heartbeats atomic.Uint64
	id         string
	domain     string
	listen     string
}

// Run serves callers until the context stop is done, then shuts down gracefully.
func Run(stop context.Context, common *rlbcommon.Common, out io.Writer) error {
	settings := common.Settings
	policy, err := rlbroute.NewPolicy[*rlbroute.Endpoint](settings.Text(rlbsettings.GatewayPolicy), rand.Uint64)
	if err != nil {
		return fmt.Errorf("[gateway] policy: %w", err)
	}
	callerKeys, err := rlbtls.Load(rlbtls.Files{Cert: settings.Text(rlbsettings.GatewayTLSCert), Key: settings.Text(rlbsettings.GatewayTLSKey)})
	if err != nil {
		return fmt.Errorf("[gateway] tls_cert: %w", err)
	}
	controlKeys, err := rlbtls.LoadControl(settings)
	if err != nil {
		return err
	}
	listener, err := rlbcommon.Listen(settings, rlbsettings.GatewayListen)
	if err != nil {
		return err
	}
	a := &app{
		Common: common, id: settings.Text(rlbsettings.InstanceID), domain: settings.Text(rlbsettings.InstanceDomain),
		startedAt: time.Now().UnixNano(), listen: listener.Addr().String(),
	}
	a.fleet = rlbfleet.New(a.domain, time.Now)
	machine, registry := rlbintake.ReadMachine(settings), metrics.NewRegistry()
	machine.LimitHeap()
	intake := rlbintake.FromSettings(common, machine, registry)
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		IDHeader:               rlbrelay.HeaderRequestID,
		Dial:                   rlbdispatch.DialTCP(settings.Duration(rlbsettings.GatewayConnectTimeout)),
		FirstByteTimeout:       settings.Duration(rlbsettings.GatewayFirstTokenTimeout),
		ReusedFirstByteTimeout: settings.Duration(rlbsettings.GatewayReusedFirstTokenTimeout),
		IdleTimeout:            settings.Duration(rlbsettings.GatewayNextTokenTimeout),
		SweepInterval:          sweepInterval,
		MaxMemory:              machine.AnswerBytes(),
	})
	defer closeDispatcher()
	a.server = rlbcaller.New(rlbcaller.Opts{
		Common: common, Fleet: a.fleet, Dispatcher: dispatcher, Policy: policy, Claims: a, ReportCrashes: a.reportCrashes,
		Metrics: registry,
	})
	link, closeLink := rlblink.NewClient(context.Background(), a.linkOpts(controlKeys.WrapDialer(rlblink.DialTCP)))
	a.link = link
	defer closeLink()
	httpServer := &http.Server{
		Handler: a.server.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: int(settings.Bytes(rlbsettings.GatewayMaxHeader)),
	}
	served := make(chan error, 1)
	go func() {
		served <- intake.Serve(httpServer, callerKeys.WrapListener(listener), machine.Connections(rlbintake.CallerShare))
	}()
	if err := rlbcommon.PrintReady(out, rlbcommon.ReadyLine{Program: "rlb-gateway", Instance: a.id, Listen: map[string]string{"callers": a.listen}}); err != nil {
		return err
	}
	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	return a.shutDown(httpServer)
}

// shutDown waits for the requests in flight, for at most the drain setting. New
// requests are served for drainDelay before that, so that load balancers can notice
// that the gateway is not ready.
func (a *app) shutDown(server *http.Server) error {
	a.Log.WithField("in_flight", a.server.InFlight()).Info("shutting down")
	a.server.Drain()
	time.Sleep(drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.Duration(rlbsettings.GatewayDrain))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		a.Log.WithField("in_flight", a.server.InFlight()).Error("drain timeout passed; aborting requests in flight")
		return err
	}
	a.server.Wait()
	a.Log.Info("shut down")
	return err
}

func (a *app) linkOpts(dial rlblink.Dial) rlblink.ClientOpts {
	addresses := a.Settings.List(rlbsettings.GatewayControllers)
	return rlblink.ClientOpts{
		Log: a.Log, Dial: dial, Scope: rlbfleetstate.ScopeAll, IdleTimeout: linkIdleTimeout,
		Process:        rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessGateway, ID: a.id},
		Addresses:      func() []string { return addresses },
		ApplyUpdate:    a.applyUpdate,
		BuildReport:    a.buildReport,
		ReportInterval: reportInterval,
		OnLinkChange: func(address string, linked bool) {
			a.Log.WithField("controller", address).WithField("linked", linked).Info("control link changed")
		},
	}
}

func (a *app) applyUpdate(u rlbfleetstate.Update) {
	before := a.fleet.Routes().Note().Version
	a.fleet.ApplyUpdate(u)
	if after := a.fleet.Routes().Note().Version; after != before {
		a.Log.WithField("note_version", after).Info("release note in force")
	}
}

// buildReport returns the periodic report to the controller, which is also the
// heartbeat of this gateway.
func (a *app) buildReport() rlbfleetstate.Update {
	demand, report := a.server.Report(time.Now())
	report.Crashes = a.fleet.TakeAnsweredParts()
	report.Processes = []rlbfleetstate.Process{{
		ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessGateway, ID: a.id},
		StartedAt:  a.startedAt, Heartbeat: a.heartbeats.Add(1), FailureDomain: a.domain, Address: a.listen,
		NoteVersion: a.fleet.Routes().Note().Version,
		Demand:      demand,
	}}
	return report
}

// reportCrashes sends crash records to the controller: new ones, and those whose
// quarantine phase changed.
func (a *app) reportCrashes(crashes []rlbfleetstate.Crash) {
	if err := a.link.SendReport(rlbfleetstate.Update{Crashes: crashes}); err != nil {
		a.Log.WithError(err).Warn("failed to send crash records to the controller")
	}
}

// Do implements rlbcaller.Claims.
func (a *app) Do(ctx context.Context, op rlbclaim.Operation) (rlbclaim.Result, error) {
	var result rlbclaim.Result
	err := a.link.Call(ctx, rlbclaim.MethodClaim, op, &result)
	return result, err
}

// Package rlbapp builds a controller with its servers and clients and runs it.
package rlbapp

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtls"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbconsole"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbcontrol"
)

// Timeouts of a controller's connections and of its shutdown.
const (
	engineConnectTimeout = 500 * time.Millisecond
	engineRequestTimeout = 2 * time.Second
	engineIdleTimeout    = 30 * time.Second
	headerTimeout        = 5 * time.Second
	maxHeaderBytes       = 16 << 10
	leaseReleaseTime     = time.Second // time to release the leases at a shutdown
)

// Run serves until stop is done, then releases the controller's leases and returns.
func Run(stop context.Context, common *rlbcommon.Common, out io.Writer) error {
	settings := common.Settings
	controlListener, err := rlbcommon.Listen(settings, rlbsettings.ControllerListen)
	if err != nil {
		return err
	}
	operatorListener, err := rlbcommon.Listen(settings, rlbsettings.ControllerOperators)
	if err != nil {
		return err
	}
	tlsKeys, err := rlbtls.LoadControl(settings)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	machine := rlbintake.ReadMachine(settings)
	machine.LimitHeap()
	intake := rlbintake.FromSettings(common, machine, registry)
	timeout := settings.Duration(rlbsettings.PlatformTimeout)
	objects, closeObjects := rlbobject.NewClient(settings.Text(rlbsettings.PlatformObjects), timeout, registry)
	defer closeObjects()
	instances, closeInstances := rlbinstance.NewClient(settings.Text(rlbsettings.PlatformInstances), timeout)
	defer closeInstances()
	weights, closeWeights := rlbweightstore.NewClient(settings.Text(rlbsettings.PlatformWeights), timeout)
	defer closeWeights()
	engines, closeEngines := rlbhttp.NewClient(engineConnectTimeout, engineIdleTimeout, 1)
	defer closeEngines()
	controller := rlbcontrol.New(rlbcontrol.Opts{
		Common: common, Objects: objects, Instances: instances, Weights: weights,
		Engine: func(address string) rlbengine.Engine {
			return rlbengine.NewClient(address, engines, engineRequestTimeout)
		},
		Dial:    tlsKeys.WrapDialer(rlblink.DialTCP),
		Address: controlListener.Addr().String(), Metrics: registry,
	})
	_, closeServer := rlblink.NewServer(context.Background(), intake.Frames(tlsKeys.WrapListener(controlListener), machine.Connections(rlbintake.CallerShare)), rlbcontrol.LinkOpts(controller))
	defer closeServer()
	console := &http.Server{Handler: rlbconsole.New(controller, registry).Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		_ = intake.Serve(console, tlsKeys.WrapListener(operatorListener), machine.Connections(rlbintake.StatusShare))
	}() // returns when console is closed
	defer func() { _ = console.Close() }()
	ready := rlbcommon.ReadyLine{
		Program: "rlb-controller", Instance: settings.Text(rlbsettings.InstanceID),
		Listen: map[string]string{"control": controlListener.Addr().String(), "operators": operatorListener.Addr().String()},
	}
	if err := rlbcommon.PrintReady(out, ready); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		controller.Run(runCtx)
	}()
	<-stop.Done()
	common.Log.Info("shutting down; releasing leases")
	controller.Drain()
	time.Sleep(leaseReleaseTime)
	cancel()
	<-done
	return nil
}

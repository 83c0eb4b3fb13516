// Package rlbapp puts the parts of a controller together and runs them.
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
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtls"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbconsole"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbcontrol"
)

// Fixed terms of a controller's connections.
const (
	engineConnect = 500 * time.Millisecond
	engineTimeout = 2 * time.Second
	engineIdle    = 30 * time.Second
	headerWait    = 5 * time.Second
	giveUpLeases  = time.Second // for the leases to be given up at a shutdown
)

// Run serves until stop ends, then gives up its leases.
func Run(stop context.Context, common *rlbcommon.Common, out io.Writer) error {
	s := common.Settings
	control, err := rlbcommon.Listen(s, rlbsettings.ControllerListen)
	if err != nil {
		return err
	}
	operators, err := rlbcommon.Listen(s, rlbsettings.ControllerOperators)
	if err != nil {
		return err
	}
	keys, err := rlbtls.LoadControl(s)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	timeout := s.Duration(rlbsettings.PlatformTimeout)
	objects, closeObjects := rlbobject.NewClient(s.Text(rlbsettings.PlatformObjects), timeout, registry)
	defer closeObjects()
	instances, closeInstances := rlbinstance.NewClient(s.Text(rlbsettings.PlatformInstances), timeout)
	defer closeInstances()
	weights, closeWeights := rlbweightstore.NewClient(s.Text(rlbsettings.PlatformWeights), timeout)
	defer closeWeights()
	engines, closeEngines := rlbhttp.NewClient(engineConnect, engineIdle, 1)
	defer closeEngines()
	controller := rlbcontrol.New(rlbcontrol.Opts{
		Common: common, Objects: objects, Instances: instances, Weights: weights,
		Engine:  func(address string) rlbengine.Engine { return rlbengine.NewClient(address, engines, engineTimeout) },
		Dial:    keys.WrapDialer(rlblink.DialTCP),
		Address: control.Addr().String(), Metrics: registry,
	})
	_, closeServer := rlblink.NewServer(context.Background(), keys.WrapListener(control), rlbcontrol.LinkOpts(controller))
	defer closeServer()
	console := &http.Server{Handler: rlbconsole.New(controller, registry).Handler(), ReadHeaderTimeout: headerWait}
	go func() { _ = console.Serve(keys.WrapListener(operators)) }() // ends with Close
	defer func() { _ = console.Close() }()
	ready := rlbcommon.ReadyLine{
		Program: "rlb-controller", Instance: s.Text(rlbsettings.InstanceID),
		Listen: map[string]string{"control": control.Addr().String(), "operators": operators.Addr().String()},
	}
	if err := rlbcommon.PrintReady(out, ready); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		controller.Run(run)
	}()
	<-stop.Done()
	common.Log.Info("shutting down")
	controller.Drain()
	time.Sleep(giveUpLeases)
	cancel()
	<-done
	return nil
}

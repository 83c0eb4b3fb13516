// Package rlbapp sets up and runs the stand-ins.
package rlbapp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeservice"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbrecord"
)

const (
	crashExitStatus     = 3
	drainTimeout        = 30 * time.Second
	drainNotice         = 2 * time.Second // lets controllers see that the engine is draining
	maxAdapters         = 16              // resident on one engine at once
	fetchConnectTimeout = time.Second
	fetchIdleTimeout    = time.Minute
	maxFetchConns       = 64
)

// refreshInterval is how often the replicas of a deployment rewrite their entries.
const refreshInterval = time.Second

// deploymentDomains are the failure domains of a deployment.
var deploymentDomains = []string{"seeb", "bawshar", "muttrah"}

// Kind is a kind of stand-in, run by the subcommand of its name.
type Kind struct {
	Name, Short string
	Run         func(context.Context, *rlbcommon.Common, io.Writer) error
}

// Kinds lists the stand-ins.
var Kinds = []Kind{
	{"platform", "Object API, instance list and weight store", runPlatform},
	{"engine", "A model engine", runEngine},
	{"service", "A plain service", runService},
	{"site", "A small deployment: object store, engines and plain services", runDeployment},
}

func runPlatform(ctx context.Context, common *rlbcommon.Common, out io.Writer) error {
	s := common.Settings
	var instances []rlbinstance.Instance
	for _, item := range s.List(rlbsettings.StandinInstances) {
		instance, ok := rlbfakeplatform.ParseInstance(item)
		if !ok {
			return fmt.Errorf("[standin] instances: %q is not id|type|address|control|failure_domain|role|fencing", item)
		}
		instances = append(instances, instance)
	}
	platform := rlbfakeplatform.New(
		rlbfake.NewObjects(),
		rlbfakeplatform.NewInstanceList(s.Duration(rlbsettings.StandinListLag), time.Now, instances),
		rlbfakeplatform.NewWeightStore(rlbfakeplatform.WeightOpts{
			LoadsPerSecond: s.Ratio(rlbsettings.StandinLoadRate),
			LoadsAtOnce:    s.Int(rlbsettings.StandinLoadsAtOnce),
			LoadTime:       s.Duration(rlbsettings.StandinLoadTime),
			ModelMemory:    s.Bytes(rlbsettings.StandinModelMemory),
		}),
	)
	return serve(ctx, common, out, platform.Handler(), func() {})
}

func runEngine(ctx context.Context, common *rlbcommon.Common, out io.Writer) error {
	s := common.Settings
	storeClient, closeStoreClient := rlbhttp.NewClient(fetchConnectTimeout, fetchIdleTimeout, maxFetchConns)
	defer closeStoreClient()
	base := "http://" + s.Text(rlbsettings.PlatformWeights)
	fetch := func(kind string) func(context.Context, string, string) error {
		return func(ctx context.Context, name, version string) error {
			_, err := rlbhttp.Call(ctx, storeClient, http.MethodPost, base+kind+url.PathEscape(name)+"/"+url.PathEscape(version), nil, nil)
			return err
		}
	}
	record, closeRecord, err := rlbrecord.Open(s.Text(rlbsettings.StandinRecord))
	if err != nil {
		return err
	}
	defer closeRecord()
	engine := rlbfakeengine.New(rlbfakeengine.Opts{
		ID: s.Text(rlbsettings.InstanceID), Incarnation: uint64(time.Now().UnixNano()),
		Memory: s.Bytes(rlbsettings.StandinMemory), Fencing: s.Bool(rlbsettings.StandinFencing),
		Slots: s.Int(rlbsettings.StandinSlots), PrefillRate: s.Int(rlbsettings.StandinPrefillRate),
		Step: s.Duration(rlbsettings.StandinStep), StepPerRequest: s.Duration(rlbsettings.StandinStepPerRequest),
		MaxAdapters: maxAdapters, Prefixes: s.Int(rlbsettings.StandinPrefixes), Fetch: fetch("/weights/"), FetchAdapter: fetch("/adapters/"),
		Crash: func() { os.Exit(crashExitStatus) }, Record: record,
	})
	return serve(ctx, common, out, engine.Handler(), func() {
		engine.Drain()
		time.Sleep(drainNotice)
	})
}

func runService(ctx context.Context, common *rlbcommon.Common, out io.Writer) error {
	record, closeRecord, err := rlbrecord.Open(common.Settings.Text(rlbsettings.StandinRecord))
	if err != nil {
		return err
	}
	defer closeRecord()
	service := rlbfakeservice.New(common.Settings.Text(rlbsettings.InstanceID), record)
	return serve(ctx, common, out, service.Handler(), func() {})
}

// runDeployment serves a small deployment. The store listens on the stand-in's
// address; the replicas use the ports after it.
func runDeployment(ctx context.Context, common *rlbcommon.Common, out io.Writer) error {
	s := common.Settings
	address, err := netip.ParseAddrPort(s.Text(rlbsettings.StandinListen))
	if err != nil {
		return fmt.Errorf("[standin] listen: %w", err)
	}
	deployment, cleanUp, err := rlbfakedeployment.NewDeployment(rlbfakedeployment.DeploymentOpts{
		Host: address.Addr().String(), Port: int(address.Port()), Domains: deploymentDomains, Step: s.Duration(rlbsettings.StandinStep),
	})
	defer cleanUp()
	if err != nil {
		return err
	}
	ready := rlbcommon.ReadyLine{Program: "rlb-standin", Instance: s.Text(rlbsettings.InstanceID), Listen: map[string]string{
		"store": address.String(), "example": deployment.Example,
	}}
	if err := rlbcommon.PrintReady(out, ready); err != nil {
		return err
	}
	for rlbcommon.Sleep(ctx, refreshInterval) {
		deployment.Refresh()
	}
	return nil
}

// serve serves until stop is done, calls beforeShutdown, and waits for the
// requests in flight, at most for drainTimeout.
func serve(stop context.Context, common *rlbcommon.Common, out io.Writer, handler http.Handler, beforeShutdown func()) error {
	listener, err := rlbcommon.Listen(common.Settings, rlbsettings.StandinListen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: drainTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ready := rlbcommon.ReadyLine{
		Program: "rlb-standin", Instance: common.Settings.Text(rlbsettings.InstanceID),
		Listen: map[string]string{"requests": listener.Addr().String()},
	}
	if err := rlbcommon.PrintReady(out, ready); err != nil {
		return err
	}
	select {
	case err := <-served:
		return err
	case <-stop.Done():
	}
	beforeShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

// Package rlbapp puts the parts of a node together and runs them.
package rlbapp

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbproxy"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbscheduler"
)

// Fixed terms of a node.
const (
	connectTimeout = 400 * time.Millisecond // to an endpoint or the object API
	idleTimeout    = 4 * time.Second        // of connections to the object API and to engines' control side
	idlePerHost    = 4
	sweepPeriod    = 250 * time.Millisecond
	endpointWait   = 30 * time.Second // for an endpoint, where a request states nothing
)

// app is a running node.
type app struct {
	*rlbcommon.Common
	name     string
	domain   string
	address  string // for other instances
	life     int64
	number   uint64       // of the latest digest
	grace    atomic.Int64 // nanoseconds
	registry metrics.Registry
	api      rlbobject.API
	view     *rlbdiscovery.View
	fleet    *rlbpeer.Fleet
	link     *rlbpeer.Link
	loads    *rlbbalancer.Balancer
	front    *rlbproxy.Server
	duty     *rlbscheduler.Scheduler
	holds    func() bool // whether this instance holds the lease for orders
	catcher  *catcher
	// registrations are those that were there at the latest look of the holder.
	registrations map[string]seen
}

// decoder decodes what operators and endpoints write on the platform.
type decoder struct{}

// Config implements rlbdiscovery.Decoder.
func (decoder) Config(value []byte) (*rlbdeployment.Config, error) {
	return rlbplatform.DecodeConfig(value)
}

// Endpoint implements rlbdiscovery.Decoder.
func (decoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	return rlbplatform.DecodeEndpoint(id, value)
}

// Run serves until stop ends, then shuts down gracefully.
func Run(stop context.Context, common *rlbcommon.Common, out io.Writer) error {
	a, cleanUp, err := newApp(common)
	if err != nil {
		return err
	}
	defer cleanUp()
	servers, closeServers, err := a.listen()
	if err != nil {
		return err
	}
	defer closeServers()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.start(ctx)
	go a.followSettings(ctx)
	ready := rlbcommon.ReadyLine{Program: "rlb-node", Instance: a.name, Listen: map[string]string{
		"callers": servers.callers.Addr, "readiness": servers.ready.Addr, "internal": a.address,
	}}
	if err := rlbcommon.PrintReady(out, ready); err != nil {
		return err
	}
	select {
	case err := <-servers.failed:
		return err
	case <-stop.Done():
	}
	return a.shutDown(servers)
}

func newApp(common *rlbcommon.Common) (*app, func(), error) {
	settings := common.Settings
	listen, err := internalAddress(settings, 0)
	if err != nil {
		return nil, nil, err
	}
	a := &app{
		Common: common, name: settings.Text(rlbsettings.InstanceID), domain: settings.Text(rlbsettings.InstanceDomain),
		address: cmp.Or(settings.Text(rlbsettings.NodeAdvertise), listen), life: time.Now().UnixNano(),
		registry: metrics.NewRegistry(), loads: rlbbalancer.New(),
	}
	a.grace.Store(int64(settings.Duration(rlbsettings.NodeGrace)))
	a.fleet = rlbpeer.NewFleet(a.name, a.domain)
	a.view = rlbdiscovery.New(a.Log, decoder{}, rlbclock.Now)
	objectClient, closeObjects := rlbhttp.NewClient(connectTimeout, idleTimeout, idlePerHost)
	engineClient, closeEngines := rlbhttp.NewClient(connectTimeout, idleTimeout, idlePerHost)
	a.api = rlbplatform.NewObjects(settings.Text(rlbsettings.PlatformObjects), objectClient)
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		Dial: rlbdispatch.DialTCP(connectTimeout), FirstByteTimeout: endpointWait, ReusedFirstByteTimeout: endpointWait, IdleTimeout: endpointWait, SweepInterval: sweepPeriod,
	})
	link, closeLink, err := rlbpeer.NewLink(rlbpeer.LinkOpts{Log: a.Log, Listen: listen, Address: a.address, Fleet: a.fleet, Now: rlbclock.Now, Handler: a.answer, Digest: a.digest, LoadVersion: a.loads.LoadVersion})
	if err != nil {
		return nil, nil, fmt.Errorf("listen on [node] internal: %w", err)
	}
	a.link = link
	a.duty = rlbscheduler.New(rlbscheduler.Opts{
		Log: a.Log, Name: a.name, Domain: a.domain, Incarnation: a.name + "/" + strconv.FormatInt(a.life, 36),
		API: a.api, Engines: rlbplatform.NewEngines(engineClient), View: a.view, Fleet: a.fleet, Query: link.Query,
		Demand: a.demand, Load: a.load, Cost: a.cost, LeaseTTL: settings.Duration(rlbsettings.NodeLeaseTTL),
		LoadWindow: settings.Duration(rlbsettings.NodeLoadWindow), TakeoverDelay: settle(settings),
		APIUnavailable: func() bool { return a.catcher.away() }, Now: rlbclock.Now,
	})
	a.front = rlbproxy.New(rlbproxy.Opts{
		Log: a.Log, Domain: a.domain, View: a.view, Loads: a.loads, Others: a.others,
		Crashes:   func(print uint64) int { return a.fleet.Crashes(rlbclock.Now(), print) },
		Instances: func() int { return a.fleet.KnownInstances(rlbclock.Now()) }, Dispatcher: dispatcher, Adapters: a.duty,
		Budget:  budgetTerms(settings),
		Metrics: a.registry, Now: rlbclock.Now,
	})
	a.catcher = a.newCatcher()
	a.holds = func() bool { return a.duty.Fence() > 0 }
	return a, func() {
		closeLink()
		closeDispatcher()
		closeEngines()
		closeObjects()
	}, nil
}

// settle returns how long a new holder of the lease gives no orders.
func settle(settings *rlbsettings.Settings) time.Duration {
	if settings.Bool(rlbsettings.NodeFencing) {
		return 0
	}
	return settings.Duration(rlbsettings.NodeLeaseTTL)
}

// internalAddress returns the address with the first or, with -1, the last of the
// internal ports.
func internalAddress(settings *rlbsettings.Settings, which int) (string, error) {
	ports := settings.List(rlbsettings.NodeInternalPorts)
	if len(ports) < 2 {
		return "", fmt.Errorf("[node] internal_ports: want the first and the last port, got %v", ports)
	}
	port := ports[0]
	if which < 0 {
		port = ports[len(ports)-1]
	}
	return net.JoinHostPort(settings.Text(rlbsettings.NodeInternal), port), nil
}

// start runs the systems until ctx ends.
func (a *app) start(ctx context.Context) {
	go a.catcher.config.Run(ctx)
	go a.catcher.endpoints.Run(ctx)
	go a.register(ctx)
	go a.link.Run(ctx)
	go a.duty.Run(ctx)
	go a.sweep(ctx)
}

func (a *app) sweep(ctx context.Context) {
	for rlbcommon.Sleep(ctx, sweepPeriod) {
		a.view.Sweep()
		a.catcher.sweep(ctx)
		snapshot := a.view.Snapshot()
		a.loads.Prune(func(id string) bool { return snapshot.ByID[id] != nil })
	}
}

func (a *app) demand() map[string]float32 { return a.front.Demand().Read() }

// others returns the other instances' work at an endpoint.
func (a *app) others(endpoint string) rlbbalancer.Load {
	return a.fleet.Load(rlbclock.Now(), rlbpeer.EndpointKey(endpoint))
}

// load returns all instances' work at an endpoint.
func (a *app) load(endpoint string) rlbbalancer.Load {
	return a.others(endpoint).Add(a.loads.LocalLoad(endpoint))
}

// cost returns what speaks against an engine for a request of an instance of the
// domain.
func (a *app) cost(e *rlbdeployment.Endpoint, domain string) time.Duration {
	return a.load(e.ID).Cost(a.loads.Capacity(e, true), e.Domain == domain)
}

// digest returns what the others are told next.
func (a *app) digest() rlbpeer.Digest {
	a.number++
	d := rlbpeer.Digest{
		Name: a.name, Domain: a.domain, Address: a.address, Incarnation: a.life, Sequence: a.number,
		Leaving: a.front.Leaving(), APIUnavailable: a.catcher.lost(), APIAvailable: a.catcher.answered(), ConfigVersion: a.configVersion(), EntryRevision: uint64(a.view.Revision()),
		Loads: map[uint32]rlbpeer.Load{}, Demand: a.demand(), Crashes: a.front.Crashes(),
	}
	if fence := a.duty.Fence(); fence > 0 {
		d.LeaseHolder = &rlbpeer.LeaseHolder{Name: a.name, Address: a.address, Fence: fence}
		d.LeaseHolder.SetLoadAges(rlbclock.Now(), a.duty.RecentLoads())
	}
	a.loads.Loads(rlbclock.Now(), func(id string, load rlbbalancer.Load) { d.Loads[rlbpeer.EndpointKey(id)] = rlbpeer.NewLoad(load) })
	return d
}

// answer answers the questions of other instances.
func (a *app) answer(ctx context.Context, q rlbpeer.Query) rlbpeer.Reply {
	switch {
	case q.Adapter != nil && a.duty.Fence() > 0:
		return a.duty.ServeAdapterQuery(ctx, *q.Adapter)
	case q.Adapter != nil:
		return rlbpeer.Reply{Reason: "this instance does not hold the lease for orders"}
	case q.Changes != nil:
		return a.known(*q.Changes)
	default:
		return rlbpeer.Reply{Reason: "unknown question"}
	}
}

// Package rlbapp assembles the components of an rlb-node instance and runs them.
package rlbapp

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbproxy"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbscheduler"
)

// Timeouts and limits of an instance that are not settings.
const (
	connectTimeout      = 400 * time.Millisecond // to an endpoint or the object API
	idleTimeout         = 4 * time.Second        // of connections to the object API and to the endpoints' control interface
	maxIdleConnsPerHost = 4
	sweepPeriod         = 250 * time.Millisecond
	dropPeriod          = 50 * time.Millisecond // of checks whether the grace period of a removed entry has ended
	endpointTimeout     = 30 * time.Second      // for an answer, if the request sets no timeout
	// silenceIntervals is the number of report intervals within which the platform has
	// removed the entry of an endpoint that writes none: it does so after three.
	silenceIntervals = 4
)

// app is a running instance.
type app struct {
	*rlbcommon.Common
	name        string
	domain      string
	address     string // at which the other instances reach this one
	incarnation int64
	startedAt   time.Time
	now         func() time.Time // monotonic clock, see rlbclock.Now
	// firstRegistered reports that this instance was registered before its start, and that no
	// registered instance of its domain has a lower name.
	firstRegistered atomic.Bool
	digestNumber    uint64       // sequence of the latest digest
	grace           atomic.Int64 // grace period of the shutdown, in nanoseconds
	registry        metrics.Registry
	api             rlbobject.API
	staleAPI        rlbobject.API // the same with reads that may return data that is seconds old
	apiEra          func() uint64 // number of the latest restore of the object API that it has named to this instance
	view            *rlbdiscovery.View
	fleet           *rlbpeer.Fleet
	link            *rlbpeer.Link
	balancer        *rlbbalancer.Balancer
	crashes         *rlbcrash.Evidence
	limiter         *rlbratelimit.Limiter
	quotas          *rlbquota.Limiter
	quotaLog        *quotaLog
	proxy           *rlbproxy.Server
	scheduler       *rlbscheduler.Scheduler
	holdsLease      func() bool // reports whether this instance holds the lease for orders
	catchUp         *catchUp
	machine         rlbintake.Machine
	intake          *rlbintake.Intake
	origins         *streamOrigins
	spillover       *spillover // nil: other failure domains have a fixed cost
	dialer          *endpointDialer
	// registrations are those in the latest list that this instance read as the lease
	// holder, by name.
	registrations map[string]observedRegistration
}

// decoder decodes configs and endpoint entries in the format of the platform.
type decoder struct{}

// Config implements rlbdiscovery.Decoder.
func (decoder) Config(value []byte) (*rlbdeployment.Config, error) {
	return rlbplatform.DecodeConfig(value)
}

// Endpoint implements rlbdiscovery.Decoder.
func (decoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	return rlbplatform.DecodeEndpoint(id, value)
}

// Run starts the instance, serves until stop is done, and then shuts down gracefully.
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
	go a.watchSettings(ctx)
	ready := rlbcommon.ReadyLine{Program: "rlb-node", Instance: a.name, Listen: map[string]string{
		"callers": servers.callers.Addr, "readiness": servers.readiness.Addr, "internal": a.address,
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
		address: cmp.Or(settings.Text(rlbsettings.NodeAdvertise), listen), incarnation: time.Now().UnixNano(), startedAt: rlbclock.Now(), now: rlbclock.Now,
		registry: metrics.NewRegistry(), balancer: rlbbalancer.New(),
	}
	a.machine = rlbintake.ReadMachine(settings)
	a.machine.LimitHeap()
	a.intake = rlbintake.FromSettings(common, a.machine, a.registry)
	a.grace.Store(int64(settings.Duration(rlbsettings.NodeGrace)))
	a.fleet = rlbpeer.NewFleet(a.name, a.domain)
	a.crashes = rlbcrash.New(rlbcrash.Opts{Instance: a.name, Now: rlbclock.Now})
	a.limiter = rlbratelimit.New(rlbratelimit.Opts{Now: rlbclock.Now, Random: rand.Float64, Peers: a.peerLimits})
	a.quotas = rlbquota.New(rlbquota.Opts{
		Now: rlbclock.Now, Random: rand.Float64, Domain: a.domain, InForce: a.quotasInForce,
		Registered: func() map[string]int { return a.fleet.RegisteredInstances(rlbclock.Now()) },
	})
	a.quotaLog = newQuotaLog(a.Log)
	a.view = rlbdiscovery.New(a.Log, decoder{}, rlbclock.Now, silenceIntervals*settings.Duration(rlbsettings.NodeReportInterval))
	a.view.SetBound(settings.Duration(rlbsettings.NodeDrain))
	objectClient, closeObjects := rlbhttp.NewClient(connectTimeout, idleTimeout, maxIdleConnsPerHost)
	a.dialer = a.newDialer()
	engineClient, closeEngines := rlbhttp.NewClientWithDial(a.dialer.dialControl, idleTimeout, maxIdleConnsPerHost)
	objects := rlbplatform.NewObjects(settings.Text(rlbsettings.PlatformObjects), objectClient)
	a.api, a.staleAPI = countedObjects{objects, a.registry, ""}, countedObjects{objects.WithStaleReads(), a.registry, "stale_"}
	a.apiEra = objects.Era
	a.spillover = newSpillover(a)
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		IDHeader: rlbplatform.HeaderRequestID, RequireID: true,
		Dial: a.spillover.measured(a.dialer.dial), FirstByteTimeout: endpointTimeout, ReusedFirstByteTimeout: endpointTimeout, IdleTimeout: endpointTimeout, SweepInterval: sweepPeriod,
		MaxMemory: a.machine.AnswerBytes(),
	})
	a.dialer.dropIdle = dispatcher.DropIdle
	a.origins = newStreamOrigins(a)
	linkOpts := a.linkOpts()
	linkOpts.Listen, linkOpts.Intake, linkOpts.Crashes, linkOpts.Learn, linkOpts.Quotas, linkOpts.Digest = listen, a.acceptPeers, a.crashes, a.origins.learn, a.quotas, a.nextDigest
	linkOpts.Connect, linkOpts.MaxTunnels = a.dialer.dialFor, a.machine.Connections(rlbintake.ControlShare)/2
	linkOpts.Changes = func() uint64 { return a.balancer.LoadVersion() + a.origins.BegunCount() + a.view.LeavingCount() }
	link, closeLink, err := rlbpeer.NewLink(linkOpts)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on [node] internal: %w", err)
	}
	a.link = link
	a.scheduler = rlbscheduler.New(rlbscheduler.Opts{
		Log: a.Log, Name: a.name, Domain: a.domain, Incarnation: a.name + "/" + strconv.FormatInt(a.incarnation, 36),
		API: a.api, Engines: rlbplatform.NewEngines(engineClient), View: a.view, Fleet: a.fleet, Query: link.Query,
		Demand: a.demand, Load: a.totalLoad, Cost: a.cost, Limits: a.limiter, HeldOff: func(id string) bool { return a.balancer.HeldOff(rlbclock.Now(), id) }, Silent: a.silent, Settled: a.settled, CutOff: a.dialer.cutOff, LeaseTTL: settings.Duration(rlbsettings.NodeLeaseTTL),
		LoadWindow: settings.Duration(rlbsettings.NodeLoadWindow), TakeoverDelay: takeoverDelay(settings),
		APIAvailable: func() bool { return a.catchUp.available() }, APIUnavailable: func() bool { return a.catchUp.unavailableEverywhere() }, Now: rlbclock.Now,
	})
	a.proxy = a.newProxy(dispatcher)
	a.catchUp = a.newCatchUp()
	a.holdsLease = func() bool { return a.scheduler.Fence() > 0 }
	return a, func() {
		closeLink()
		closeDispatcher()
		closeEngines()
		closeObjects()
	}, nil
}

// newProxy returns the handler of callers' requests.
func (a *app) newProxy(dispatcher *rlbdispatch.Dispatcher) *rlbproxy.Server {
	opts := rlbproxy.Opts{
		Log: a.Log, Domain: a.domain, View: a.view, Balancer: a.balancer, PeerLoad: a.peerLoad,
		Crashes: a.crashes, Instances: func() int { return a.fleet.KnownInstances(rlbclock.Now()) }, Dispatcher: dispatcher, Adapters: a.scheduler, Origins: a.origins,
		Limiter: a.limiter, ModelChanges: a.modelChanges,
		RetryBudget: retryBudgetLimits(a.Settings), MaxBodies: a.machine.BodyBytes(),
		Quotas: a.quotas, ConfigCurrent: func() bool { return a.catchUp.configCurrent() },
		Metrics: a.registry, Now: rlbclock.Now,
	}
	if a.spillover != nil {
		opts.Spillover = a.spillover
	}
	return rlbproxy.New(opts)
}

// linkOpts returns the options of the link to other instances that concern the view of the
// deployment.
func (a *app) linkOpts() rlbpeer.LinkOpts {
	return rlbpeer.LinkOpts{
		Log: a.Log, Address: a.address, Fleet: a.fleet, Now: a.now, Handler: a.handleQuery,
		Leavings: a.applyLeavings, Changes: a.view.LeavingCount,
	}
}

// takeoverDelay returns how long a new lease holder sends no orders. No delay is
// needed where endpoints check fencing numbers.
func takeoverDelay(settings *rlbsettings.Settings) time.Duration {
	if settings.Bool(rlbsettings.NodeFencing) {
		return 0
	}
	return settings.Duration(rlbsettings.NodeLeaseTTL)
}

// internalAddress returns the address with the first internal port or, if index is
// -1, with the last one.
func internalAddress(settings *rlbsettings.Settings, index int) (string, error) {
	ports := settings.List(rlbsettings.NodeInternalPorts)
	if len(ports) < 2 {
		return "", fmt.Errorf("[node] internal_ports: want the first and the last port, got %v", ports)
	}
	port := ports[0]
	if index < 0 {
		port = ports[len(ports)-1]
	}
	return net.JoinHostPort(settings.Text(rlbsettings.NodeInternal), port), nil
}

// start runs the components in the background until ctx ends.
func (a *app) start(ctx context.Context) {
	a.startWatching(ctx)
	go a.register(ctx)
	go (&crashStore{app: a}).run(ctx)
	go a.origins.run(ctx)
	go a.link.Run(ctx)
	go a.scheduler.Run(ctx)
	go a.sweep(ctx)
	if a.spillover != nil {
		go a.spillover.run(ctx)
	}
}

// startWatching keeps the view up to date in the background until ctx ends.
func (a *app) startWatching(ctx context.Context) {
	go a.catchUp.configWatcher.Run(ctx)
	go a.catchUp.endpointWatcher.Run(ctx)
	go func() {
		for rlbcommon.Sleep(ctx, dropPeriod) {
			a.view.DropRemoved()
		}
	}()
}

// applyLeavings applies what another instance knows about endpoints that leave.
func (a *app) applyLeavings(draining []uint64, removed []rlbdiscovery.Removed) {
	a.view.MarkDrainingIncarnations(draining, sourcePeer)
	a.view.ApplyRemoved(removed, sourcePeer)
}

// knowsEndpoint reports whether an endpoint has an address.
func (a *app) knowsEndpoint(address string) bool {
	for _, e := range a.view.Snapshot().ByID {
		if e.Address == address {
			return true
		}
	}
	return false
}

// tidy forgets what concerns endpoints that are gone.
func (a *app) tidy() {
	a.proxy.LogQuarantine()
	a.dialer.paths.Prune()
	snapshot := a.view.Snapshot()
	a.balancer.Prune(rlbclock.Now(), func(id string) bool { return snapshot.ByID[id] != nil })
}

func (a *app) sweep(ctx context.Context) {
	var era uint64
	for rlbcommon.Sleep(ctx, sweepPeriod) {
		era = a.sweepView(ctx, era)
		a.tidy()
		a.logQuotas()
	}
}

// sweepView does what is due in the view of the deployment. It takes and returns the era of
// the object API.
func (a *app) sweepView(ctx context.Context, era uint64) uint64 {
	era = a.checkEra(era)
	a.view.Sweep()
	a.view.MarkDrainingIncarnations(a.fleet.DrainingEndpoints(a.now()), sourcePeer)
	a.catchUp.step(ctx)
	return era
}

// checkEra logs that the object API names another era than the known one, and makes watches
// of an earlier era list again. It returns the era.
func (a *app) checkEra(known uint64) uint64 {
	era := a.era()
	if era != known {
		a.Log.WithFields(log.Fields{"previous": known, "era": era}).Info("object API names another era; each restore from a copy begins one")
	}
	a.catchUp.configWatcher.CheckEra(era)
	a.catchUp.endpointWatcher.CheckEra(era)
	return era
}

// era returns the number of the latest restore of the object API that this instance or
// another one has seen.
func (a *app) era() uint64 { return max(a.apiEra(), a.view.Revision().Era()) }

func (a *app) demand() map[string]float32 { return a.proxy.Demand().Read() }

// peerLoad returns the load of the other instances at an endpoint.
func (a *app) peerLoad(endpoint string) rlbbalancer.Load {
	return a.fleet.Load(rlbclock.Now(), rlbpeer.EndpointKey(endpoint))
}

// peerLimits returns what the other instances know about the limit of an endpoint.
func (a *app) peerLimits(endpoint string) rlbratelimit.Peers {
	return a.fleet.Limits(rlbclock.Now(), rlbpeer.EndpointKey(endpoint))
}

// quotasInForce reports whether the config in force has workspaces, which may have quotas.
func (a *app) quotasInForce() bool {
	config := a.view.Snapshot().Config
	return config != nil && config.IdentifiesCallers()
}

// totalLoad returns the load of all instances at an endpoint.
func (a *app) totalLoad(endpoint string) rlbbalancer.Load {
	return a.peerLoad(endpoint).Add(a.balancer.LocalLoad(endpoint))
}

// silent reports whether several instances got no answers from an endpoint lately.
func (a *app) silent(endpoint string) bool {
	return a.balancer.Silent(rlbclock.Now(), endpoint, a.peerLoad(endpoint))
}

// modelChanges returns the changes that the lease holder, which may be this instance, knows.
func (a *app) modelChanges() rlbpeer.ModelChanges {
	if a.scheduler.Fence() > 0 {
		return a.scheduler.ModelChanges()
	}
	return a.fleet.ModelChanges(rlbclock.Now())
}

// cost returns the cost of sending a request from an instance of a failure domain to
// an endpoint with an engine.
func (a *app) cost(e *rlbdeployment.Endpoint, domain string) time.Duration {
	return a.totalLoad(e.ID).Cost(a.balancer.Capacity(e, true), e.Domain == domain) + a.limiter.Cost(e.ID)
}

// nextDigest returns the next digest to send to the other instances.
func (a *app) nextDigest() rlbpeer.Digest {
	d := a.viewDigest()
	d.Draining, d.Demand = a.proxy.Draining(), a.demand()
	d.Loads, d.Crashes = map[uint32]rlbpeer.Load{}, rlbpeer.NewCrashRecords(rlbclock.Now(), a.crashes.Report())
	d.BegunStreams = rlbpeer.NewBegunStreams(a.origins.Announcements())
	d.Quotas = rlbpeer.NewQuotaUsages(a.quotas.Usages())
	if fence := a.scheduler.Fence(); fence > 0 {
		d.LeaseHolder = &rlbpeer.LeaseHolder{Name: a.name, Address: a.address, Fence: fence}
		d.LeaseHolder.AddLoadAges(rlbclock.Now(), a.scheduler.RecentLoads())
		d.LeaseHolder.Unloaded, d.LeaseHolder.Loaded = a.scheduler.ModelChanges().Keys()
	}
	d.CutOff = !a.dialer.paths.CutOffSince().IsZero()
	a.balancer.Loads(rlbclock.Now(), func(id string, load rlbbalancer.Load) {
		if d.CutOff {
			load.FailureReports = 0 // the links of this instance are to blame
		}
		d.Loads[rlbpeer.EndpointKey(id)] = rlbpeer.NewLoad(load)
	})
	if a.spillover != nil {
		d.Spillover, d.Traffic = *a.spillover.shares.Load(), *a.spillover.traffic.Load()
	}
	for _, r := range a.limiter.Reports() {
		if d.Limits == nil {
			d.Limits = map[uint32]rlbpeer.EndpointLimit{}
		}
		d.Limits[rlbpeer.EndpointKey(r.Endpoint)] = rlbpeer.NewEndpointLimit(rlbclock.Now(), r.Statement, r.Demand)
	}
	return d
}

// viewDigest returns the next digest with what it says about the view of the deployment.
func (a *app) viewDigest() rlbpeer.Digest {
	a.digestNumber++
	draining, removed := a.view.Leavings()
	fingerprint, revision := a.view.Fingerprint()
	return rlbpeer.Digest{
		Name: a.name, Domain: a.domain, Address: a.address, Incarnation: a.incarnation, Sequence: a.digestNumber,
		APIUnavailable: a.catchUp.unavailable(), APIAvailable: a.catchUp.available(), ConfigVersion: a.configVersion(), EntryRevision: uint64(revision), Fingerprint: fingerprint,
		DrainingEndpoints: append(draining, a.view.MarkedDraining()...), RemovedEndpoints: rlbpeer.NewRemovedEndpoints(a.now(), removed),
	}
}

// handleQuery answers a query of another instance.
func (a *app) handleQuery(ctx context.Context, q rlbpeer.Query) rlbpeer.Reply {
	switch {
	case q.Adapter != nil && a.scheduler.Fence() > 0:
		return a.scheduler.ServeAdapterQuery(ctx, *q.Adapter)
	case q.Adapter != nil:
		return rlbpeer.Reply{Reason: "this instance does not hold the lease for orders"}
	case q.Changes != nil && q.Changes.Known:
		return a.knownEntries()
	case q.Changes != nil:
		return a.changesSince(*q.Changes)
	default:
		return rlbpeer.Reply{Reason: "unknown question"}
	}
}

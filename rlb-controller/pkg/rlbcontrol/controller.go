// Package rlbcontrol implements the controller. On each tick it runs membership,
// collection of load reports, leases, placement and orders to engines on its
// tables, and starts the I/O that these require. It also publishes release notes
// and answers claims.
package rlbcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
)

// Timing of a controller.
const (
	heartbeatTimeout   = 3 * ControllerUpdateInterval // time without a heartbeat after which a controller or gateway counts as failed
	minPlanInterval    = time.Second
	heartbeatInterval  = time.Second
	processRetention   = 10 * time.Minute // time without a heartbeat after which a process is removed
	guardUpdateTimeout = 2 * time.Second  // for an update of the guards, which reads the state of engines
)

// Intervals at which a controller sends updates. Urgent changes are sent at once.
const (
	GatewayUpdateInterval    = 250 * time.Millisecond
	ControllerUpdateInterval = 2 * time.Second
)

// LinkOpts returns the server options for a controller's links.
func LinkOpts(c *Controller) rlblink.ServerOpts {
	return rlblink.ServerOpts{
		Log: c.Log, Source: c, UpdateInterval: GatewayUpdateInterval, ControllerIntervalFactor: int(ControllerUpdateInterval / GatewayUpdateInterval), UrgentChanges: c.urgentChanges, IdleTimeout: heartbeatTimeout,
	}
}

// Opts are the dependencies of a controller.
type Opts struct {
	*rlbcommon.Common
	Objects   rlbobject.API
	Instances rlbinstance.Lister
	Weights   rlbweightstore.Store
	Engine    func(address string) rlbengine.Engine
	Dial      rlblink.Dial
	Address   string // control address of this controller
	Metrics   metrics.Registry
}

// Controller is one controller. All tables are guarded by mu; I/O runs without
// mu held and applies its result under it.
type Controller struct {
	Opts
	id          string
	domain      string
	incarnation string // lease holder ID, unique to this run of the process
	startedAt   int64
	membership  rlbmembership.Opts
	placement   rlbplacement.Opts

	mu            sync.Mutex
	fleet         *rlbfleetstate.State
	live          []rlbmembership.Controller // live controllers, including this one
	heartbeats    uint64                     // number of heartbeats of this controller
	lastHeartbeat time.Time
	urgentChanges chan struct{}
	assignment    assignment
	draining      bool
	watching      bool
	nextPoll      map[string]time.Time      // by engine
	peers         map[string]*peer          // by control address
	leases        map[string]*leaseState    // by failure domain
	trackers      map[string]*engineTracker // by engine, in the failure domains whose lease is held
	guards        guardState
	demand        map[string]float64 // moving average by model, in requests in flight
	nextPlan      time.Time          // earliest time of the next plan
	plan          []rlbplacement.Proposal
	loadLimiter   loadLimiter
	shards        []*shard // of claims; empty until their number has been read
	journal       journal
	burn          *rlbburn.Recorder
	alerted       map[string]bool // models whose error budget burns too fast
	cancelWatch   context.CancelFunc
	group         sync.WaitGroup
}

// New returns a controller, which is idle until Run is called.
func New(opts Opts) *Controller {
	settings := opts.Settings
	id, domain := settings.Text(rlbsettings.InstanceID), settings.Text(rlbsettings.InstanceDomain)
	c := &Controller{
		Opts: opts, id: id, domain: domain, incarnation: id + "/" + uuid.NewString()[:8], startedAt: time.Now().UnixNano(),
		membership: rlbmembership.Opts{
			Self:             rlbmembership.Controller{ID: id, FailureDomain: domain, Address: opts.Address},
			HeartbeatTimeout: heartbeatTimeout,
		},
		placement: rlbplacement.Opts{
			MoveWeight:  settings.Ratio(rlbsettings.ControllerMoveWeight),
			Slots:       defaultSlots,
			LoadsAtOnce: settings.Int(rlbsettings.ControllerLoadsAtOnce),
			Replicas:    settings.Int(rlbsettings.ControllerReplicas),
		},
		fleet:    rlbfleetstate.New(),
		nextPoll: map[string]time.Time{},
		peers:    map[string]*peer{},
		leases:   map[string]*leaseState{},
		trackers: map[string]*engineTracker{},
		demand:   map[string]float64{},
		burn:     rlbburn.NewRecorder(), alerted: map[string]bool{},
		urgentChanges: make(chan struct{}, 1),
		loadLimiter:   loadLimiter{rate: settings.Ratio(rlbsettings.ControllerLoadRate)},
	}
	return c
}

// Run ticks until ctx is done, then closes the links to peers and waits for the
// goroutines that it started.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.group.Wait()
	defer cancel()
	defer c.closePeers()
	ticker := time.NewTicker(c.Settings.Duration(rlbsettings.ControllerTick))
	defer ticker.Stop()
	for {
		c.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain makes the controller announce that it is draining and release its
// leases. It continues to serve its links.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.membership.Self.Draining = true
}

// tick runs each subsystem once.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Expire(now, now.Add(-processRetention))
	c.live = rlbmembership.LiveControllers(c.fleet, now, c.membership)
	c.updateAssignment(now)
	c.heartbeat(now)
	c.linkPeers(ctx)
	c.updateWatch(ctx)
	c.collect(ctx, now)
	c.runLeases(ctx, now)
	c.runPlacement(now)
	c.runOrders(ctx, now)
}

// signalUrgent makes the links send the pending changes at once.
func (c *Controller) signalUrgent() {
	select {
	case c.urgentChanges <- struct{}{}:
	default: // a signal is already pending
	}
}

// heartbeat updates this controller's own row in the table of processes.
func (c *Controller) heartbeat(now time.Time) {
	if now.Before(c.lastHeartbeat.Add(heartbeatInterval)) {
		return
	}
	c.lastHeartbeat = now
	c.heartbeats++
	process := rlbfleetstate.Process{
		ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessController, ID: c.id},
		StartedAt:  c.startedAt, Heartbeat: c.heartbeats, FailureDomain: c.domain, Address: c.Address,
		NoteVersion: c.fleet.Note().Version, Draining: c.draining,
	}
	for domain, l := range c.leases {
		if _, held := l.lease.Held(now); held {
			process.Leases = append(process.Leases, domain)
		}
	}
	if rlbmembership.IsDelegate(c.membership.Self, c.live) {
		process.Domain = c.domainSummary(now)
	}
	c.fleet.MergeHeartbeat(process, rlbfleetstate.OriginSelf, now)
}

// spawn runs f in a goroutine, without c.mu held. Run waits for it before it
// returns.
func (c *Controller) spawn(f func()) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		f()
	}()
}

// Delta implements rlblink.Source.
func (c *Controller) Delta(cursor *rlbfleetstate.Cursor) rlbfleetstate.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Delta(cursor)
}

// ApplyReport implements rlblink.Source.
func (c *Controller) ApplyReport(u rlbfleetstate.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyUpdate(u, rlbfleetstate.OriginSelf)
	now := time.Now()
	c.recordBurn(u.Burn, now)
	for _, refusal := range u.Refusals {
		c.journal.add(now, "request/"+refusal.RequestID, "%s", refusal.Text)
	}
}

// applyPeerUpdate merges an update received from a peer.
func (c *Controller) applyPeerUpdate(u rlbfleetstate.Update, origin rlbfleetstate.Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyUpdate(u, origin)
}

// applyUpdate merges an update. If it changes the note, crash records or engines,
// the links send these changes at once; c.mu is held.
func (c *Controller) applyUpdate(u rlbfleetstate.Update, origin rlbfleetstate.Origin) {
	version, crashes, engines := c.fleet.Note().Version, c.fleet.Crashes().Revision(), c.fleet.Engines().Revision()
	c.fleet.Merge(u, origin, time.Now())
	if c.fleet.Note().Version != version || c.fleet.Crashes().Revision() != crashes || c.fleet.Engines().Revision() != engines {
		c.signalUrgent()
	}
}

// applyEngineState merges an engine's state. If it changes, the links send the
// change at once; c.mu is held.
func (c *Controller) applyEngineState(state rlbengine.State) {
	engines := c.fleet.Engines().Revision()
	c.fleet.MergeEngineState(state, time.Now())
	if c.fleet.Engines().Revision() != engines {
		c.signalUrgent()
	}
}

// HandleCall implements rlblink.Source.
func (c *Controller) HandleCall(ctx context.Context, method rlblink.Method, body []byte) (any, error) {
	handler, known := c.callHandlers()[method]
	if !known {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	return handler(ctx, body)
}

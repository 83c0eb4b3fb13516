// Package rlbcontrol runs the systems of a controller over its tables each
// tick and carries out the steps they ask for: membership, collection of load
// reports, leases, orders to engines, placement, release notes and claims.
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

// Fixed terms of a controller.
const (
	silence       = 3 * ControllerPeriod // after which a peer without heartbeats counts as dead
	planPeriod    = time.Second
	beatPeriod    = time.Second      // between two heartbeats
	forgetNodes   = 10 * time.Minute // after which a silent node is forgotten
	engineTimeout = 2 * time.Second  // longest wait for an engine's control side
)

// Periods of the updates that a controller tells. What is urgent goes at once.
const (
	GatewayPeriod    = 250 * time.Millisecond
	ControllerPeriod = 2 * time.Second
)

// LinkOpts returns the options of the server of a controller's links.
func LinkOpts(c *Controller) rlblink.ServerOpts {
	return rlblink.ServerOpts{
		Log: c.Log, Source: c, UpdateInterval: GatewayPeriod, ControllerIntervalFactor: int(ControllerPeriod / GatewayPeriod), UrgentChanges: c.urgent, IdleTimeout: silence,
	}
}

// Opts are the parts of a controller.
type Opts struct {
	*rlbcommon.Common
	Objects   rlbobject.API
	Instances rlbinstance.Lister
	Weights   rlbweightstore.Store
	Engine    func(address string) rlbengine.Engine
	Dial      rlblink.Dial
	Address   string // own control address
	Metrics   metrics.Registry
}

// Controller is one controller. All tables are guarded by mu; what does I/O
// runs outside of it and feeds its result back.
type Controller struct {
	Opts
	id        string
	domain    string
	life      string // unique to this process's life
	epoch     int64
	member    rlbmembership.Opts
	placement rlbplacement.Opts

	mu        sync.Mutex
	world     *rlbfleetstate.State
	live      []rlbmembership.Controller
	beat      uint64
	beaten    time.Time // the latest heartbeat
	urgent    chan struct{}
	duties    duties
	draining  bool
	watching  bool
	polls     map[string]time.Time // when an engine's next report is due
	peers     map[string]*peer
	leases    map[string]*leaseState
	books     map[string]*bookState
	guards    guardState
	demand    map[string]float64
	planNext  time.Time // not before
	plan      []rlbplacement.Proposal
	loads     loadLimit
	shards    []*shard // of claims; none until their number is read
	journal   journal
	burn      *rlbburn.Recorder
	alerted   map[string]bool // models whose budget burns too fast
	stopWatch context.CancelFunc
	group     sync.WaitGroup
}

// New returns a controller that does nothing until Run.
func New(opts Opts) *Controller {
	s := opts.Settings
	id, domain := s.Text(rlbsettings.InstanceID), s.Text(rlbsettings.InstanceDomain)
	c := &Controller{
		Opts: opts, id: id, domain: domain, life: id + "/" + uuid.NewString()[:8], epoch: time.Now().UnixNano(),
		member: rlbmembership.Opts{
			Self:             rlbmembership.Controller{ID: id, FailureDomain: domain, Address: opts.Address},
			HeartbeatTimeout: silence,
		},
		placement: rlbplacement.Opts{
			MoveWeight:  s.Ratio(rlbsettings.ControllerMoveWeight),
			Slots:       defaultSlots,
			LoadsAtOnce: s.Int(rlbsettings.ControllerLoadsAtOnce),
			Replicas:    s.Int(rlbsettings.ControllerReplicas),
		},
		world:  rlbfleetstate.New(),
		polls:  map[string]time.Time{},
		peers:  map[string]*peer{},
		leases: map[string]*leaseState{},
		books:  map[string]*bookState{},
		demand: map[string]float64{},
		burn:   rlbburn.NewRecorder(), alerted: map[string]bool{},
		urgent: make(chan struct{}, 1),
		loads:  loadLimit{rate: s.Ratio(rlbsettings.ControllerLoadRate)},
	}
	return c
}

// Run ticks until ctx ends, then waits for what it began.
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

// Drain gives up duties and leases; the controller goes on serving its links.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.member.Self.Draining = true
}

// tick runs every system once.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.Expire(now, now.Add(-forgetNodes))
	c.live = rlbmembership.LiveControllers(c.world, now, c.member)
	c.assign(now)
	c.heartbeat(now)
	c.linkPeers(ctx)
	c.watch(ctx)
	c.collect(ctx, now)
	c.runLeases(ctx, now)
	c.runPlacement(now)
	c.runOrders(ctx, now)
}

// hurry makes the links tell what changed at once.
func (c *Controller) hurry() {
	select {
	case c.urgent <- struct{}{}:
	default: // it is signalled already
	}
}

// heartbeat renews this controller's own row.
func (c *Controller) heartbeat(now time.Time) {
	if now.Before(c.beaten.Add(beatPeriod)) {
		return
	}
	c.beaten = now
	c.beat++
	node := rlbfleetstate.Node{
		NodeKey: rlbfleetstate.NodeKey{Type: rlbfleetstate.NodeController, ID: c.id},
		Epoch:   c.epoch, Beat: c.beat, FailureDomain: c.domain, Address: c.Address,
		NoteVersion: c.world.Note().Version, Draining: c.draining,
	}
	for domain, l := range c.leases {
		if _, held := l.lease.Held(now); held {
			node.Leases = append(node.Leases, domain)
		}
	}
	if rlbmembership.IsDelegate(c.member.Self, c.live) {
		node.Domain = c.summary(now)
	}
	c.world.MergeNode(node, rlbfleetstate.OriginSelf, now)
}

// spawn runs f outside of c.mu and waits for it at the end of Run.
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
	return c.world.Delta(cursor)
}

// ApplyReport implements rlblink.Source.
func (c *Controller) ApplyReport(u rlbfleetstate.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(u, rlbfleetstate.OriginSelf)
	now := time.Now()
	c.countBurn(u.Burn, now)
	for _, refusal := range u.Refusals {
		c.journal.add(now, "request/"+refusal.RequestID, "%s", refusal.Text)
	}
}

// merge takes what a peer tells.
func (c *Controller) merge(u rlbfleetstate.Update, origin rlbfleetstate.Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(u, origin)
}

// take merges an update and passes news of notes, strikes and engines on at
// once; c.mu is held.
func (c *Controller) take(u rlbfleetstate.Update, origin rlbfleetstate.Origin) {
	version, strikes, engines := c.world.Note().Version, c.world.Crashes().Revision(), c.world.Engines().Revision()
	c.world.Merge(u, origin, time.Now())
	if c.world.Note().Version != version || c.world.Crashes().Revision() != strikes || c.world.Engines().Revision() != engines {
		c.hurry()
	}
}

// observe merges an engine's report, and tells at once if what it holds
// changed; c.mu is held.
func (c *Controller) observe(state rlbengine.State) {
	engines := c.world.Engines().Revision()
	c.world.MergeEngineState(state, time.Now())
	if c.world.Engines().Revision() != engines {
		c.hurry()
	}
}

// HandleCall implements rlblink.Source.
func (c *Controller) HandleCall(ctx context.Context, method rlblink.Method, body []byte) (any, error) {
	handler, known := c.methods()[method]
	if !known {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	return handler(ctx, body)
}

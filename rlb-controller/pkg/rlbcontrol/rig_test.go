package rlbcontrol

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
)

const (
	engineMemory = 10 * rlbunit.GiB
	loadTime     = 300 * time.Millisecond
)

// rig is a few controllers before stand-in engines, on a fake object API, an
// in-memory network and a fake clock. A watchdog checks the promises meanwhile.
type rig struct {
	objects     *rlbfake.Objects
	network     *rlbfake.Network
	mu          sync.Mutex
	list        rlbinstance.List
	memory      map[string]rlbunit.Bytes
	engines     map[string]*engine
	controllers map[string]*running
	broken      []string // promises that the watchdog saw broken
	served      map[string]bool
	replicas    int
	stop        context.CancelFunc
	group       sync.WaitGroup
}

// running is a controller in its process.
type running struct {
	*Controller
	kill func()
}

// engine is the control side of a stand-in engine.
type engine struct {
	*rlbfakeengine.Engine
	mu      sync.Mutex
	down    bool
	lost    int // answers to orders to lose after they took effect
	started uint64
}

// loseAnswers loses the answers to the next n orders after they took effect.
func (e *engine) loseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = n
}

// State implements rlbengine.Engine.
func (e *engine) State(context.Context) (rlbengine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return rlbengine.State{}, rlberror.New("state", rlbengine.KindUnknown, nil)
	}
	return e.Engine.State(), nil
}

// Order implements rlbengine.Engine.
func (e *engine) Order(_ context.Context, order rlbengine.Order, permitted func() bool) (rlbengine.State, error) {
	if !permitted() {
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindNotSent, nil)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindNotSent, nil)
	}
	if status, err := e.Take(order); err != nil {
		kind := rlbengine.KindRefused
		if status == http.StatusConflict {
			kind = rlbengine.KindFenced
		}
		return rlbengine.State{}, rlberror.New("order", kind, err)
	}
	if e.lost > 0 && order.Action != rlbengine.ActionFence {
		e.lost--
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindUnknown, nil)
	}
	return e.Engine.State(), nil
}

// List implements rlbinstance.Lister.
func (r *rig) List(context.Context) (rlbinstance.List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, nil
}

// Manifest implements rlbweightstore.Store.
func (r *rig) Manifest(_ context.Context, name, _ string) (rlbweightstore.Manifest, error) {
	memory, known := r.memory[name]
	if !known {
		return rlbweightstore.Manifest{}, rlberror.Newf("manifest", rlbweightstore.KindNotFound, "%s", name)
	}
	return rlbweightstore.Manifest{Memory: memory}, nil
}

// withRig runs f with controllers c0.. in as many failure domains and engines
// e0.. over all of them, every second of which ignores fencing numbers.
func withRig(t *testing.T, controllers, engines int, f func(r *rig)) {
	t.Helper()
	withReplicas(t, 1, controllers, engines, f)
}

// withReplicas is withRig with a number of replicas that each model keeps.
func withReplicas(t *testing.T, replicas, controllers, engines int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &rig{
			objects: rlbfake.NewObjects(), network: rlbfake.NewNetwork(), list: rlbinstance.List{Revision: 1}, stop: cancel,
			memory:   map[string]rlbunit.Bytes{"a": 4 * rlbunit.GiB, "b": 4 * rlbunit.GiB, "c": 4 * rlbunit.GiB, "big": 9 * rlbunit.GiB, "huge": 90 * rlbunit.GiB},
			replicas: replicas, engines: map[string]*engine{}, controllers: map[string]*running{}, served: map[string]bool{},
		}
		for i := range engines {
			r.addEngine(fmt.Sprint("e", i), fmt.Sprint("d", i%controllers), i%2 == 0, 1)
		}
		for i := range controllers {
			r.start(t, fmt.Sprint("c", i), fmt.Sprint("d", i))
		}
		r.group.Add(1)
		go r.watch(ctx)
		time.Sleep(5 * time.Second) // leases are won, engines have reported
		f(r)
		cancel()
		r.group.Wait()
		for _, c := range r.controllers {
			c.kill()
		}
		time.Sleep(2 * loadTime) // loads that were ordered end
		if len(r.broken) > 0 {
			t.Error(r.broken[0])
		}
	})
}

func (r *rig) addEngine(id, domain string, fencing bool, incarnation uint64) {
	fetch := func(ctx context.Context, _, _ string) error {
		rlbcommon.Sleep(ctx, loadTime)
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.engines[id]
	r.engines[id] = &engine{started: incarnation, Engine: rlbfakeengine.New(rlbfakeengine.Opts{
		ID: id, Incarnation: incarnation, Memory: engineMemory, Fencing: fencing, Slots: 4, PrefillRate: 1, Fetch: fetch,
	})}
	if known {
		return
	}
	r.list.Revision++
	r.list.Instances = append(append([]rlbinstance.Instance(nil), r.list.Instances...), rlbinstance.Instance{
		ID: id, Type: rlbinstance.TypeEngine, Control: id, Address: id, FailureDomain: domain, Fencing: fencing,
	})
}

// fail makes an engine unreachable and, on its return, empty.
func (r *rig) fail(id string, down bool) {
	r.mu.Lock()
	e := r.engines[id]
	r.mu.Unlock()
	if down {
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		return
	}
	state := e.Engine.State()
	r.addEngine(id, "", state.Fence > 0 && id[1]%2 == 0, e.started+1)
}

func (r *rig) engine(address string) rlbengine.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[address]
}

// controller returns a controller that does not run yet.
func (r *rig) controller(t *testing.T, id, domain string) *Controller {
	settings, err := rlbsettings.Parse("test", nil, rlbsettings.ForController)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []string{"instance.id=" + id, "instance.failure_domain=" + domain, "controller.peers=c0,c1,c2", "controller.loads_a_second=4", fmt.Sprint("controller.replicas=", r.replicas)} {
		if err := settings.Override(o); err != nil {
			t.Fatal(err)
		}
	}
	common, err := rlbcommon.New(io.Discard, settings)
	if err != nil {
		t.Fatal(err)
	}
	return New(Opts{
		Common: common, Objects: r.objects, Instances: r, Weights: r, Engine: r.engine,
		Dial: r.network.Dial, Address: id, Metrics: metrics.NewRegistry(),
	})
}

func (r *rig) start(t *testing.T, id, domain string) *running {
	c := r.controller(t, id, domain)
	ctx, cancel := context.WithCancel(context.Background())
	_, closeServer := rlblink.NewServer(ctx, r.network.Listen(id), LinkOpts(c))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	var once sync.Once
	started := &running{c, func() {
		once.Do(func() {
			r.network.Kill(id)
			cancel()
			<-done
			closeServer()
		})
	}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controllers[id] = started
	return started
}

// watch checks the promises all the time: memory is never overcommitted, and a
// model that once was reachable stays so while it is in force and its engines
// are up.
func (r *rig) watch(ctx context.Context) {
	defer r.group.Done()
	for ctx.Err() == nil {
		r.check()
		rlbcommon.Sleep(ctx, 50*time.Millisecond)
	}
}

func (r *rig) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := map[string]bool{}
	for id, e := range r.engines {
		if n := e.Record().Overcommitted; n > 0 {
			r.broken = append(r.broken, fmt.Sprintf("memory of %s overcommitted", id))
		}
		e.mu.Lock()
		for _, resident := range e.Engine.State().Residents {
			if resident.Phase == rlbengine.PhaseReady && !e.down {
				ready[resident.Name] = true
			}
		}
		e.mu.Unlock()
	}
	for name := range r.served {
		if !ready[name] {
			r.broken = append(r.broken, fmt.Sprintf("%v: model %s is not reachable any more", time.Now(), name))
		}
	}
}

// serve tells the watchdog which models must stay reachable.
func (r *rig) serve(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served = map[string]bool{}
	for _, name := range names {
		r.served[name] = true
	}
}

// ready returns the engines that have a model's version ready.
func (r *rig) ready(name, version string) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.engines {
		e.mu.Lock()
		for _, resident := range e.Engine.State().Residents {
			if !e.down && resident.Name == name && resident.Version == version && resident.Phase == rlbengine.PhaseReady {
				ids = append(ids, id)
			}
		}
		e.mu.Unlock()
	}
	return ids
}

func models(version string, names ...string) (all []rlbnote.Model) {
	for _, name := range names {
		all = append(all, rlbnote.Model{Name: name, Version: version})
	}
	return all
}

// moves returns how many loads and unloads the engines' present lives took.
func (r *rig) moves() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.engines {
		for _, o := range e.Record().Orders {
			if o.Action != rlbengine.ActionFence {
				n++
			}
		}
	}
	return n
}

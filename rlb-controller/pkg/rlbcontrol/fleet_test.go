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

// testFleet runs controllers with stand-in engines on a fake object API, an
// in-memory network and a fake clock. A goroutine checks the invariants meanwhile.
type testFleet struct {
	objects     *rlbfake.Objects
	network     *rlbfake.Network
	mu          sync.Mutex
	list        rlbinstance.List
	memory      map[string]rlbunit.Bytes
	engines     map[string]*testEngine
	controllers map[string]*runningController
	violations  []string        // of invariants
	mustServe   map[string]bool // models that must stay reachable
	replicas    int
	stop        context.CancelFunc
	group       sync.WaitGroup
}

// runningController is a controller whose Run is in progress; kill ends it.
type runningController struct {
	*Controller
	kill func()
}

// testEngine is the control API of a stand-in engine, with injected faults.
type testEngine struct {
	*rlbfakeengine.Engine
	mu            sync.Mutex
	down          bool
	answersToDrop int // number of orders that take effect but get no answer
	incarnation   uint64
}

// dropAnswers makes the next n orders take effect without an answer.
func (e *testEngine) dropAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToDrop = n
}

// State implements rlbengine.Engine.
func (e *testEngine) State(context.Context) (rlbengine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return rlbengine.State{}, rlberror.New("state", rlbengine.KindUnknown, nil)
	}
	return e.Engine.State(), nil
}

// Order implements rlbengine.Engine.
func (e *testEngine) Order(_ context.Context, order rlbengine.Order, permitted func() bool) (rlbengine.State, error) {
	if !permitted() {
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindNotSent, nil)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindNotSent, nil)
	}
	if status, err := e.Apply(order); err != nil {
		kind := rlbengine.KindRefused
		if status == http.StatusConflict {
			kind = rlbengine.KindFenced
		}
		return rlbengine.State{}, rlberror.New("order", kind, err)
	}
	if e.answersToDrop > 0 && order.Action != rlbengine.ActionFence {
		e.answersToDrop--
		return rlbengine.State{}, rlberror.New("order", rlbengine.KindUnknown, nil)
	}
	return e.Engine.State(), nil
}

// List implements rlbinstance.Lister.
func (r *testFleet) List(context.Context) (rlbinstance.List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, nil
}

// Manifest implements rlbweightstore.Store.
func (r *testFleet) Manifest(_ context.Context, name, _ string) (rlbweightstore.Manifest, error) {
	memory, known := r.memory[name]
	if !known {
		return rlbweightstore.Manifest{}, rlberror.Newf("manifest", rlbweightstore.KindNotFound, "%s", name)
	}
	return rlbweightstore.Manifest{Memory: memory}, nil
}

// withFleet runs f with controllers c0, c1 ... in a failure domain each, and with
// engines e0, e1 ... spread over all of them, every second of which ignores
// fencing numbers.
func withFleet(t *testing.T, controllers, engines int, f func(r *testFleet)) {
	t.Helper()
	withReplicas(t, 1, controllers, engines, f)
}

// withReplicas is withFleet with the number of replicas that each model keeps.
func withReplicas(t *testing.T, replicas, controllers, engines int, f func(r *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &testFleet{
			objects: rlbfake.NewObjects(), network: rlbfake.NewNetwork(), list: rlbinstance.List{Revision: 1}, stop: cancel,
			memory:   map[string]rlbunit.Bytes{"a": 4 * rlbunit.GiB, "b": 4 * rlbunit.GiB, "c": 4 * rlbunit.GiB, "big": 9 * rlbunit.GiB, "huge": 90 * rlbunit.GiB},
			replicas: replicas, engines: map[string]*testEngine{}, controllers: map[string]*runningController{}, mustServe: map[string]bool{},
		}
		for i := range engines {
			r.addEngine(fmt.Sprint("e", i), fmt.Sprint("d", i%controllers), i%2 == 0, 1)
		}
		for i := range controllers {
			r.startController(t, fmt.Sprint("c", i), fmt.Sprint("d", i))
		}
		r.group.Add(1)
		go r.watchInvariants(ctx)
		time.Sleep(5 * time.Second) // until leases are held and engines have reported
		f(r)
		cancel()
		r.group.Wait()
		for _, c := range r.controllers {
			c.kill()
		}
		time.Sleep(2 * loadTime) // until ordered loads have ended
		if len(r.violations) > 0 {
			t.Error(r.violations[0])
		}
	})
}

func (r *testFleet) addEngine(id, domain string, fencing bool, incarnation uint64) {
	fetch := func(ctx context.Context, _, _ string) error {
		rlbcommon.Sleep(ctx, loadTime)
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.engines[id]
	r.engines[id] = &testEngine{incarnation: incarnation, Engine: rlbfakeengine.New(rlbfakeengine.Opts{
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

// setDown makes an engine unreachable, or replaces it by an empty one with a new
// incarnation.
func (r *testFleet) setDown(id string, down bool) {
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
	r.addEngine(id, "", state.Fence > 0 && id[1]%2 == 0, e.incarnation+1)
}

func (r *testFleet) engine(address string) rlbengine.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[address]
}

// newController returns a controller that is not running.
func (r *testFleet) newController(t *testing.T, id, domain string) *Controller {
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

func (r *testFleet) startController(t *testing.T, id, domain string) *runningController {
	c := r.newController(t, id, domain)
	ctx, cancel := context.WithCancel(context.Background())
	_, closeServer := rlblink.NewServer(ctx, r.network.Listen(id), LinkOpts(c))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	var once sync.Once
	started := &runningController{c, func() {
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

// watchInvariants checks every 50 ms that memory is never overcommitted, and that
// the models named by requireReachable stay reachable. Tests name models that
// remain in force and of which an engine that is up has a replica.
func (r *testFleet) watchInvariants(ctx context.Context) {
	defer r.group.Done()
	for ctx.Err() == nil {
		r.checkInvariants()
		rlbcommon.Sleep(ctx, 50*time.Millisecond)
	}
}

func (r *testFleet) checkInvariants() {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := map[string]bool{}
	for id, e := range r.engines {
		if n := e.Record().Overcommitted; n > 0 {
			r.violations = append(r.violations, fmt.Sprintf("memory of %s overcommitted", id))
		}
		e.mu.Lock()
		for _, resident := range e.Engine.State().Residents {
			if resident.Phase == rlbengine.PhaseReady && !e.down {
				ready[resident.Name] = true
			}
		}
		e.mu.Unlock()
	}
	for name := range r.mustServe {
		if !ready[name] {
			r.violations = append(r.violations, fmt.Sprintf("%v: model %s is no longer reachable", time.Now(), name))
		}
	}
}

// requireReachable sets the models that must stay reachable from now on.
func (r *testFleet) requireReachable(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustServe = map[string]bool{}
	for _, name := range names {
		r.mustServe[name] = true
	}
}

// ready returns the reachable engines that have a model's version ready.
func (r *testFleet) ready(name, version string) (ids []string) {
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

// orderCount returns the number of loads and unloads in the current incarnations
// of the engines.
func (r *testFleet) orderCount() int {
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

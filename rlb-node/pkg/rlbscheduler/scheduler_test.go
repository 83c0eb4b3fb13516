package rlbscheduler

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// fakeDecoder decodes a config as one service with the engine of testEngine: its version is one
// more than the length, and with a length its models are those that it names by one letter each;
// one in upper case has half the size.
// It decodes every entry as an endpoint with the model m. The length of an entry tells its
// incarnations apart.
type fakeDecoder struct{}

func (fakeDecoder) Config(models []byte) (*rlbdeployment.Config, error) {
	engine := testEngine()
	if len(models) > 0 {
		spec := engine.Models["m"]
		engine.Models = map[string]rlbdeployment.Model{}
		for _, name := range strings.Split(strings.TrimSpace(string(models)), "") {
			resized := spec
			if resized.Name = strings.ToLower(name); resized.Name != name {
				resized.Memory /= 2
			}
			engine.Models[resized.Name] = resized
		}
	}
	return rlbdeployment.NewConfig(1+uint64(len(models)), nil, map[string]rlbdeployment.Service{"s": {Name: "s", Engine: engine}}, rlbdeployment.Limits{}), nil
}

func (fakeDecoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	return &rlbdeployment.Endpoint{ID: id, StartedAt: time.Unix(int64(len(value)), 0), Service: "s", Slots: 4, Domain: "a", LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}}, nil
}

// testFleet is a set of instances that share an object API and endpoints.
type testFleet struct {
	api            *rlbfake.Objects
	engines        *fakeEngines
	demand         map[string]float32
	takeoverDelay  time.Duration
	apiAvailable   atomic.Bool // what Opts.APIAvailable returns
	apiUnavailable atomic.Bool // what Opts.APIUnavailable returns
	limits         *fakeLimits
	heldOff        map[string]bool // endpoints that want no requests
	silent         map[string]bool // endpoints that do not answer requests
}

// fakeLimits is a fake of RequestLimits that admits no request to some endpoints.
type fakeLimits struct {
	full map[string]bool

	mu      sync.Mutex
	charged map[string]int
}

func (l *fakeLimits) Admit(endpoint string, _ int) bool { return !l.full[endpoint] }

func (l *fakeLimits) Charge(endpoint string, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged[endpoint]++
}

func (l *fakeLimits) count(endpoint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.charged[endpoint]
}

func newTestFleet(t *testing.T, endpoints ...string) *testFleet {
	f := &testFleet{api: rlbfake.NewObjects(), engines: &fakeEngines{t: t, endpoints: map[string]*fakeEndpoint{}}, demand: map[string]float32{}, limits: &fakeLimits{full: map[string]bool{}, charged: map[string]int{}}, heldOff: map[string]bool{}, silent: map[string]bool{}}
	for _, id := range endpoints {
		f.engines.endpoints[id] = &fakeEndpoint{models: map[string]map[string]bool{"m": {}}}
	}
	return f
}

// start runs an instance until ctx ends.
func (f *testFleet) start(ctx context.Context, name string) *Scheduler {
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	view := rlbdiscovery.New(logger, fakeDecoder{}, time.Now, time.Second)
	view.ApplyConfig(nil, "test")
	var entries []rlbobject.Object
	for id := range f.engines.endpoints {
		entries = append(entries, rlbobject.Object{Name: id, Version: 1})
	}
	view.ApplyList(entries, 9, false)
	s := New(Opts{
		Log: logger, Name: name, Domain: "a", Incarnation: name, API: f.api, Engines: f.engines, View: view, Fleet: rlbpeer.NewFleet(name, "a"),
		Query: func(context.Context, string, rlbpeer.Query) (rlbpeer.Reply, error) {
			return rlbpeer.Reply{}, errors.New("nobody")
		},
		Demand: func() map[string]float32 { return f.demand }, Load: func(string) rlbbalancer.Load { return rlbbalancer.Load{} }, Cost: func(*rlbdeployment.Endpoint, string) time.Duration { return 0 }, Limits: f.limits, HeldOff: func(id string) bool { return f.heldOff[id] }, Silent: func(id string) bool { return f.silent[id] }, Settled: func() bool { return true },
		LeaseTTL: 3 * time.Second, LoadWindow: 5 * time.Second, TakeoverDelay: f.takeoverDelay, APIAvailable: f.apiAvailable.Load, APIUnavailable: f.apiUnavailable.Load, Now: time.Now,
	})
	go s.Run(ctx)
	return s
}

func TestPlacement(t *testing.T) {
	t.Run("with two instances, a listed model that no endpoint holds is loaded within the memory limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1", "e2", "e3")
			f.start(t.Context(), "a")
			f.start(t.Context(), "b")
			time.Sleep(time.Minute)
			if f.engines.count("e1 load n/ accepted")+f.engines.count("e2 load n/ accepted")+f.engines.count("e3 load n/ accepted") == 0 {
				t.Errorf("n is loaded on no endpoint: %v", f.engines.allOrders())
			}
		})
	})
	t.Run("orders that are answered slowly do not block planning or lease renewal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1", "e2", "e3")
			f.engines.orderDelay = 5 * tickInterval
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			if f.engines.count("e1 load n/ accepted")+f.engines.count("e2 load n/ accepted")+f.engines.count("e3 load n/ accepted") == 0 {
				t.Errorf("n is loaded on no endpoint: %v", f.engines.allOrders())
			}
			if _, held := s.leaseManager.heldFence(); !held {
				t.Error("the lease was not renewed")
			}
		})
	})
	t.Run("a new lease holder takes over and does not repeat the load in progress", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1")
			ctx, stop := context.WithCancel(t.Context())
			f.start(ctx, "a")
			time.Sleep(2 * time.Second)
			stop()
			f.start(t.Context(), "b")
			time.Sleep(time.Minute)
			loads := f.engines.count("e1 load n/ accepted") + f.engines.count("e1 load o/ accepted")
			again := f.engines.count("e1 load n/ conflict") + f.engines.count("e1 load o/ conflict")
			if loads == 0 || again > 0 {
				t.Errorf("%d loads, %d ordered on a busy endpoint: %v", loads, again, f.engines.allOrders())
			}
		})
	})
}

func TestOutage(t *testing.T) {
	find := func(s *Scheduler, adapter string) bool {
		ids, _ := s.Find(context.Background(), "s", "m", adapter, nil)
		return len(ids) > 0
	}
	run := func(t *testing.T, forAll, shutDown bool) (during, after bool) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1")
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			f.api.SetDown(true)
			f.apiUnavailable.Store(forAll)
			time.Sleep(6 * time.Second)
			if shutDown {
				s.StepDown()
			}
			during = find(s, "a1")
			f.api.SetDown(false)
			f.apiUnavailable.Store(false)
			time.Sleep(2 * time.Second)
			after = find(s, "a2")
		})
		return during, after
	}
	t.Run("orders continue while the object API is unavailable to all, and under the lease afterwards", func(t *testing.T) {
		if during, after := run(t, true, false); !during || !after {
			t.Errorf("orders during and after: %t, %t", during, after)
		}
	})
	t.Run("a lease holder that shuts down sends orders until another instance can take over", func(t *testing.T) {
		if during, after := run(t, true, true); !during || after {
			t.Errorf("orders during and after: %t, %t", during, after)
		}
	})
	t.Run("a lease holder stops sending orders if the object API answers other instances but not this one", func(t *testing.T) {
		if during, _ := run(t, false, false); during {
			t.Error("an order was sent without the lease")
		}
	})
}

func TestOutageUpdate(t *testing.T) {
	now := time.Unix(1000, 0)
	var o outage
	update := func(after time.Duration, held, unavailable, want bool) {
		t.Helper()
		o.update(now.Add(after), 7, held, unavailable)
		if _, active := o.orderFence(); active != want {
			t.Errorf("after %v: active is %t", after, active)
		}
	}
	update(0, false, true, false) // never held
	update(time.Second, true, true, false)
	update(2*time.Second, false, false, false) // within the notice period
	update(3*time.Second, false, true, true)
	update(4*time.Second, false, false, false) // the object API answers an instance
	update(5*time.Second, false, true, false)  // does not become active again without the lease
	update(6*time.Second, true, true, false)
	update(6*time.Second+maxOutage, false, true, false)
}

func TestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		f.takeoverDelay = 3 * time.Second
		f.start(t.Context(), "a")
		time.Sleep(f.takeoverDelay)
		if len(f.engines.allOrders()) > 0 {
			t.Errorf("orders within the takeover delay: %v", f.engines.allOrders())
		}
		time.Sleep(f.takeoverDelay)
		if len(f.engines.allOrders()) == 0 {
			t.Error("no orders")
		}
	})
}

func TestAdapters(t *testing.T) {
	find := func(t *testing.T, s *Scheduler, adapter string) []string {
		t.Helper()
		ids, reason := s.Find(t.Context(), "s", "m", adapter, nil)
		if len(ids) == 0 {
			t.Errorf("adapter %s: %s", adapter, reason)
		}
		return ids
	}
	t.Run("concurrent queries load an adapter once; the least recently used one is unloaded", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1")
			f.engines.endpoints["e1"].models["n"] = map[string]bool{}
			s := f.start(t.Context(), "a")
			time.Sleep(2 * time.Second)
			var all sync.WaitGroup
			for range 5 {
				all.Go(func() { find(t, s, "a1") })
			}
			all.Wait()
			if n := f.engines.count("e1 load m/a1 accepted"); n != 1 {
				t.Errorf("a1 was loaded %d times: %v", n, f.engines.allOrders())
			}
			time.Sleep(adapterUseWindow)
			find(t, s, "a2")
			time.Sleep(adapterUseWindow)
			find(t, s, "a3")
			if f.engines.count("e1 unload m/a1 holds already") != 1 {
				t.Errorf("a1 was not unloaded: %v", f.engines.allOrders())
			}
		})
	})
	t.Run("an endpoint whose limit is reached gets no order for an adapter; reports count against limits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1", "e2")
			f.limits.full["e1"] = true
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			for _, adapter := range []string{"a1", "a2"} {
				if ids := find(t, s, adapter); !slices.Equal(ids, []string{"e2"}) {
					t.Errorf("%s is loaded on %v", adapter, ids)
				}
			}
			f.limits.full["e2"] = true
			if ids, _ := s.Find(t.Context(), "s", "m", "a3", nil); len(ids) != 0 {
				t.Errorf("a3 is loaded on %v", ids)
			}
			if f.limits.count("e1") == 0 {
				t.Error("the report of e1 was not counted")
			}
		})
	})
	t.Run("after an order without an answer the state is read from a report", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1")
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			f.engines.dropOrders(1)
			ids, _ := s.Find(t.Context(), "s", "m", "a1", nil)
			if len(ids) != 0 {
				t.Errorf("an order without an answer counts as completed")
			}
			time.Sleep(time.Second)
			find(t, s, "a1")
		})
	})
}

// loseLease makes the object API unavailable until a lease holder has lost its lease, calls
// meanwhile, and returns when the holder has renewed the lease.
func (f *testFleet) loseLease(s *Scheduler, meanwhile func()) {
	f.api.SetDown(true)
	for s.Fence() != 0 {
		time.Sleep(tickInterval)
	}
	time.Sleep(2 * tickInterval)
	meanwhile()
	f.api.SetDown(false)
	for s.Fence() == 0 {
		time.Sleep(tickInterval)
	}
	time.Sleep(2 * tickInterval)
}

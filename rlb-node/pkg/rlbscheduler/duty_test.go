package rlbscheduler

import (
	"context"
	"errors"
	"slices"
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

// engines is a strict fake of the endpoints' control side.
type engines struct {
	mu    sync.Mutex
	t     *testing.T
	state map[string]*engineState
	given []string      // "endpoint order model/adapter verdict"
	takes time.Duration // of each order's answer
	mute  int           // orders that get no answer and no effect
}

type engineState struct {
	sequence uint64
	fence    uint64
	models   map[string]map[string]bool
	coming   string
	until    time.Time
}

func (e *engines) settle(s *engineState) {
	if s.coming != "" && !time.Now().Before(s.until) {
		s.models[s.coming], s.coming = map[string]bool{}, ""
	}
}

func (e *engines) SendOrder(_ context.Context, to *rlbdeployment.Endpoint, o rlbdeployment.Order) (rlbdeployment.Verdict, error) {
	time.Sleep(e.takes)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state[to.ID]
	e.settle(s)
	verdict := e.apply(s, o)
	e.given = append(e.given, to.ID+" "+o.Action.String()+" "+o.Model+"/"+o.Adapter+" "+verdict.String())
	if verdict == rlbdeployment.VerdictUnknown {
		return verdict, errors.New("no answer")
	}
	return verdict, nil
}

func (e *engines) apply(s *engineState, o rlbdeployment.Order) rlbdeployment.Verdict {
	switch {
	case e.mute > 0:
		e.mute--
		return rlbdeployment.VerdictUnknown
	case o.Fence < s.fence:
		return rlbdeployment.VerdictFenced
	case s.coming != "" || o.Sequence != s.sequence:
		return rlbdeployment.VerdictConflict
	}
	s.fence = o.Fence
	s.sequence++
	switch {
	case o.Adapter != "" && o.Action == rlbdeployment.ActionLoad:
		s.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(s.models[o.Model], o.Adapter)
		return rlbdeployment.VerdictNoChange
	case o.Action == rlbdeployment.ActionUnload:
		delete(s.models, o.Model)
	default:
		s.coming, s.until = o.Model, time.Now().Add(8*time.Second)
	}
	e.check(s)
	return rlbdeployment.VerdictAccepted
}

func (e *engines) check(s *engineState) {
	models, adapters := len(s.models), 0
	if s.coming != "" {
		models++
	}
	for _, held := range s.models {
		adapters += len(held)
	}
	if models > 2 || adapters > 2 {
		e.t.Errorf("overcommitted: %d models, %d adapters", models, adapters)
	}
}

func (e *engines) ReadReport(_ context.Context, of *rlbdeployment.Endpoint) (rlbdeployment.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state[of.ID]
	e.settle(s)
	r := rlbdeployment.Report{Sequence: s.sequence, Busy: s.coming != ""}
	for name, adapters := range s.models {
		h := rlbdeployment.LoadedModel{Model: name}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.LoadedModels = append(r.LoadedModels, h)
	}
	return r, nil
}

// all returns the orders given so far.
func (e *engines) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.given)
}

// silence makes so many orders get no answer and no effect.
func (e *engines) silence(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = n
}

func (e *engines) count(line string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, given := range e.given {
		if given == line {
			n++
		}
	}
	return n
}

// fixed decodes every config as the one with the test's engine, and every entry
// as an endpoint with the model m.
type fixed struct{}

func (fixed) Config([]byte) (*rlbdeployment.Config, error) {
	return rlbdeployment.NewConfig(1, nil, map[string]rlbdeployment.Service{"s": {Name: "s", Engine: testEngine()}}, rlbdeployment.Limits{}), nil
}

func (fixed) Endpoint(id string, _ []byte) (*rlbdeployment.Endpoint, error) {
	return &rlbdeployment.Endpoint{ID: id, Service: "s", Slots: 4, Domain: "a", LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}}, nil
}

// fleet is instances that share an object API and endpoints.
type fleet struct {
	api     *rlbfake.Objects
	engines *engines
	demand  map[string]float32
	settle  time.Duration
	away    atomic.Bool // the object API answers nobody
}

func newFleet(t *testing.T, endpoints ...string) *fleet {
	f := &fleet{api: rlbfake.NewObjects(), engines: &engines{t: t, state: map[string]*engineState{}}, demand: map[string]float32{}}
	for _, id := range endpoints {
		f.engines.state[id] = &engineState{models: map[string]map[string]bool{"m": {}}}
	}
	return f
}

// start runs an instance until ctx ends.
func (f *fleet) start(ctx context.Context, name string) *Scheduler {
	quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	view := rlbdiscovery.New(quiet, fixed{}, time.Now)
	view.ApplyConfig(nil, "test")
	var entries []rlbobject.Object
	for id := range f.engines.state {
		entries = append(entries, rlbobject.Object{Name: id, Version: 1})
	}
	view.ApplyList(entries, 9, false)
	d := New(Opts{
		Log: quiet, Name: name, Domain: "a", Incarnation: name, API: f.api, Engines: f.engines, View: view, Fleet: rlbpeer.NewFleet(name, "a"),
		Query: func(context.Context, string, rlbpeer.Query) (rlbpeer.Reply, error) {
			return rlbpeer.Reply{}, errors.New("nobody")
		},
		Demand: func() map[string]float32 { return f.demand }, Load: func(string) rlbbalancer.Load { return rlbbalancer.Load{} }, Cost: func(*rlbdeployment.Endpoint, string) time.Duration { return 0 },
		LeaseTTL: 3 * time.Second, LoadWindow: 5 * time.Second, TakeoverDelay: f.settle, APIUnavailable: f.away.Load, Now: time.Now,
	})
	go d.Run(ctx)
	return d
}

func TestPlacement(t *testing.T) {
	t.Run("every model listed comes to be held, within memory, by orders of one holder", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1", "e2", "e3")
			f.start(t.Context(), "a")
			f.start(t.Context(), "b")
			time.Sleep(time.Minute)
			if f.engines.count("e1 load n/ accepted")+f.engines.count("e2 load n/ accepted")+f.engines.count("e3 load n/ accepted") == 0 {
				t.Errorf("n is held nowhere: %v", f.engines.all())
			}
		})
	})
	t.Run("orders whose answers take long hold up no plan", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1", "e2", "e3")
			f.engines.takes = 5 * tick
			d := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			if f.engines.count("e1 load n/ accepted")+f.engines.count("e2 load n/ accepted")+f.engines.count("e3 load n/ accepted") == 0 {
				t.Errorf("n is held nowhere: %v", f.engines.all())
			}
			if _, held := d.keeper.held(); !held {
				t.Error("the lease was not renewed")
			}
		})
	})
	t.Run("a holder that stops is replaced, and its load is not ordered again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1")
			ctx, stop := context.WithCancel(t.Context())
			f.start(ctx, "a")
			time.Sleep(2 * time.Second)
			stop()
			f.start(t.Context(), "b")
			time.Sleep(time.Minute)
			loads := f.engines.count("e1 load n/ accepted") + f.engines.count("e1 load o/ accepted")
			again := f.engines.count("e1 load n/ conflict") + f.engines.count("e1 load o/ conflict")
			if loads == 0 || again > 0 {
				t.Errorf("%d loads, %d ordered on a busy endpoint: %v", loads, again, f.engines.all())
			}
		})
	})
}

func TestOutage(t *testing.T) {
	find := func(d *Scheduler, adapter string) bool {
		ids, _ := d.Find(context.Background(), "s", "m", adapter, nil)
		return len(ids) > 0
	}
	run := func(t *testing.T, everybody, leaves bool) (during, after bool) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1")
			d := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			f.api.SetDown(true)
			f.away.Store(everybody)
			time.Sleep(6 * time.Second)
			if leaves {
				d.StepDown()
			}
			during = find(d, "a1")
			f.api.SetDown(false)
			f.away.Store(false)
			time.Sleep(2 * time.Second)
			after = find(d, "a2")
		})
		return during, after
	}
	t.Run("orders go on while the object API answers nobody, and under the lease after it", func(t *testing.T) {
		if during, after := run(t, true, false); !during || !after {
			t.Errorf("orders during and after: %t, %t", during, after)
		}
	})
	t.Run("a holder that shuts down goes on until somebody can take over", func(t *testing.T) {
		if during, after := run(t, true, true); !during || after {
			t.Errorf("orders during and after: %t, %t", during, after)
		}
	})
	t.Run("a holder that it does not answer stops while it answers others", func(t *testing.T) {
		if during, _ := run(t, false, false); during {
			t.Error("an order was given without the lease")
		}
	})
}

func TestOutageRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var o outage
	at := func(after time.Duration, held, away, want bool) {
		t.Helper()
		o.follow(now.Add(after), 7, held, away)
		if _, on := o.held(); on != want {
			t.Errorf("after %v: on is %t", after, on)
		}
	}
	at(0, false, true, false) // never held
	at(time.Second, true, true, false)
	at(2*time.Second, false, false, false) // not noticed yet
	at(3*time.Second, false, true, true)
	at(4*time.Second, false, false, false) // it answers somebody
	at(5*time.Second, false, true, false)  // and so it stays
	at(6*time.Second, true, true, false)
	at(6*time.Second+longOutage, false, true, false)
}

func TestSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "e1")
		f.settle = 3 * time.Second
		f.start(t.Context(), "a")
		time.Sleep(f.settle)
		if len(f.engines.all()) > 0 {
			t.Errorf("orders right after the lease was taken: %v", f.engines.all())
		}
		time.Sleep(f.settle)
		if len(f.engines.all()) == 0 {
			t.Error("no orders")
		}
	})
}

func TestAdapters(t *testing.T) {
	find := func(t *testing.T, d *Scheduler, adapter string) []string {
		t.Helper()
		ids, reason := d.Find(t.Context(), "s", "m", adapter, nil)
		if len(ids) == 0 {
			t.Errorf("adapter %s: %s", adapter, reason)
		}
		return ids
	}
	t.Run("an adapter is loaded once for many that ask, and the oldest gives way", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1")
			f.engines.state["e1"].models["n"] = map[string]bool{}
			d := f.start(t.Context(), "a")
			time.Sleep(2 * time.Second)
			var all sync.WaitGroup
			for range 5 {
				all.Go(func() { find(t, d, "a1") })
			}
			all.Wait()
			if n := f.engines.count("e1 load m/a1 accepted"); n != 1 {
				t.Errorf("a1 was loaded %d times: %v", n, f.engines.all())
			}
			time.Sleep(inUseFor)
			find(t, d, "a2")
			time.Sleep(inUseFor)
			find(t, d, "a3")
			if f.engines.count("e1 unload m/a1 holds already") != 1 {
				t.Errorf("a1 did not give way: %v", f.engines.all())
			}
		})
	})
	t.Run("an order without an answer is settled by a report", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "e1")
			d := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			f.engines.silence(1)
			ids, _ := d.Find(t.Context(), "s", "m", "a1", nil)
			if len(ids) != 0 {
				t.Errorf("an order without an answer counts as done")
			}
			time.Sleep(time.Second)
			find(t, d, "a1")
		})
	})
}

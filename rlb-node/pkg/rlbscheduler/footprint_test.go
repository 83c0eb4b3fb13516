package rlbscheduler

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	. "github.com/smartystreets/goconvey/convey"
)

// TestWithdrawnModelTakesMemoryUntilItIsUnloaded guards against memory that is overcommitted: a
// config withdraws a model and adds another one, which was loaded before the first one was gone.
func TestWithdrawnModelTakesMemoryUntilItIsUnloaded(t *testing.T) {
	withdrawn, added := []byte("mop"), []string{"m", "o", "p"}
	for name, change := range map[string]func(t *testing.T, f *testFleet, apply func(*Scheduler)){
		"by a lease holder that knows the config before": func(t *testing.T, f *testFleet, apply func(*Scheduler)) {
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			apply(s)
		},
		"by one that starts afterwards": func(t *testing.T, f *testFleet, apply func(*Scheduler)) {
			s := f.start(t.Context(), "a")
			apply(s)
		},
		"by one whose lease lapses meanwhile": func(t *testing.T, f *testFleet, apply func(*Scheduler)) {
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			f.loseLease(s, func() { apply(s) })
		},
		"by one that takes over": func(t *testing.T, f *testFleet, apply func(*Scheduler)) {
			ctx, stop := context.WithCancel(t.Context())
			first, second := f.start(ctx, "a"), f.start(t.Context(), "b")
			time.Sleep(20 * time.Second)
			apply(first)
			apply(second)
			stop()
		},
		"as two configs follow each other": func(t *testing.T, f *testFleet, apply func(*Scheduler)) {
			s := f.start(t.Context(), "a")
			time.Sleep(20 * time.Second)
			s.View.ApplyConfig([]byte("q"), "test")
			time.Sleep(2 * tickInterval)
			apply(s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1", "e2")
				f.engines.endpoints["e1"].models["n"] = map[string]bool{}
				f.engines.endpoints["e2"].models["n"] = map[string]bool{}
				change(t, f, func(s *Scheduler) { s.View.ApplyConfig(withdrawn, "test") })
				time.Sleep(time.Minute) // the fake reports memory that is overcommitted
				assertHeld(t, f, added)
			})
		})
	}
}

// TestSizeFromBeforeAChangeSurvivesItsWitnesses guards against memory that is overcommitted: a
// config makes a model smaller that endpoints hold, and an instance that has started since
// becomes the lease holder.
func TestSizeFromBeforeAChangeSurvivesItsWitnesses(t *testing.T) {
	smaller := []byte("Mno")
	for name, lose := range map[string]func(f *testFleet, stop func(), start func() *Scheduler){
		"that has seen it": func(*testFleet, func(), func() *Scheduler) {},
		"that starts as the holder is lost": func(_ *testFleet, stop func(), start func() *Scheduler) {
			stop()
			start()
		},
		"that starts beside the holder": func(_ *testFleet, stop func(), start func() *Scheduler) {
			start()
			time.Sleep(5 * time.Second)
			stop()
		},
		"that cannot read at first what is stored": func(f *testFleet, stop func(), start func() *Scheduler) {
			stop()
			s := start()
			for s.Fence() == 0 {
				time.Sleep(time.Millisecond)
			}
			f.api.SetDown(true)
			time.Sleep(time.Second)
			f.api.SetDown(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1")
				f.engines.endpoints["e1"].models["n"] = map[string]bool{}
				f.demand["o"] = 50
				ctx, stop := context.WithCancel(t.Context())
				s := f.start(ctx, "a")
				time.Sleep(2 * time.Second)
				s.View.ApplyConfig(smaller, "test")
				time.Sleep(time.Second)
				lose(f, stop, func() *Scheduler {
					next := f.start(t.Context(), "b")
					next.View.ApplyConfig(smaller, "test")
					return next
				})
				time.Sleep(2 * time.Minute) // the fake reports memory that is overcommitted
				stop()
			})
		})
	}
}

// assertHeld checks which models the endpoints hold together.
func assertHeld(t *testing.T, f *testFleet, want []string) {
	t.Helper()
	held := map[string]bool{}
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	for _, e := range f.engines.endpoints {
		f.engines.finishLoad(e)
		for name := range e.models {
			held[name] = true
		}
	}
	if got := slices.Sorted(maps.Keys(held)); !slices.Equal(got, want) {
		t.Errorf("the endpoints hold %v, want %v: %v", got, want, f.engines.orders)
	}
}

// TestModelOfChangedSizeTakesWhatItWasLoadedWith guards against memory that is overcommitted
// after a config has changed the size of a model that endpoints hold.
func TestModelOfChangedSizeTakesWhatItWasLoadedWith(t *testing.T) {
	Convey("Given an endpoint that holds a model, and a config that changes the model's size", t, func() {
		now, f := time.Unix(1000, 0), newFootprints()
		holder := &rlbdeployment.Endpoint{ID: "e", Service: "s", LoadedModels: []rlbdeployment.LoadedModel{{Model: "m"}}}
		config := func(size, adapter rlbunit.Bytes) *rlbdeployment.Config {
			engine := testEngine()
			engine.Models["m"] = rlbdeployment.Model{Name: "m", Memory: size, AdapterMemory: adapter}
			return rlbdeployment.NewConfig(uint64(size+adapter), nil, map[string]rlbdeployment.Service{"s": {Name: "s", Engine: engine}}, rlbdeployment.Limits{})
		}
		var inForce *rlbdeployment.Config
		update := func(c *rlbdeployment.Config, all ...*rlbdeployment.Endpoint) {
			inForce, now = c, now.Add(footprintInterval)
			snapshot := &rlbdiscovery.Snapshot{Config: c, ByID: map[string]*rlbdeployment.Endpoint{}}
			for _, e := range all {
				snapshot.ByID[e.ID] = e
			}
			f.update(snapshot, now)
		}
		on := func(e *rlbdeployment.Endpoint) sizes { return f.on(e, inForce.Services["s"].Engine, now) }
		other := &rlbdeployment.Endpoint{ID: "f", Service: "s"}
		update(config(90*gigabyte, gigabyte), holder, other)
		update(config(40*gigabyte, gigabyte/2), holder, other)
		Convey("the model takes the larger of both sizes there, and so do its adapters", func() {
			So(on(holder).of("m"), ShouldResemble, footprint{90 * gigabyte, gigabyte})
			now = now.Add(2 * footprintSettlePeriod)
			update(inForce, holder, other)
			So(on(holder).of("m"), ShouldResemble, footprint{90 * gigabyte, gigabyte})
			Convey("but not where it is loaded later", func() {
				So(on(other).of("m"), ShouldResemble, footprint{40 * gigabyte, gigabyte / 2})
			})
			Convey("until the endpoint does not hold it any more", func() {
				update(inForce, other)
				So(f.earlier, ShouldBeEmpty)
				So(on(holder).of("m"), ShouldResemble, footprint{40 * gigabyte, gigabyte / 2})
			})
		})
		Convey("an endpoint that was loading it at the change may hold it with either size", func() {
			So(on(other).of("m").model, ShouldEqual, 90*gigabyte)
		})
		Convey("of several sizes the largest counts", func() {
			update(config(60*gigabyte, gigabyte), holder)
			update(config(10*gigabyte, gigabyte), holder)
			So(on(holder).of("m").model, ShouldEqual, 90*gigabyte)
		})
		Convey("adapters that have grown are loaded only where they fit", func() {
			state := newEndpointState(holder)
			So(state.applyReport(report(1, false, "m", "n"), now), ShouldBeTrue)
			state.models["m"].adapters["a1"] = &adapterState{}
			engine := inForce.Services["s"].Engine
			engine.Memory = 90*gigabyte + 72*gigabyte + gigabyte
			free, freeable := state.adapterMemory(on(holder), "m")
			So([]bool{free, freeable}, ShouldResemble, []bool{false, true})
			engine.Memory--
			_, freeable = state.adapterMemory(on(holder), "m")
			So(freeable, ShouldBeFalse)
		})
	})
}

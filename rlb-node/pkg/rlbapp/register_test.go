package rlbapp

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	. "github.com/smartystreets/goconvey/convey"
)

// newTestApp returns an app with only what registration needs.
func newTestApp(name string, api rlbobject.API, holder bool) *app {
	a := &app{
		Common: &rlbcommon.Common{Log: log.NewEntry(&log.Logger{Handler: discard.New(), Level: log.InfoLevel})},
		name:   name, domain: "x", address: name + ":1", api: api, staleAPI: api, fleet: rlbpeer.NewFleet(name, "x"),
		view: rlbdiscovery.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, decoder{}, rlbclock.Now, time.Second),
	}
	a.now = rlbclock.Now
	a.apiEra = func() uint64 { return 0 }
	a.holdsLease = func() bool { return holder }
	return a
}

func TestRegister(t *testing.T) {
	ctx := context.Background()
	names := func(api rlbobject.API) (all []string) {
		changes, err := api.List(ctx, kindInstances)
		So(err, ShouldBeNil)
		for _, o := range changes.Objects {
			all = append(all, o.Name)
		}
		return all
	}
	Convey("Given a lease holder and another instance that are registered", t, func() {
		api := rlbfake.NewObjects()
		holder, other := newTestApp("a", api, true), newTestApp("b", api, false)
		So(holder.writeRegistration(ctx, 0), ShouldBeTrue)
		So(other.writeRegistration(ctx, 0), ShouldBeTrue)
		Convey("the holder discovers the other instance, also after its restart under the same name", func() {
			So(newTestApp("b", api, false).writeRegistration(ctx, 0), ShouldBeTrue)
			_, done := holder.discoverPeers(ctx, api)
			So(done, ShouldBeTrue)
			own, _ := holder.fleet.Targets(rlbclock.Now())
			So(own, ShouldResemble, []string{"b:1"})
		})
		Convey("a renewed registration stays, one that is not renewed is deleted after maxUnchangedLists lists", func() {
			for _, instance := range []string{"a", "b"} {
				_, err := api.Put(ctx, rlbobject.Key{Kind: kindStreams, Name: instance}, []byte("[]"), 0)
				So(err, ShouldBeNil)
			}
			for n := uint64(1); n <= maxUnchangedLists+1; n++ {
				So(names(api), ShouldHaveLength, 2)
				So(holder.writeRegistration(ctx, n), ShouldBeTrue)
				other.deleteStaleRegistrations(ctx)
				holder.deleteStaleRegistrations(ctx)
			}
			So(names(api), ShouldResemble, []string{"a"})
			streams, err := api.List(ctx, kindStreams)
			So(err, ShouldBeNil)
			So(streams.Objects, ShouldHaveLength, 1)
		})
		Convey("nothing is deleted while the list cannot be read", func() {
			api.SetDown(true)
			for range maxUnchangedLists + 1 {
				holder.deleteStaleRegistrations(ctx)
			}
			api.SetDown(false)
			So(names(api), ShouldHaveLength, 2)
		})
	})
}

// countingAPI counts the calls to an object API.
type countingAPI struct {
	rlbobject.API
	calls int
}

func (c *countingAPI) List(ctx context.Context, kind string) (rlbobject.Changes, error) {
	c.calls++
	return c.API.List(ctx, kind)
}

func (c *countingAPI) Get(ctx context.Context, key rlbobject.Key) (rlbobject.Object, error) {
	c.calls++
	return c.API.Get(ctx, key)
}

func (c *countingAPI) Put(ctx context.Context, key rlbobject.Key, value []byte, expected rlbobject.Version) (rlbobject.Version, error) {
	c.calls++
	return c.API.Put(ctx, key, value, expected)
}

func TestRegistrationAtStart(t *testing.T) {
	ctx := context.Background()
	start := func(name string, api rlbobject.API) (*app, int, int) {
		exact, stale := &countingAPI{API: api}, &countingAPI{API: api}
		a := newTestApp(name, exact, false)
		a.staleAPI = stale
		a.startedAt = rlbclock.Now()
		a.registerAtStart(ctx)
		return a, exact.calls, stale.calls
	}
	Convey("Given three instances that started one after the other", t, func() {
		api := rlbfake.NewObjects()
		for _, name := range []string{"a", "b", "c"} {
			a, exact, stale := start(name, api)
			So(exact, ShouldEqual, 2)
			So(stale, ShouldEqual, 1)
			So(a.firstRegistered.Load(), ShouldEqual, name == "a")
		}
		Convey("a restart takes one cheap call and finds the others", func() {
			a, exact, stale := start("b", api)
			So(exact, ShouldEqual, 0)
			So(stale, ShouldEqual, 1)
			own, _ := a.fleet.Targets(rlbclock.Now())
			So(own, ShouldHaveLength, 2)
			So(a.settled(), ShouldBeFalse)
			a.startedAt = a.startedAt.Add(-settleTime)
			So(a.settled(), ShouldBeTrue)
		})
		Convey("the first of the domain takes up its duties at once after a restart", func() {
			a, _, _ := start("a", api)
			So(a.settled(), ShouldBeTrue)
		})
		Convey("a restart at another address registers anew", func() {
			moved := newTestApp("b", api, false)
			moved.address = "elsewhere:1"
			moved.registerAtStart(ctx)
			stored, done := moved.discoverPeers(ctx, api)
			So(done, ShouldBeTrue)
			So(stored.Address, ShouldEqual, "elsewhere:1")
		})
	})
}

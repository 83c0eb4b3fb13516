package rlbapp

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	. "github.com/smartystreets/goconvey/convey"
)

// newTestApp returns an app with only what registration needs.
func newTestApp(name string, api rlbobject.API, holder bool) *app {
	a := &app{
		Common: &rlbcommon.Common{Log: log.NewEntry(&log.Logger{Handler: discard.New(), Level: log.InfoLevel})},
		name:   name, domain: "x", address: name + ":1", api: api, fleet: rlbpeer.NewFleet(name, "x"),
	}
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
			So(holder.discoverPeers(ctx), ShouldBeTrue)
			own, _ := holder.fleet.Targets(rlbclock.Now())
			So(own, ShouldResemble, []string{"b:1"})
		})
		Convey("a renewed registration stays, one that is not renewed is deleted after maxUnchangedLists lists", func() {
			for n := uint64(1); n <= maxUnchangedLists+1; n++ {
				So(names(api), ShouldHaveLength, 2)
				So(holder.writeRegistration(ctx, n), ShouldBeTrue)
				other.deleteStaleRegistrations(ctx)
				holder.deleteStaleRegistrations(ctx)
			}
			So(names(api), ShouldResemble, []string{"a"})
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

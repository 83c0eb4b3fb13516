package rlbapp

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCrashCausesSurviveRestartOfAllInstances(t *testing.T) {
	ctx := context.Background()
	part := rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: 7}
	start := func(api rlbobject.API, holder bool) (*app, *crashStore) {
		a := newTestApp("a", api, holder)
		a.crashes = rlbcrash.New(rlbcrash.Opts{Instance: "a", Now: rlbclock.Now})
		return a, &crashStore{app: a}
	}
	refuses := func(a *app) bool {
		allowed, _, _ := a.crashes.Check("s", []rlbcrash.Property{part})
		return !allowed
	}
	Convey("Given a lease holder that refuses requests with a part", t, func() {
		api := rlbfake.NewObjects()
		holder, store := start(api, true)
		now := rlbclock.Now()
		var crashes []rlbcrash.Crash
		for n := range uint64(3) {
			crashes = append(crashes, rlbcrash.Crash{ID: n, Endpoint: n, At: now.Add(time.Duration(n) * time.Second)})
		}
		holder.crashes.Merge([]rlbcrash.Record{{Property: part, Crashes: crashes}})
		So(refuses(holder), ShouldBeTrue)
		store.saveChanges(ctx)
		Convey("a new process refuses them once it has loaded the object", func() {
			next, loaded := start(api, false)
			So(refuses(next), ShouldBeFalse)
			So(loaded.load(ctx, api), ShouldBeTrue)
			So(refuses(next), ShouldBeTrue)
		})
		Convey("one that cannot read the object tries again", func() {
			next, loaded := start(api, false)
			api.SetDown(true)
			So(loaded.load(ctx, api), ShouldBeFalse)
			api.SetDown(false)
			So(loaded.load(ctx, api), ShouldBeTrue)
			So(refuses(next), ShouldBeTrue)
		})
		Convey("the next lease holder removes the part from the object when it is answered", func() {
			next, loaded := start(api, true)
			So(loaded.load(ctx, api), ShouldBeTrue)
			next.crashes.RecordAnswer("s", []rlbcrash.Property{part})
			loaded.saveChanges(ctx)
			last, reloaded := start(api, false)
			So(reloaded.load(ctx, api), ShouldBeTrue)
			So(refuses(last), ShouldBeFalse)
		})
		Convey("a holder that does not know the version of the object reads it and writes at its next check", func() {
			other, unaware := start(api, true)
			other.crashes.Merge([]rlbcrash.Record{{Property: rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: 8}, Crashes: crashes}})
			unaware.saveChanges(ctx)
			unaware.saveChanges(ctx)
			last, reloaded := start(api, false)
			So(reloaded.load(ctx, api), ShouldBeTrue)
			So(refuses(last), ShouldBeFalse)
			So(last.crashes.Refused(), ShouldEqual, 1)
		})
		Convey("an instance without the lease writes nothing", func() {
			other, silent := start(api, false)
			other.crashes.RecordAnswer("s", []rlbcrash.Property{part})
			silent.saveChanges(ctx)
			next, loaded := start(api, false)
			So(loaded.load(ctx, api), ShouldBeTrue)
			So(refuses(next), ShouldBeTrue)
		})
	})
}

func TestCrashCausesThatARestoreHasLostAreStoredAgain(t *testing.T) {
	ctx := context.Background()
	Convey("The lease holder stores again which requests it refuses", t, func() {
		store, a := newStoreApp(t)
		empty := store.Copy()
		a.crashes = rlbcrash.New(rlbcrash.Opts{Instance: "a", Now: rlbclock.Now})
		var crashes []rlbcrash.Crash
		for n := range uint64(3) {
			crashes = append(crashes, rlbcrash.Crash{ID: n, Endpoint: n, At: rlbclock.Now().Add(time.Duration(n) * time.Second)})
		}
		a.crashes.Merge([]rlbcrash.Record{{Property: rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: 7}, Crashes: crashes}})
		stored := &crashStore{app: a}
		So(stored.load(ctx, a.api), ShouldBeTrue)
		stored.saveChanges(ctx)
		causes, err := stored.read(ctx, a.api)
		So(err, ShouldBeNil)
		So(causes, ShouldHaveLength, 1)
		store.Restore(empty)
		_, done := a.discoverPeers(ctx, a.api) // any call shows the new era
		So(done, ShouldBeTrue)
		stored.saveChanges(ctx)
		causes, err = stored.read(ctx, a.api)
		So(err, ShouldBeNil)
		So(causes, ShouldHaveLength, 1)
	})
}

// TestRefusedRequestsAreReadUpToDate guards against requests that crash endpoints and run again
// after a restart of all instances: the read at the start was seconds old.
func TestRefusedRequestsAreReadUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: 7}
		api := rlbfake.NewObjects()
		holder := newTestApp("a", api, true)
		holder.crashes = rlbcrash.New(rlbcrash.Opts{Instance: "a", Now: time.Now})
		for n := range uint64(3) {
			holder.crashes.RecordCrash(part, n, n, time.Now())
			time.Sleep(time.Second)
		}
		(&crashStore{app: holder}).saveChanges(t.Context())
		next := newTestApp("b", api, false)
		next.now = time.Now
		next.staleAPI = rlbfake.NewObjects() // from before the crashes
		next.crashes = rlbcrash.New(rlbcrash.Opts{Instance: "b", Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		go (&crashStore{app: next}).run(ctx)
		time.Sleep(time.Second)
		if next.crashes.Refused() != 1 {
			t.Error("the part is not refused after a restart")
		}
		cancel()
		synctest.Wait()
	})
}

package rlbapp

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// newStoreApp returns a lease holder whose object API can be restored from a copy.
func newStoreApp(t *testing.T) (*rlbfakedeployment.Store, *app) {
	t.Helper()
	store := rlbfakedeployment.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	objects := rlbplatform.NewObjects(strings.TrimPrefix(server.URL, "http://"), server.Client())
	a := newTestApp("a", objects, true)
	a.apiEra = objects.Era
	return store, a
}

func TestRegistrationThatARestoreHasLostIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	Convey("An instance whose registration is gone registers again, others write nothing", t, func() {
		store, a := newStoreApp(t)
		empty := store.Copy()
		a.registerAtStart(ctx)
		own := ownRegistration{renewed: rlbclock.Now(), era: a.era()}
		calls := store.Calls()
		a.keepRegistered(ctx, &own)
		So(store.Calls(), ShouldEqual, calls)
		store.Restore(empty)
		registered, done := a.discoverPeers(ctx, a.api)
		So(done, ShouldBeTrue)
		So(registered.Address, ShouldBeEmpty)
		a.keepRegistered(ctx, &own)
		registered, _ = a.discoverPeers(ctx, a.api)
		So(registered.Address, ShouldEqual, a.address)
		calls = store.Calls()
		a.keepRegistered(ctx, &own)
		So(store.Calls(), ShouldEqual, calls)
	})
}

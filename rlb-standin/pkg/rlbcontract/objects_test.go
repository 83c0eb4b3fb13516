package rlbcontract

import (
	"context"
	"flag"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
	. "github.com/smartystreets/goconvey/convey"
)

var objectsAddress = flag.String("objects", "", "IP:port of an object API to test against the contract")

const callTimeout = 10 * time.Second

// implementation is an implementation of the object API; faults is nil if it cannot
// inject faults.
type implementation struct {
	name   string
	api    rlbobject.API
	faults *rlbfake.Objects
}

// implementations returns the fake, the fake over HTTP, and the real object API if
// its address is given.
func implementations(t *testing.T) []implementation {
	fake := rlbfake.NewObjects()
	served := rlbfake.NewObjects()
	platform := rlbfakeplatform.New(served, rlbfakeplatform.NewInstanceList(0, time.Now, nil), rlbfakeplatform.NewWeightStore(rlbfakeplatform.WeightOpts{}))
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	all := []implementation{{"fake", fake, fake}, {"over HTTP", newObjectClient(t, strings.TrimPrefix(server.URL, "http://")), served}}
	if *objectsAddress != "" {
		all = append(all, implementation{"at " + *objectsAddress, newObjectClient(t, *objectsAddress), nil})
	}
	return all
}

func newObjectClient(t *testing.T, address string) rlbobject.API {
	c, cleanUp := rlbobject.NewClient(address, callTimeout, metrics.NewRegistry())
	t.Cleanup(cleanUp)
	return c
}

// assertFails checks that err is an object API error of the given kind.
func assertFails(err error, kind rlbobject.Kind) {
	So(err, ShouldNotBeNil)
	So(rlbobject.Is(err, kind), ShouldBeTrue)
}

func TestObjects(t *testing.T) {
	for _, i := range implementations(t) {
		t.Run(i.name, func(t *testing.T) {
			checkVersions(t, i.api)
			checkWatch(t, i.api)
			if i.faults != nil {
				checkFaults(t, i)
			}
		})
	}
}

func checkVersions(t *testing.T, api rlbobject.API) {
	ctx := context.Background()
	key := rlbobject.Key{Kind: "contract", Name: uuid.NewString()}
	Convey("objects are created, updated and deleted only at the given version", t, func() {
		_, err := api.Get(ctx, key)
		assertFails(err, rlbobject.KindNotFound)
		first, err := api.Put(ctx, key, []byte("one"), 0)
		So(err, ShouldBeNil)
		_, err = api.Put(ctx, key, []byte("again"), 0)
		assertFails(err, rlbobject.KindConflict)
		second, err := api.Put(ctx, key, []byte{0, 255, 10}, first)
		So(err, ShouldBeNil)
		So(second, ShouldBeGreaterThan, first)
		_, err = api.Put(ctx, key, []byte("late"), first)
		assertFails(err, rlbobject.KindConflict)
		object, err := api.Get(ctx, key)
		So(err, ShouldBeNil)
		So(object.Value, ShouldResemble, []byte{0, 255, 10})
		So(object.Version, ShouldEqual, second)
		assertFails(api.Delete(ctx, key, first), rlbobject.KindConflict)
		So(api.Delete(ctx, key, second), ShouldBeNil)
		assertFails(api.Delete(ctx, key, second), rlbobject.KindNotFound)
	})
	Convey("a value of 1 MiB is stored, a longer one is refused", t, func() {
		big := rlbobject.Key{Kind: "contract", Name: uuid.NewString()}
		version, err := api.Put(ctx, big, make([]byte, rlbobject.MaxValueBytes), 0)
		So(err, ShouldBeNil)
		_, err = api.Put(ctx, big, make([]byte, rlbobject.MaxValueBytes+1), version)
		assertFails(err, rlbobject.KindTooLarge)
		So(api.Delete(ctx, big, version), ShouldBeNil)
	})
}

func checkWatch(t *testing.T, api rlbobject.API) {
	ctx := context.Background()
	kind := "contract-" + uuid.NewString()
	Convey("a watch waits for changes after a revision and returns them", t, func() {
		before, err := api.List(ctx, kind)
		So(err, ShouldBeNil)
		So(before.Objects, ShouldBeEmpty)
		written := make(chan error)
		go func() {
			_, err := api.Put(ctx, rlbobject.Key{Kind: kind, Name: "a"}, []byte("x"), 0)
			written <- err
		}()
		changes, err := api.Watch(ctx, kind, before.Revision, time.Now().Add(callTimeout))
		So(err, ShouldBeNil)
		So(<-written, ShouldBeNil)
		So(changes.Objects, ShouldHaveLength, 1)
		So(changes.Objects[0].Name, ShouldEqual, "a")
		So(string(changes.Objects[0].Value), ShouldEqual, "x")
		after, err := api.Watch(ctx, kind, changes.Revision, time.Now().Add(time.Millisecond))
		So(err, ShouldBeNil)
		So(after.Objects, ShouldBeEmpty)
	})
}

// objectFaults lists the error that each fault returns for a write, and whether the
// write is applied.
var objectFaults = []struct {
	fault   rlbfake.ObjectFault
	kind    rlbobject.Kind
	applied bool
}{
	{rlbfake.FaultRefused, rlbobject.KindUnavailable, false},
	{rlbfake.FaultLost, rlbobject.KindUnknown, false},
	{rlbfake.FaultAnswerLost, rlbobject.KindUnknown, true},
}

func checkFaults(t *testing.T, i implementation) {
	ctx := context.Background()
	for _, c := range objectFaults {
		Convey(string(c.fault), t, func() {
			key := rlbobject.Key{Kind: "fault", Name: string(c.fault)}
			i.faults.Inject(c.fault)
			_, err := i.api.Put(ctx, key, []byte("x"), 0)
			assertFails(err, c.kind)
			_, err = i.api.Get(ctx, key)
			So(err == nil, ShouldEqual, c.applied)
		})
	}
	Convey("during an outage reads, writes and watches are refused", t, func() {
		i.faults.SetDown(true)
		defer i.faults.SetDown(false)
		key := rlbobject.Key{Kind: "fault", Name: "down"}
		_, err := i.api.Put(ctx, key, []byte("x"), 0)
		assertFails(err, rlbobject.KindUnavailable)
		_, err = i.api.Get(ctx, key)
		assertFails(err, rlbobject.KindUnavailable)
		_, err = i.api.Watch(ctx, "fault", 1<<40, time.Now().Add(callTimeout))
		assertFails(err, rlbobject.KindUnavailable)
	})
}

func TestUnreachable(t *testing.T) {
	Convey("a call to an address without a listener fails as unavailable: it had no effect", t, func() {
		server := httptest.NewServer(nil)
		address := strings.TrimPrefix(server.URL, "http://")
		server.Close()
		_, err := newObjectClient(t, address).Put(context.Background(), rlbobject.Key{Kind: "k", Name: "n"}, nil, 0)
		assertFails(err, rlbobject.KindUnavailable)
	})
}

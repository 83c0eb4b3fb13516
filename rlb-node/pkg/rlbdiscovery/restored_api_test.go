package rlbdiscovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// testSilence is the time after which the platform removes the entry of a silent endpoint.
const testSilence = 4 * time.Second

// storeFixture is an object API that can be restored from a copy, and an instance that
// watches its configs and entries.
type storeFixture struct {
	*rlbfakedeployment.Store
	now      time.Time
	view     *View
	watchers []*Watcher
}

func newStoreFixture(t *testing.T) *storeFixture {
	t.Helper()
	f := &storeFixture{Store: rlbfakedeployment.NewStore(), now: time.Unix(1000, 0)}
	server := httptest.NewServer(f.Store)
	t.Cleanup(server.Close)
	api := rlbplatform.NewObjects(strings.TrimPrefix(server.URL, "http://"), server.Client())
	clock := func() time.Time { return f.now }
	f.view = New(quiet, plainDecoder{}, clock, testSilence)
	watch := func(kind string, sink Sink) {
		f.watchers = append(f.watchers, &Watcher{API: api, FirstAPI: api, Kind: kind, Sink: sink, Log: quiet, Now: clock, lastAnswer: f.now})
	}
	watch(rlbplatform.ObjectKindEndpoints, f.view)
	watch(rlbplatform.ObjectKindConfig, ConfigSink{View: f.view, Name: rlbplatform.ConfigName})
	return f
}

func (f *storeFixture) setEntry(id, state string) { f.Set(rlbplatform.ObjectKindEndpoints, id, state) }

func (f *storeFixture) setConfig(version int) {
	f.Set(rlbplatform.ObjectKindConfig, rlbplatform.ConfigName, version)
}

// writeOthers makes n changes to objects of other kinds.
func (f *storeFixture) writeOthers(n int) {
	for i := range n {
		f.Set("other", "o", i)
	}
}

// poll makes each watcher read until it has all changes.
func (f *storeFixture) poll() {
	for _, w := range f.watchers {
		for known := rlbobject.Version(1); w.revision != known; { // a list is followed by a watch
			known = w.revision
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			if err := w.step(ctx); err != nil && ctx.Err() == nil {
				So(err, ShouldBeNil)
			}
			cancel()
		}
	}
}

// fail makes the next call of each watcher fail, as the outage that a restore comes with does.
func (f *storeFixture) fail() {
	f.Refuse(http.StatusServiceUnavailable)
	defer f.Refuse(0)
	for _, w := range f.watchers {
		w.recordFailure(w.step(context.Background()))
	}
}

// wait lets time pass and applies the end of grace periods in a view.
func (f *storeFixture) wait(d time.Duration, v *View) {
	f.now = f.now.Add(d)
	v.Sweep()
}

// usable reports whether new requests may go to an endpoint.
func usable(v *View, id string) bool {
	e := v.Snapshot().ByID[id]
	return e != nil && !e.Draining
}

// passChanges gives a view what it lacks of another, as instances do that do not watch.
func passChanges(to, from *View) {
	changes := from.ChangesSince(configVersion(to.Snapshot().Config), to.Revision())
	to.ApplyChanges(changes.Entries, false)
	to.ApplyChanges(changes.Lapsed, true)
}

func configVersion(c *rlbdeployment.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

func TestEndpointThatLeavesAfterRestoreGetsNoRequests(t *testing.T) {
	Convey("An endpoint that drains after the object API was restored is not used", t, func() {
		f := newStoreFixture(t)
		f.setEntry("a", "ready")
		older := f.Copy()
		f.writeOthers(20)
		f.setEntry("a", "ready")
		f.poll()
		f.fail()
		f.Restore(older)
		f.setEntry("a", "leaving")
		f.poll()
		So(usable(f.view, "a"), ShouldBeFalse)
	})
}

func TestRemovalAfterRestoreReachesOtherInstances(t *testing.T) {
	Convey("An instance that does not watch learns that an endpoint was removed after a restore", t, func() {
		f := newStoreFixture(t)
		f.setEntry("a", "ready")
		older := f.Copy()
		f.writeOthers(20)
		f.setEntry("b", "ready")
		f.poll()
		other := New(quiet, plainDecoder{}, func() time.Time { return f.now }, testSilence)
		passChanges(other, f.view)
		f.fail()
		f.Restore(older)
		f.setEntry("b", "ready")
		f.Remove(rlbplatform.ObjectKindEndpoints, "a")
		f.poll()
		passChanges(other, f.view)
		f.wait(outageGrace, other)
		So(usable(other, "a"), ShouldBeFalse)
	})
}

func TestConfigPublishedAfterRestoreIsInForce(t *testing.T) {
	Convey("A config is in force although the revisions have passed that of the watch before it goes on", t, func() {
		f := newStoreFixture(t)
		f.setConfig(7)
		older := f.Copy()
		f.writeOthers(20)
		f.poll()
		f.fail()
		f.Restore(older)
		f.setConfig(8)
		f.writeOthers(40)
		f.poll()
		So(configVersion(f.view.Snapshot().Config), ShouldEqual, 8)
	})
}

func TestEndpointThatLeftDoesNotComeBackWithARestore(t *testing.T) {
	// leave makes an endpoint leave, after the copy that is restored.
	play := func(leave func(f *storeFixture)) *storeFixture {
		f := newStoreFixture(t)
		f.setEntry("a", "ready")
		f.setEntry("b", "ready")
		older := f.Copy()
		f.poll()
		leave(f)
		f.poll()
		f.fail()
		f.Restore(older)
		f.poll()
		return f
	}
	drain := func(f *storeFixture) { f.setEntry("a", "leaving") }
	remove := func(f *storeFixture) { f.Remove(rlbplatform.ObjectKindEndpoints, "a") }
	Convey("An endpoint that drained is not used, and other instances learn it", t, func() {
		f := play(drain)
		So(usable(f.view, "a"), ShouldBeFalse)
		So(usable(f.view, "b"), ShouldBeTrue)
		So(f.view.MarkedDraining(), ShouldHaveLength, 1)
		f.wait(time.Minute, f.view)
		So(usable(f.view, "a"), ShouldBeFalse)
	})
	Convey("An endpoint that drained and was removed is not used", t, func() {
		f := play(func(f *storeFixture) { drain(f); f.poll(); remove(f) })
		So(usable(f.view, "a"), ShouldBeFalse)
	})
	Convey("An endpoint that was removed is not used before its entry has outlived a silent endpoint", t, func() {
		f := play(func(f *storeFixture) { remove(f); f.poll(); f.wait(removalGrace, f.view) })
		So(usable(f.view, "a"), ShouldBeFalse)
		So(usable(f.view, "b"), ShouldBeTrue)
		f.wait(testSilence-time.Millisecond, f.view)
		So(usable(f.view, "a"), ShouldBeFalse)
		f.wait(time.Millisecond, f.view)
		So(usable(f.view, "a"), ShouldBeTrue)
	})
	Convey("The same holds for one whose entry lapsed in an outage and did not come back", t, func() {
		f := play(func(f *storeFixture) {
			remove(f)
			f.watchers[0].outageEnd = f.now
			f.poll()
			f.wait(outageGrace, f.view)
		})
		So(usable(f.view, "a"), ShouldBeFalse)
	})
	Convey("The same holds within the grace period after its removal", t, func() {
		f := play(remove)
		So(usable(f.view, "a"), ShouldBeFalse)
	})
	Convey("An endpoint whose entry comes back without a restore is used at once", t, func() {
		f := newStoreFixture(t)
		f.setEntry("a", "ready")
		f.poll()
		f.Remove(rlbplatform.ObjectKindEndpoints, "a")
		f.poll()
		f.wait(removalGrace, f.view)
		f.setEntry("a", "ready")
		f.poll()
		So(usable(f.view, "a"), ShouldBeTrue)
	})
}

func TestEndpointMissingFromTheRestoredCopyStaysInUse(t *testing.T) {
	Convey("Given an endpoint whose entry is newer than the copy that was restored", t, func() {
		f := newStoreFixture(t)
		f.setEntry("a", "ready")
		older := f.Copy()
		f.setEntry("b", "ready")
		f.poll()
		other := New(quiet, plainDecoder{}, func() time.Time { return f.now }, testSilence)
		passChanges(other, f.view)
		f.fail()
		f.Restore(older)
		f.poll()
		passChanges(other, f.view)
		Convey("it has as long to write its entry again as after an outage", func() {
			f.wait(outageGrace-time.Millisecond, f.view)
			So(usable(f.view, "b"), ShouldBeTrue)
			other.Sweep()
			So(usable(other, "b"), ShouldBeTrue)
			f.setEntry("b", "ready")
			f.poll()
			f.wait(time.Second, f.view)
			So(usable(f.view, "b"), ShouldBeTrue)
		})
		Convey("it is not used if it does not", func() {
			f.wait(outageGrace, f.view)
			So(usable(f.view, "b"), ShouldBeFalse)
			other.Sweep()
			So(usable(other, "b"), ShouldBeFalse)
		})
	})
}

package rlbapp

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

var olderVersion, newerVersion = rlborigin.Origin{Service: "llm", Version: "v1"}, rlborigin.Origin{Service: "llm", Version: "v2"}

// talkDecoder decodes a config as one with a route whose streams may be taken up again. It names
// the service; none: llm. The version is one more than the length of the name.
type talkDecoder struct{ decoder }

func (talkDecoder) Config(service []byte) (*rlbdeployment.Config, error) {
	name := cmp.Or(string(service), "llm")
	route := rlbdeployment.Route{Kind: rlbdeployment.KindStream, Resumable: true, Timeout: time.Minute, Shares: []rlbdeployment.Share{{Service: name, Weight: 1}}}
	return rlbdeployment.NewConfig(1+uint64(len(service)), []rlbdeployment.Route{route}, nil, rlbdeployment.Limits{}), nil
}

// originFixture is an object API through which instances share the origins of streams.
type originFixture struct {
	store *rlbfakedeployment.Store
	api   func() *rlbplatform.Objects
}

func newOriginFixture(t *testing.T) *originFixture {
	t.Helper()
	store := rlbfakedeployment.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &originFixture{store, func() *rlbplatform.Objects {
		return rlbplatform.NewObjects(strings.TrimPrefix(server.URL, "http://"), server.Client())
	}}
}

// start returns the origins of a new process of an instance that sees some versions serve.
func (f *originFixture) start(name string, serving ...rlborigin.Origin) *streamOrigins {
	api := f.api()
	a := newTestApp(name, api, false)
	a.apiEra = api.Era
	a.view = rlbdiscovery.New(a.Log, talkDecoder{}, rlbclock.Now, time.Second)
	a.view.ApplyConfig(nil, "test")
	o := newStreamOrigins(a)
	o.Observe(serving, time.Minute)
	return o
}

// saveAll saves until all is stored: the first call may only read, and the second find an
// object of a predecessor.
func saveAll(o *streamOrigins) {
	for range 3 {
		So(o.save(context.Background()), ShouldBeTrue)
	}
}

func shouldFind(o *streamOrigins, request, version string, verdict rlborigin.Verdict) {
	gotVersion, gotVerdict := o.Find(context.Background(), "llm", request)
	So(gotVersion, ShouldEqual, version)
	So(gotVerdict, ShouldEqual, verdict)
}

func TestOriginsOfStreamsSurviveTheLossOfAllInstances(t *testing.T) {
	deadline := rlbclock.Now().Add(time.Minute)
	Convey("Given two instances that relay streams of two versions and are lost", t, func() {
		f := newOriginFixture(t)
		a, b := f.start("a", olderVersion, newerVersion), f.start("b", olderVersion, newerVersion)
		a.Began("x", olderVersion, deadline)
		b.Began("y", newerVersion, deadline)
		saveAll(a)
		saveAll(b)
		Convey("a new process knows where each stream began, also if the version has left", func() {
			next := f.start("a", newerVersion)
			shouldFind(next, "x", "v1", rlborigin.Known)
			shouldFind(next, "y", "v2", rlborigin.Known)
			shouldFind(next, "unknown", "", rlborigin.Unknown)
		})
		Convey("what a process stores keeps what its predecessor stored", func() {
			next := f.start("a", newerVersion)
			next.Began("z", newerVersion, deadline)
			saveAll(next)
			shouldFind(f.start("c", newerVersion), "x", "v1", rlborigin.Known)
			shouldFind(f.start("c", newerVersion), "z", "v2", rlborigin.Known)
		})
		Convey("while the object API is unavailable a stream that is not known is refused at once", func() {
			next := f.start("a", newerVersion)
			f.store.Refuse(http.StatusServiceUnavailable)
			shouldFind(next, "x", "", rlborigin.Unknown)
		})
	})
	Convey("Given an instance of a deployment with one version that is lost", t, func() {
		f := newOriginFixture(t)
		a := f.start("a", olderVersion)
		a.Began("x", olderVersion, deadline)
		saveAll(a)
		Convey("a new process lets each stream go on", func() {
			shouldFind(f.start("a", olderVersion), "x", "v1", rlborigin.Known)
			shouldFind(f.start("a", olderVersion), "unknown", "v1", rlborigin.Known)
		})
		Convey("a stream that begins or ends causes no write", func() {
			calls := f.store.Calls()
			a.Began("y", olderVersion, deadline)
			a.Ended("x")
			saveAll(a)
			So(f.store.Calls(), ShouldEqual, calls)
		})
		Convey("the streams of before are stored once a second version serves", func() {
			a.Observe([]rlborigin.Origin{newerVersion}, time.Minute)
			saveAll(a)
			shouldFind(f.start("b", newerVersion), "x", "v1", rlborigin.Known)
		})
	})
}

// TestInstanceThatHasNotHeardOfAVersionDoesNotGuess guards against streams joined from two
// software versions at an instance that is late, cut off, stood still or has just started.
func TestInstanceThatHasNotHeardOfAVersionDoesNotGuess(t *testing.T) {
	deadline := rlbclock.Now().Add(time.Minute)
	Convey("Given an instance that relays streams of a new version, of which another one has not heard", t, func() {
		f := newOriginFixture(t)
		a, late := f.start("a", olderVersion), f.start("b", olderVersion)
		saveAll(a)
		saveAll(late)
		a.Observe([]rlborigin.Origin{newerVersion}, time.Minute)
		saveAll(a)
		a.Began("x", newerVersion, deadline)
		Convey("a stream that is not stored yet is not taken for one of the version that it knows", func() {
			shouldFind(late, "x", "", rlborigin.Unknown)
		})
		Convey("a stream that is stored is found", func() {
			saveAll(a)
			shouldFind(late, "x", "v2", rlborigin.Known)
		})
		Convey("cut off from the object API it knows no stream but its own", func() {
			late.Began("y", olderVersion, deadline)
			f.store.Refuse(http.StatusServiceUnavailable)
			shouldFind(late, "x", "", rlborigin.Unknown)
			shouldFind(late, "y", "v1", rlborigin.Known)
		})
		Convey("one that has just started does not know more", func() {
			shouldFind(f.start("c", olderVersion), "x", "", rlborigin.Unknown)
		})
	})
	Convey("What another instance stores while the records are read again counts", t, func() {
		f := newOriginFixture(t)
		a, late := f.start("a", olderVersion), f.start("b", olderVersion)
		saveAll(a)
		saveAll(late)
		shouldFind(late, "x", "v1", rlborigin.Known)
		a.Observe([]rlborigin.Origin{newerVersion}, time.Minute)
		saveAll(a)
		shouldFind(late, "x", "", rlborigin.Unknown)
	})
}

// TestStreamsOfALostInstanceGoOnAsASecondVersionJoins guards against streams that are refused
// when they are taken up, because their instance was lost before it had stored them.
func TestStreamsOfALostInstanceGoOnAsASecondVersionJoins(t *testing.T) {
	Convey("Given an instance that relays a stream while one version serves, and is lost as a second one joins", t, func() {
		f := newOriginFixture(t)
		lost, other := f.start("a", olderVersion), f.start("b", olderVersion)
		saveAll(lost)
		saveAll(other)
		lost.Began("x", olderVersion, rlbclock.Now().Add(time.Minute))
		other.learn(lost.Announcements())
		other.Observe([]rlborigin.Origin{newerVersion}, time.Minute)
		saveAll(other)
		Convey("another one of its domain knows where the stream began", func() {
			shouldFind(other, "x", "v1", rlborigin.Known)
		})
		Convey("also if the object API does not answer", func() {
			f.store.Refuse(http.StatusServiceUnavailable)
			shouldFind(other, "x", "v1", rlborigin.Known)
		})
	})
}

// TestReadsOfOriginsAreShared guards against take-ups that wait for each other's reads while
// the object API does not answer.
func TestReadsOfOriginsAreShared(t *testing.T) {
	Convey("Many take-ups at once cause few reads, also if these fail", t, func() {
		f := newOriginFixture(t)
		o := f.start("a", olderVersion)
		f.store.Refuse(http.StatusServiceUnavailable)
		calls := f.store.Calls()
		asked := o.now()
		var waiting sync.WaitGroup
		for range 50 {
			waiting.Go(func() { o.read(context.Background(), asked) })
		}
		waiting.Wait()
		So(f.store.Calls()-calls, ShouldEqual, 1)
	})
	Convey("A caller that leaves does not end the read that others wait for", t, func() {
		o := newOriginFixture(t).start("a", olderVersion)
		ctx, leave := context.WithCancel(context.Background())
		leave()
		So(o.read(ctx, o.now()), ShouldBeTrue)
	})
}

// TestProcessThatCannotReadTheRecordsServesAllTheSame guards against models that nobody can
// reach after a restart while the object API is away.
func TestProcessThatCannotReadTheRecordsServesAllTheSame(t *testing.T) {
	Convey("Given a process that starts", t, func() {
		f := newOriginFixture(t)
		o := f.start("a", olderVersion)
		So(o.MayBegin(olderVersion), ShouldBeFalse)
		So(o.storeNow, ShouldHaveLength, 1)
		Convey("streams may begin once its versions are stored", func() {
			saveAll(o)
			So(o.MayBegin(olderVersion), ShouldBeTrue)
			So(o.MayBegin(newerVersion), ShouldBeFalse)
		})
		Convey("or if the object API does not answer", func() {
			f.store.Refuse(http.StatusServiceUnavailable)
			So(o.save(context.Background()), ShouldBeFalse)
			So(o.MayBegin(olderVersion), ShouldBeTrue)
		})
	})
}

func TestOriginThatAnotherInstanceStoresSoonIsWaitedFor(t *testing.T) {
	Convey("A take-up that comes before the record of its stream finds it", t, func() {
		f := newOriginFixture(t)
		a, b := f.start("a", olderVersion, newerVersion), f.start("b", olderVersion, newerVersion)
		saveAll(b)
		stopped := rlbclock.Now()
		b.now = func() time.Time { return stopped } // the wait does not end by itself
		found := make(chan string)
		go func() {
			version, _ := b.Find(context.Background(), "llm", "x")
			found <- version
		}()
		calls := f.store.Calls()
		for f.store.Calls() == calls { // until b has read once
			time.Sleep(time.Millisecond)
		}
		a.Began("x", olderVersion, rlbclock.Now().Add(time.Minute))
		saveAll(a)
		So(<-found, ShouldEqual, "v1")
	})
}

func TestOriginsOfALargeFleetDoNotFloodTheObjectAPI(t *testing.T) {
	for _, instances := range []int{1, 6, 87, 195, 720} {
		Convey(fmt.Sprintf("%d instances together write at most every originStoreSpacing", instances), t, func() {
			o := newOriginFixture(t).start("i0")
			for n := 1; n < instances; n++ {
				o.app.fleet.ApplyDigest(rlbclock.Now(), rlbpeer.Digest{Name: fmt.Sprint("i", n), Domain: "x", Sequence: 1})
			}
			So(o.storeInterval(), ShouldBeGreaterThanOrEqualTo, originStoreInterval)
			So(o.storeInterval()/time.Duration(instances), ShouldBeGreaterThanOrEqualTo, originStoreSpacing)
		})
	}
}

// TestRouteThatMovesIsStored guards against streams joined from two software versions after the
// loss of all instances that have seen a config move their route to another service.
func TestRouteThatMovesIsStored(t *testing.T) {
	moved := rlborigin.Origin{Service: "talk-next", Version: "v2"}
	Convey("Given an instance that has seen a route move to a service with another version, and is lost", t, func() {
		f := newOriginFixture(t)
		a := f.start("a", olderVersion)
		a.observe()
		saveAll(a)
		a.Began("x", olderVersion, rlbclock.Now().Add(time.Minute))
		a.app.view.ApplyConfig([]byte(moved.Service), "test")
		a.Observe([]rlborigin.Origin{moved}, time.Minute)
		a.observe()
		saveAll(a)
		Convey("a process that has only seen the later config knows what may have begun before", func() {
			next := f.start("b", moved)
			_, verdict := next.Find(context.Background(), moved.Service, "unknown")
			So(verdict, ShouldEqual, rlborigin.Unknown)
			version, verdict := next.Find(context.Background(), moved.Service, "x")
			So(version, ShouldEqual, "v1")
			So(verdict, ShouldEqual, rlborigin.Known)
		})
	})
}

package rlbpeer

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestFleet(t *testing.T) {
	Convey("Given a fleet with one other instance of its domain and one other domain", t, func() {
		now := time.Unix(1000, 0)
		f := NewFleet("a", "x")
		f.ApplyDigest(now, Digest{
			Name: "b", Domain: "x", Address: "1.1.1.1:1", Incarnation: 1, Sequence: 5, LeaseHolder: &LeaseHolder{Name: "b", Fence: 3},
			Loads: map[uint32]Load{EndpointKey("e"): {InFlight: 2, UnreadTokens: 100}}, Demand: map[string]float32{"m": 1},
		})
		f.ApplySummary(now, Summary{
			Domain: "y", From: "c", Address: "1.1.1.2:1", Incarnation: 1, Sequence: 1, Members: 3,
			Loads: map[uint32]Load{EndpointKey("e"): {InFlight: 1, SlowPercent: 50}}, Demand: map[string]float32{"m": 2},
		})
		So(f.KnownInstances(now), ShouldEqual, 5)
		So(f.Load(now, EndpointKey("e")), ShouldResemble, rlbbalancer.Load{InFlight: 3, UnreadTokens: 100, SlowShare: 0.5})
		So(f.Demand(now), ShouldResemble, map[string]float64{"m": 3})
		So(f.IsDelegate(now, func(Digest) bool { return true }), ShouldBeTrue)
		Convey("an outdated digest, its own, or one of another domain changes nothing", func() {
			f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 4, LeaseHolder: &LeaseHolder{Fence: 9}})
			f.ApplyDigest(now, Digest{Name: "a", Domain: "x", Incarnation: 9, LeaseHolder: &LeaseHolder{Fence: 9}})
			f.ApplyDigest(now, Digest{Name: "c", Domain: "y", Incarnation: 9, LeaseHolder: &LeaseHolder{Fence: 9}})
			So(f.ApplySummary(now, Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1}), ShouldBeFalse)
			holder, live := f.LeaseHolder(now)
			So(live, ShouldBeTrue)
			So(holder.Fence, ShouldEqual, 3)
		})
		Convey("an incarnation with an earlier time of day replaces one that is no longer live", func() {
			f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 0, Sequence: 1, ConfigVersion: 9})
			So(f.LiveDigests(now)[0].ConfigVersion, ShouldEqual, 0)
			now = now.Add(2 * LivenessTimeout)
			f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 0, Sequence: 1, ConfigVersion: 9})
			So(f.LiveDigests(now)[0].ConfigVersion, ShouldEqual, 9)
		})
		Convey("a silent lease holder is not live, and one with a lower fencing number does not replace it", func() {
			now = now.Add(2 * LivenessTimeout)
			f.ApplyDigest(now, Digest{Name: "d", Domain: "x", Incarnation: 1, Sequence: 1, LeaseHolder: &LeaseHolder{Fence: 2}})
			_, live := f.LeaseHolder(now)
			So(live, ShouldBeFalse)
		})
		Convey("silent instances are known but not live, and the fleet counts as isolated", func() {
			now = now.Add(2 * delegateTimeout)
			So(f.LiveDigests(now), ShouldBeEmpty)
			So(f.LiveSummaries(now), ShouldBeEmpty)
			So(f.KnownInstances(now), ShouldEqual, 5)
			So(f.Isolated(now), ShouldBeTrue)
			now = now.Add(removalTimeout)
			So(f.KnownInstances(now), ShouldEqual, 1)
		})
		Convey("digests go to the own domain, summaries to the delegate of another", func() {
			f.AddAddress(now, "1.1.1.3:1", "y")
			own, others := f.Targets(now)
			So(own, ShouldResemble, []string{"1.1.1.1:1"})
			So(others, ShouldResemble, []string{"1.1.1.2:1"})
			_, others = f.Targets(now.Add(2 * delegateTimeout))
			So(others, ShouldHaveLength, 2)
		})
		Convey("a summary aggregates the digests of the domain", func() {
			s := f.Summarize(now, Digest{Name: "a", Domain: "x", ConfigVersion: 7, Loads: map[uint32]Load{EndpointKey("e"): {InFlight: 1}}, Demand: map[string]float32{"m": 4}})
			So(s.Members, ShouldEqual, 2)
			So(s.ConfigVersion, ShouldEqual, 7)
			So(s.LeaseHolder.Fence, ShouldEqual, 3)
			So(s.Loads[EndpointKey("e")], ShouldResemble, Load{InFlight: 3, UnreadTokens: 100})
			So(s.Demand["m"], ShouldEqual, 5)
		})
		Convey("the object API is unavailable to a domain only if it answers none of its instances", func() {
			own := Digest{Name: "a", Domain: "x", APIUnavailable: true}
			So(f.Summarize(now, own).APIUnavailable, ShouldBeTrue)
			So(f.APIAvailableInDomain(now), ShouldBeFalse)
			f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 6, APIAvailable: true})
			So(f.Summarize(now, own).APIUnavailable, ShouldBeFalse)
			So(f.APIAvailableInDomain(now), ShouldBeTrue)
		})
		Convey("the loads that the latest lease holder reported are kept", func() {
			h := &LeaseHolder{Name: "b", Fence: 3}
			h.AddLoadAges(now, []time.Time{now.Add(-time.Second)})
			f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 6, LeaseHolder: h})
			lastSeen, starts := f.HolderLoads(now.Add(time.Second))
			So(lastSeen, ShouldEqual, now)
			So(starts, ShouldResemble, []time.Time{now.Add(-time.Second)})
		})
	})
}

func TestLink(t *testing.T) {
	Convey("Queries reach another instance on loopback", t, func() {
		logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
		received := make(chan Query, 1)
		fleetA, fleetB := NewFleet("a", "x"), NewFleet("b", "x")
		a, closeA, err := NewLink(LinkOpts{
			Log: logger, Listen: "127.0.0.1:0", Fleet: fleetA, Now: time.Now, Handler: func(context.Context, Query) Reply { return Reply{} },
		})
		So(err, ShouldBeNil)
		defer closeA()
		b, closeB, err := NewLink(LinkOpts{Log: logger, Listen: "127.0.0.1:0", Fleet: fleetB, Now: time.Now, Handler: func(_ context.Context, q Query) Reply {
			received <- q
			return Reply{Endpoints: []string{"e1"}}
		}, Digest: func() Digest { return Digest{Name: "b", Domain: "x"} }, Changes: func() uint64 { return 0 }})
		So(err, ShouldBeNil)
		defer closeB()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go b.Run(ctx)
		got, err := a.Query(t.Context(), b.listener.Addr().String(), Query{Adapter: &AdapterQuery{Model: "m"}})
		So(err, ShouldBeNil)
		So(got.Endpoints, ShouldResemble, []string{"e1"})
		So((<-received).Adapter.Model, ShouldEqual, "m")
	})
}

func FuzzDigest(f *testing.F) {
	good, _ := msgpack.Marshal(&Digest{Name: "a", Loads: map[uint32]Load{1: {InFlight: 1}}})
	f.Add(good)
	f.Fuzz(func(_ *testing.T, packet []byte) {
		var d Digest
		if msgpack.Unmarshal(packet, &d) == nil {
			NewFleet("b", "x").ApplyDigest(time.Unix(0, 0), d)
		}
	})
}

// TestSummaryNamesTheFingerprintOfItsRevision guards against entries that are compared with those
// of another revision.
func TestSummaryNamesTheFingerprintOfItsRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		digests           []Digest
		revision, printed uint64
	}{
		"the newest one counts":                   {[]Digest{{EntryRevision: 5, Fingerprint: 50}, {EntryRevision: 9, Fingerprint: 90}, {EntryRevision: 7, Fingerprint: 70}}, 9, 90},
		"of an earlier build it is not known":     {[]Digest{{EntryRevision: 9}, {EntryRevision: 5, Fingerprint: 50}}, 9, 0},
		"of equal ones that of the watcher":       {[]Digest{{EntryRevision: 9, Fingerprint: 91}, {EntryRevision: 9, Fingerprint: 90, APIAvailable: true}, {EntryRevision: 9, Fingerprint: 92}}, 9, 90},
		"of equal ones without a watcher any one": {[]Digest{{EntryRevision: 9}, {EntryRevision: 9, Fingerprint: 90}}, 9, 90},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := NewFleet("own", "x")
			for i, d := range test.digests {
				d.Name, d.Domain, d.Address, d.Sequence = string(rune('a'+i)), "x", string(rune('a'+i))+":1", 1
				fleet.ApplyDigest(now, d)
			}
			got := fleet.Summarize(now, Digest{Name: "own", Domain: "x"})
			if got.EntryRevision != test.revision || got.Fingerprint != test.printed {
				t.Errorf("revision %d, fingerprint %d", got.EntryRevision, got.Fingerprint)
			}
		})
	}
}

package rlbpeer

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbpick"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestFleet(t *testing.T) {
	Convey("Given a fleet that heard of one instance of its domain and of another domain", t, func() {
		now := time.Unix(1000, 0)
		f := NewFleet("a", "x")
		f.Take(now, Digest{
			Name: "b", Domain: "x", Address: "1.1.1.1:1", Life: 1, Number: 5, Holder: &Holder{Name: "b", Fence: 3},
			Loads: map[uint32]Load{Key("e"): {InFlight: 2, Unread: 100}}, Demand: map[string]float32{"m": 1},
		})
		f.TakeSummary(now, Summary{
			Domain: "y", From: "c", Address: "1.1.1.2:1", Life: 1, Number: 1, Members: 3,
			Loads: map[uint32]Load{Key("e"): {InFlight: 1, Slow: 50}}, Demand: map[string]float32{"m": 2},
		})
		So(f.Known(now), ShouldEqual, 5)
		So(f.Load(now, Key("e")), ShouldResemble, rlbpick.Load{InFlight: 3, Unread: 100, Slow: 0.5})
		So(f.Demand(now), ShouldResemble, map[string]float64{"m": 3})
		So(f.First(now, func(Digest) bool { return true }), ShouldBeTrue)
		Convey("an older digest, its own, or one of another domain changes nothing", func() {
			f.Take(now, Digest{Name: "b", Domain: "x", Life: 1, Number: 4, Holder: &Holder{Fence: 9}})
			f.Take(now, Digest{Name: "a", Domain: "x", Life: 9, Holder: &Holder{Fence: 9}})
			f.Take(now, Digest{Name: "c", Domain: "y", Life: 9, Holder: &Holder{Fence: 9}})
			So(f.TakeSummary(now, Summary{Domain: "y", From: "c", Life: 1, Number: 1}), ShouldBeFalse)
			holder, heard := f.Holder(now)
			So(heard, ShouldBeTrue)
			So(holder.Fence, ShouldEqual, 3)
		})
		Convey("a start whose time of day is earlier replaces one that fell silent", func() {
			f.Take(now, Digest{Name: "b", Domain: "x", Life: 0, Number: 1, Config: 9})
			So(f.Live(now)[0].Config, ShouldEqual, 0)
			now = now.Add(2 * SilentAfter)
			f.Take(now, Digest{Name: "b", Domain: "x", Life: 0, Number: 1, Config: 9})
			So(f.Live(now)[0].Config, ShouldEqual, 9)
		})
		Convey("a holder that is silent is not heard of, one with a lower fence does not replace it", func() {
			now = now.Add(2 * SilentAfter)
			f.Take(now, Digest{Name: "d", Domain: "x", Life: 1, Number: 1, Holder: &Holder{Fence: 2}})
			_, heard := f.Holder(now)
			So(heard, ShouldBeFalse)
		})
		Convey("silent ones do not count as live, but as known, and their domain is looked for", func() {
			now = now.Add(2 * askAgain)
			So(f.Live(now), ShouldBeEmpty)
			So(f.Domains(now), ShouldBeEmpty)
			So(f.Known(now), ShouldEqual, 5)
			So(f.Alone(now), ShouldBeTrue)
			now = now.Add(forgetAfter)
			So(f.Known(now), ShouldEqual, 1)
		})
		Convey("digests go to the domain, summaries to the first instance of another", func() {
			f.Tell(now, "1.1.1.3:1", "y")
			own, others := f.Targets(now)
			So(own, ShouldResemble, []string{"1.1.1.1:1"})
			So(others, ShouldResemble, []string{"1.1.1.2:1"})
			_, others = f.Targets(now.Add(2 * askAgain))
			So(others, ShouldHaveLength, 2)
		})
		Convey("a domain is summed up", func() {
			s := f.Summarize(now, Digest{Name: "a", Domain: "x", Config: 7, Loads: map[uint32]Load{Key("e"): {InFlight: 1}}, Demand: map[string]float32{"m": 4}})
			So(s.Members, ShouldEqual, 2)
			So(s.Config, ShouldEqual, 7)
			So(s.Holder.Fence, ShouldEqual, 3)
			So(s.Loads[Key("e")], ShouldResemble, Load{InFlight: 3, Unread: 100})
			So(s.Demand["m"], ShouldEqual, 5)
		})
		Convey("a domain is lost only if the object API answers none of it", func() {
			own := Digest{Name: "a", Domain: "x", Lost: true}
			So(f.Summarize(now, own).Lost, ShouldBeTrue)
			So(f.Answered(now), ShouldBeFalse)
			f.Take(now, Digest{Name: "b", Domain: "x", Life: 1, Number: 6, Answered: true})
			So(f.Summarize(now, own).Lost, ShouldBeFalse)
			So(f.Answered(now), ShouldBeTrue)
		})
		Convey("the loads that the latest holder told of are remembered", func() {
			h := &Holder{Name: "b", Fence: 3}
			h.SetBegun(now, []time.Time{now.Add(-time.Second)})
			f.Take(now, Digest{Name: "b", Domain: "x", Life: 1, Number: 6, Holder: h})
			heard, begun := f.Begun(now.Add(time.Second))
			So(heard, ShouldEqual, now)
			So(begun, ShouldResemble, []time.Time{now.Add(-time.Second)})
		})
	})
}

func TestLink(t *testing.T) {
	Convey("Digests and questions reach another instance on loopback", t, func() {
		quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
		heard := make(chan Question, 1)
		here, there := NewFleet("a", "x"), NewFleet("b", "x")
		a, closeA, err := NewLink(LinkOpts{
			Log: quiet, Listen: "127.0.0.1:0", Fleet: here, Now: time.Now, Handler: func(context.Context, Question) Answer { return Answer{} },
		})
		So(err, ShouldBeNil)
		defer closeA()
		b, closeB, err := NewLink(LinkOpts{Log: quiet, Listen: "127.0.0.1:0", Fleet: there, Now: time.Now, Handler: func(_ context.Context, q Question) Answer {
			heard <- q
			return Answer{Endpoints: []string{"e1"}}
		}, Digest: func() Digest { return Digest{Name: "b", Domain: "x"} }, News: func() uint64 { return 0 }})
		So(err, ShouldBeNil)
		defer closeB()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go b.Run(ctx)
		got, err := a.Ask(t.Context(), b.calls.Addr().String(), Question{Adapter: &AdapterQuestion{Model: "m"}})
		So(err, ShouldBeNil)
		So(got.Endpoints, ShouldResemble, []string{"e1"})
		So((<-heard).Adapter.Model, ShouldEqual, "m")
	})
}

func FuzzDigest(f *testing.F) {
	good, _ := msgpack.Marshal(&Digest{Name: "a", Loads: map[uint32]Load{1: {InFlight: 1}}})
	f.Add(good)
	f.Fuzz(func(_ *testing.T, packet []byte) {
		var d Digest
		if msgpack.Unmarshal(packet, &d) == nil {
			NewFleet("b", "x").Take(time.Unix(0, 0), d)
		}
	})
}

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
	Convey("Given a fleet that heard of two others", t, func() {
		now := time.Unix(1000, 0)
		f := NewFleet("a")
		tell := func(d Digest) { f.Take(now, d) }
		tell(Digest{Name: "b", Address: "1.1.1.1:1", Life: 1, Number: 5, Fence: 3, Loads: map[uint32]Load{Key("e"): {InFlight: 2, Unread: 100}}})
		tell(Digest{Name: "c", Address: "1.1.1.2:1", Life: 1, Number: 1, Loads: map[uint32]Load{Key("e"): {InFlight: 1, Slow: 50}}})
		So(f.Known(now), ShouldEqual, 3)
		So(f.Load(now, Key("e")), ShouldResemble, rlbpick.Load{InFlight: 3, Unread: 100, Slow: 0.5})
		Convey("an older digest, or its own, changes nothing", func() {
			tell(Digest{Name: "b", Life: 1, Number: 4, Fence: 9})
			tell(Digest{Name: "a", Life: 9, Fence: 9})
			holder, heard := f.Holder(now)
			So(heard, ShouldBeTrue)
			So(holder.Name, ShouldEqual, "b")
			So(holder.Fence, ShouldEqual, 3)
		})
		Convey("a new life replaces the old one, whatever its number", func() {
			tell(Digest{Name: "b", Life: 2, Number: 1})
			_, heard := f.Holder(now)
			So(heard, ShouldBeFalse)
		})
		Convey("one that is silent does not count as live, but as known", func() {
			now = now.Add(2 * SilentAfter)
			So(f.Live(now), ShouldBeEmpty)
			So(f.Known(now), ShouldEqual, 3)
			now = now.Add(forgetAfter)
			So(f.Known(now), ShouldEqual, 1)
			So(f.Targets(now), ShouldBeEmpty)
		})
		Convey("the loads that the latest holder told of are remembered", func() {
			d := Digest{Name: "b", Life: 1, Number: 6, Fence: 3}
			d.SetBegun(now, []time.Time{now.Add(-time.Second)})
			tell(d)
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
		here, there := NewFleet("a"), NewFleet("b")
		a, closeA, err := NewLink(quiet, "127.0.0.1:0", here, time.Now, func(context.Context, Question) Answer { return Answer{} })
		So(err, ShouldBeNil)
		defer closeA()
		b, closeB, err := NewLink(quiet, "127.0.0.1:0", there, time.Now, func(_ context.Context, q Question) Answer {
			heard <- q
			return Answer{Endpoints: []string{"e1"}}
		})
		So(err, ShouldBeNil)
		defer closeB()
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
			NewFleet("b").Take(time.Unix(0, 0), d)
		}
	})
}

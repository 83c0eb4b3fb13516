package rlborigin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStreamWhoseRouteHasMovedIsNotTakenForOneOfTheNewService guards against streams joined
// from two software versions: after a config has moved a route, a stream that nobody remembers
// may have begun at the service before.
func TestStreamWhoseRouteHasMovedIsNotTakenForOneOfTheNewService(t *testing.T) {
	moved := Origin{"next", "v2"}
	Convey("Given an instance that has seen a route move to a service with another version", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		r.Observe([]Origin{older}, longest)
		r.Began("x", older, c.at.Add(2*longest))
		r.Moved("llm", "next", longest)
		r.Observe([]Origin{moved}, longest)
		shouldBeAt := func(r *Registry, service, version string, verdict Verdict) {
			gotVersion, gotVerdict := r.Check(service, "y")
			So(gotVersion, ShouldEqual, version)
			So(gotVerdict, ShouldEqual, verdict)
		}
		Convey("a stream that it does not remember may be of either, at both services", func() {
			shouldBeAt(r, "next", "", Unknown)
			shouldBeAt(r, "llm", "", Unknown)
			Convey("until those from before can no longer be taken up", func() {
				c.advance(2*longest - time.Millisecond)
				r.Observe([]Origin{moved}, longest)
				r.Expire()
				shouldBeAt(r, "next", "", Unknown)
				c.advance(time.Millisecond)
				r.Expire()
				shouldBeAt(r, "next", "v2", Known)
			})
		})
		Convey("so it may for one that has only read the record, which says where each began", func() {
			value, _ := recordOf(r)
			next := New(c.now)
			next.Observe([]Origin{moved}, longest)
			merge(next, firstEra, value)
			shouldBeAt(next, "next", "", Unknown)
			shouldBe(next, "x", "v1", Known)
			Convey("until those from before can no longer be taken up, also if it reads no record any more", func() {
				c.advance(2 * longest)
				next.Observe([]Origin{moved}, longest)
				So(next.joined("next"), ShouldResemble, []string{"next"})
			})
			Convey("until the record says otherwise", func() {
				c.advance(2 * longest)
				r.Observe([]Origin{moved}, longest)
				r.Expire()
				value, _ = recordOf(r)
				next.Observe([]Origin{moved}, longest)
				merge(next, firstEra, value)
				shouldBeAt(next, "next", "v2", Known)
			})
		})
		Convey("a new process of the instance stores the move again", func() {
			value, before := recordOf(r)
			next := New(c.now)
			So(next.Merge([]StoredRecord{{Value: value, Own: true}}, firstEra, longest), ShouldBeNil)
			_, after := recordOf(next)
			So(after, ShouldEqual, before)
		})
		Convey("moves in several steps count as well", func() {
			r.Moved("next", "last", longest)
			r.Observe([]Origin{{"last", "v1"}}, longest)
			shouldBeAt(r, "last", "", Unknown)
		})
		Convey("a service that no route has moved to is not concerned", func() {
			r.Observe([]Origin{{"apart", "v3"}}, longest)
			shouldBeAt(r, "apart", "v3", Known)
		})
	})
}

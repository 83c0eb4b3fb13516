package rlbroute

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFirstToken(t *testing.T) {
	const turn = 100 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	Convey("an endpoint that reads one prompt after the other", t, func() {
		e := NewEndpoint(EndpointOpts{ID: "e", Slots: 16})
		So(e.FirstToken(start), ShouldEqual, 0)
		e.Enter()
		e.Await(start)(start.Add(turn), true)
		So(e.FirstToken(start), ShouldEqual, turn)
		Convey("takes a turn for each request that waits", func() {
			for range 3 {
				e.Enter()
				defer e.Await(start)(start, false)
			}
			So(e.Awaited(), ShouldEqual, 3)
			So(e.FirstToken(start), ShouldEqual, 4*turn)
		})
		Convey("is judged the same by a request that came behind others", func() {
			e.Enter()
			e.Await(start)
			e.Enter()
			e.Await(start)(start.Add(2*turn), true)
			So(e.FirstToken(start), ShouldEqual, 2*turn) // one waits, and the next
		})
		Convey("counts other gateways' requests as far as this one's wait", func() {
			e.Report(11, nil, start) // ten of others
			So(e.FirstToken(start), ShouldEqual, 11*turn)
		})
		Convey("is not judged by an attempt that ended without a token, and only once by each", func() {
			e.Enter()
			done := e.Await(start)
			done(start.Add(time.Hour), false)
			done(start.Add(time.Hour), true)
			So(e.Awaited(), ShouldEqual, 0)
			So(e.FirstToken(start), ShouldEqual, turn)
		})
	})
}

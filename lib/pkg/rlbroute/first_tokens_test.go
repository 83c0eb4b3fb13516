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
		So(e.FirstTokenWait(start), ShouldEqual, 0)
		e.BeginRequest()
		e.AwaitFirstToken(start)(start.Add(turn), true)
		So(e.FirstTokenWait(start), ShouldEqual, turn)
		Convey("takes a turn for each request that waits", func() {
			for range 3 {
				e.BeginRequest()
				defer e.AwaitFirstToken(start)(start, false)
			}
			So(e.AwaitingFirstToken(), ShouldEqual, 3)
			So(e.FirstTokenWait(start), ShouldEqual, 4*turn)
		})
		Convey("is judged the same by a request that came behind others", func() {
			e.BeginRequest()
			e.AwaitFirstToken(start)
			e.BeginRequest()
			e.AwaitFirstToken(start)(start.Add(2*turn), true)
			So(e.FirstTokenWait(start), ShouldEqual, 2*turn) // one waits, and the next
		})
		Convey("counts other gateways' requests as far as this one's wait", func() {
			e.ApplyReport(11, nil, start) // ten of others
			So(e.FirstTokenWait(start), ShouldEqual, 11*turn)
		})
		Convey("is not judged by an attempt that ended without a token, and only once by each", func() {
			e.BeginRequest()
			done := e.AwaitFirstToken(start)
			done(start.Add(time.Hour), false)
			done(start.Add(time.Hour), true)
			So(e.AwaitingFirstToken(), ShouldEqual, 0)
			So(e.FirstTokenWait(start), ShouldEqual, turn)
		})
	})
}

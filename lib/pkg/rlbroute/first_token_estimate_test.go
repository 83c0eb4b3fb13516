package rlbroute

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFirstTokenWait(t *testing.T) {
	const perRequest = 100 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	Convey("an endpoint that prefills one prompt after the other", t, func() {
		e := NewEndpoint(EndpointOpts{ID: "e", Slots: 16})
		So(e.FirstTokenWait(start), ShouldEqual, 0)
		e.BeginRequest()
		e.AwaitFirstToken(start)(start.Add(perRequest), true)
		So(e.FirstTokenWait(start), ShouldEqual, perRequest)
		Convey("the wait grows with each waiting request", func() {
			for range 3 {
				e.BeginRequest()
				defer e.AwaitFirstToken(start)(start, false)
			}
			So(e.AwaitingFirstToken(), ShouldEqual, 3)
			So(e.FirstTokenWait(start), ShouldEqual, 4*perRequest)
		})
		Convey("a sample is divided by the requests that were ahead", func() {
			e.BeginRequest()
			e.AwaitFirstToken(start)
			e.BeginRequest()
			e.AwaitFirstToken(start)(start.Add(2*perRequest), true)
			So(e.FirstTokenWait(start), ShouldEqual, 2*perRequest) // one waiting request and the next one
		})
		Convey("requests of other gateways count with this gateway's share of waiting requests", func() {
			e.ApplyReport(11, nil, start) // ten of other gateways
			So(e.FirstTokenWait(start), ShouldEqual, 11*perRequest)
		})
		Convey("an attempt without a token adds no sample, and each attempt ends only once", func() {
			e.BeginRequest()
			done := e.AwaitFirstToken(start)
			done(start.Add(time.Hour), false)
			done(start.Add(time.Hour), true)
			So(e.AwaitingFirstToken(), ShouldEqual, 0)
			So(e.FirstTokenWait(start), ShouldEqual, perRequest)
		})
	})
}

package rlbpeer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDrainingEndpoints(t *testing.T) {
	Convey("Given another instance and another domain that each name an endpoint that drains, and one that both name", t, func() {
		now := time.Unix(1000, 0)
		f := NewFleet("a", "x")
		f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 1, DrainingEndpoints: []uint64{7, 3}})
		f.ApplySummary(now, Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1, DrainingEndpoints: []uint64{5, 7}})
		Convey("each is known once", func() {
			So(f.DrainingEndpoints(now), ShouldResemble, []uint64{3, 5, 7})
		})
		Convey("those of silent instances are not", func() {
			So(f.DrainingEndpoints(now.Add(2*LivenessTimeout)), ShouldBeEmpty)
		})
		Convey("the summary of the own domain names those of its instances", func() {
			So(f.Summarize(now, Digest{Name: "a", Domain: "x", DrainingEndpoints: []uint64{9}}).DrainingEndpoints, ShouldResemble, []uint64{3, 7, 9})
		})
	})
}

package rlbroute

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFetchLimit(t *testing.T) {
	take := func(limit, gateways int) (n int) {
		l := NewFetchLimit(limit)
		for n < 1000 && l.TryAcquire(gateways) {
			n++
		}
		return n
	}
	Convey("shares of all gateways stay within the limit, and none is left without", t, func() {
		So(take(64, 1), ShouldEqual, 64)
		So(3*take(64, 3), ShouldBeLessThanOrEqualTo, 64)
		So(take(64, 100), ShouldEqual, 1)
		So(take(64, 0), ShouldEqual, 64)
	})
	Convey("a fetch that is done makes way", t, func() {
		l := NewFetchLimit(1)
		So(l.TryAcquire(1), ShouldBeTrue)
		So(l.TryAcquire(1), ShouldBeFalse)
		l.Release()
		So(l.TryAcquire(1), ShouldBeTrue)
	})
}

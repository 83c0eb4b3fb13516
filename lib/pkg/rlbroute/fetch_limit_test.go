package rlbroute

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFetchLimit(t *testing.T) {
	acquire := func(limit, gateways int) (n int) {
		l := NewFetchLimit(limit)
		for n < 1000 && l.TryAcquire(gateways) {
			n++
		}
		return n
	}
	Convey("all shares together stay within the limit, and each is at least one", t, func() {
		So(acquire(64, 1), ShouldEqual, 64)
		So(3*acquire(64, 3), ShouldBeLessThanOrEqualTo, 64)
		So(acquire(64, 100), ShouldEqual, 1)
		So(acquire(64, 0), ShouldEqual, 64)
	})
	Convey("a released fetch can be acquired again", t, func() {
		l := NewFetchLimit(1)
		So(l.TryAcquire(1), ShouldBeTrue)
		So(l.TryAcquire(1), ShouldBeFalse)
		l.Release()
		So(l.TryAcquire(1), ShouldBeTrue)
	})
}

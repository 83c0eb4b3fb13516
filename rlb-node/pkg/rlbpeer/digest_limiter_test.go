package rlbpeer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDigestLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a digest that was sent", t, func() {
		l := &digestLimiter{}
		So(l.digestDue(now, 1), ShouldBeTrue)
		l.digestSent(now, digestBytesPerSecond/16)
		Convey("without a change of the load the next one is due after the period", func() {
			So(l.digestDue(now.Add(digestPeriod-1), 1), ShouldBeFalse)
			So(l.digestDue(now.Add(digestPeriod), 1), ShouldBeTrue)
		})
		Convey("a change of the load is published as soon as the byte limit allows", func() {
			So(l.digestDue(now.Add(time.Second/16-1), 2), ShouldBeFalse)
			So(l.digestDue(now.Add(time.Second/16), 2), ShouldBeTrue)
			So(l.digestDue(now.Add(time.Second/16), 2), ShouldBeFalse)
		})
		Convey("in a large domain a digest is sent once per period regardless of the byte limit", func() {
			l.digestSent(now, 10*digestBytesPerSecond)
			So(l.digestDue(now.Add(digestPeriod-1), 2), ShouldBeFalse)
			So(l.digestDue(now.Add(digestPeriod), 2), ShouldBeTrue)
		})
	})
	Convey("Summaries are sent once per period", t, func() {
		l := &digestLimiter{}
		So(l.summaryDue(now), ShouldBeTrue)
		So(l.summaryDue(now.Add(summaryPeriod-1)), ShouldBeFalse)
		So(l.summaryDue(now.Add(summaryPeriod)), ShouldBeTrue)
	})
}

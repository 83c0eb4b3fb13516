package rlbpeer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDigestLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a digest that was told", t, func() {
		p := &digestLimiter{}
		So(p.digestDue(now, 1), ShouldBeTrue)
		p.digestSent(now, digestBytesPerSecond/16)
		Convey("without news the next one is due after the period", func() {
			So(p.digestDue(now.Add(digestPeriod-1), 1), ShouldBeFalse)
			So(p.digestDue(now.Add(digestPeriod), 1), ShouldBeTrue)
		})
		Convey("news is told as soon as the bytes allow", func() {
			So(p.digestDue(now.Add(time.Second/16-1), 2), ShouldBeFalse)
			So(p.digestDue(now.Add(time.Second/16), 2), ShouldBeTrue)
			So(p.digestDue(now.Add(time.Second/16), 2), ShouldBeFalse)
		})
		Convey("a large domain is told once a period, whatever it costs", func() {
			p.digestSent(now, 10*digestBytesPerSecond)
			So(p.digestDue(now.Add(digestPeriod-1), 2), ShouldBeFalse)
			So(p.digestDue(now.Add(digestPeriod), 2), ShouldBeTrue)
		})
	})
	Convey("Summaries keep their period", t, func() {
		p := &digestLimiter{}
		So(p.summaryDue(now), ShouldBeTrue)
		So(p.summaryDue(now.Add(summaryPeriod-1)), ShouldBeFalse)
		So(p.summaryDue(now.Add(summaryPeriod)), ShouldBeTrue)
	})
}

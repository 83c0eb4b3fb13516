package rlbburn

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1_800_000_000, 0)

// recordSteadily records a count every ten seconds over the duration d before now.
func recordSteadily(r *Recorder, c Count, d time.Duration, now time.Time) {
	for at := now.Add(-d + bucketDuration); !at.After(now); at = at.Add(bucketDuration) {
		r.Add("m", c, at)
	}
}

func TestBurn(t *testing.T) {
	Convey("five missed requests in a hundred give a burn rate of 1", t, func() {
		So(Count{Good: 95, Late: 5}.BurnRate(), ShouldAlmostEqual, 1, 1e-9)
		So(Count{}.BurnRate(), ShouldEqual, 0)
		So(Count{Good: 1, Late: 2, Refused: 3}.MainCause(), ShouldEqual, CauseRefused)
	})
	Convey("a window counts the requests that ended within it, and old buckets are reused", t, func() {
		r := NewRecorder()
		recordSteadily(r, Count{Good: 1}, 7*time.Hour, start)
		So(r.Window("m", 5*time.Minute, start).Good, ShouldEqual, 30)
		So(r.Window("m", 6*time.Hour, start).Good, ShouldEqual, bucketCount)
		So(r.Window("m", 6*time.Hour, start.Add(3*time.Hour)).Good, ShouldEqual, bucketCount/2)
		So(r.Window("other", time.Hour, start), ShouldResemble, Count{})
	})
	Convey("an alert requires a high rate over both the long and the short window", t, func() {
		ongoing := NewRecorder()
		recordSteadily(ongoing, Count{Good: 6, Failed: 4}, time.Hour, start)
		pair, alert := ongoing.Reports(start)[0].Alert()
		So(alert, ShouldBeTrue)
		So(pair, ShouldResemble, FastBurn)
		past := NewRecorder()
		recordSteadily(past, Count{Good: 6, Failed: 4}, 50*time.Minute, start.Add(-40*time.Minute))
		recordSteadily(past, Count{Good: 10}, 40*time.Minute, start)
		_, alert = past.Reports(start)[0].Alert()
		So(alert, ShouldBeFalse)
		brief := NewRecorder()
		recordSteadily(brief, Count{Good: 10}, 6*time.Hour, start.Add(-3*time.Minute))
		recordSteadily(brief, Count{Good: 6, Failed: 4}, 3*time.Minute, start)
		_, alert = brief.Reports(start)[0].Alert()
		So(alert, ShouldBeFalse)
	})
	Convey("reports of several instances add up", t, func() {
		r := NewRecorder()
		recordSteadily(r, Count{Good: 1, Late: 1}, time.Minute, start)
		both := Sum(append(r.Reports(start), r.Reports(start)...))
		So(both, ShouldHaveLength, 1)
		So(both[0].Windows["5m0s"], ShouldResemble, Count{Good: 12, Late: 12})
		So(both[0].BudgetLeft(), ShouldAlmostEqual, -9, 1e-9)
	})
}

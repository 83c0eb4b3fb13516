package rlbleaving

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("For each bound", t, func() {
		for bound := 100 * time.Millisecond; bound <= 10*time.Second; bound += 100 * time.Millisecond {
			b := NewBudget(bound)
			Convey("the grace period of "+bound.String()+" leaves time to learn of a removal and to tell others", func() {
				grace := b.DropAt(now).Sub(now)
				So(grace, ShouldBeBetweenOrEqual, 0, RemovalGrace)
				So(grace == 0 || grace+BatchDelay+publishDelay < bound, ShouldBeTrue)
			})
			Convey("a removal that was missed with the watcher ends before "+bound.String(), func() {
				missed := now.Add(-BatchDelay - publishDelay)
				So(b.LatestDropAt(now), ShouldHappenBefore, missed.Add(bound))
			})
		}
	})
	Convey("A shorter bound brings an earlier hand-over, within limits", t, func() {
		So(NewBudget(DefaultBound).Silence(), ShouldBeLessThan, NewBudget(3*time.Second).Silence())
		So(NewBudget(time.Millisecond).Silence(), ShouldEqual, minSilence)
		So(NewBudget(time.Hour).Silence(), ShouldEqual, maxSilence)
	})
}

package rlbdiscovery

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRemovalsThatInstancesTellEachOther(t *testing.T) {
	Convey("Given an instance that knows of a removal and one that does not", t, func() {
		now := time.Unix(1000, 0)
		view := func() *View {
			v := New(quiet, startDecoder{}, func() time.Time { return now }, testSilence)
			v.ApplyList(startEntry(1, "5 ready"), 9, false)
			return v
		}
		knows, other := view(), view()
		knows.ApplyChanges([]rlbobject.Object{deleted("a", 10)}, false)
		tell := func(from, to *View) {
			_, removed := from.Leavings()
			to.ApplyRemoved(removed, "test")
		}
		shouldUse := func(v *View, want bool) {
			v.DropRemoved()
			So(v.Snapshot().ByID["a"] != nil, ShouldEqual, want)
		}
		Convey("the grace period ends at both at the same time, however late the other is told", func() {
			now = now.Add(removalGrace - time.Millisecond)
			tell(knows, other)
			shouldUse(other, true)
			now = now.Add(time.Millisecond)
			shouldUse(knows, false)
			shouldUse(other, false)
		})
		Convey("the other tells it on, also after the grace period", func() {
			now = now.Add(removalGrace + time.Millisecond)
			tell(knows, other)
			third := view()
			tell(other, third)
			shouldUse(third, false)
		})
		Convey("telling each other does not go on for ever", func() {
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				tell(knows, other)
				tell(other, knows)
			}
			_, removed := knows.Leavings()
			So(removed, ShouldBeEmpty)
		})
		Convey("an entry that came back is not dropped by it, and its removal is told no more", func() {
			tell(knows, other)
			knows.ApplyChanges(startEntry(11, "5 ready"), false)
			other.ApplyChanges(startEntry(11, "5 ready"), false)
			tell(knows, other)
			now = now.Add(time.Minute)
			shouldUse(knows, true)
			shouldUse(other, true)
		})
		Convey("an entry that lapsed in an outage keeps its longer grace period", func() {
			other.ApplyChanges([]rlbobject.Object{deleted("a", 10)}, true)
			tell(knows, other)
			now = now.Add(removalGrace)
			shouldUse(other, true)
			now = now.Add(outageGrace - removalGrace)
			shouldUse(other, false)
		})
		Convey("the other still catches up with the removal, and passes it on", func() {
			tell(knows, other)
			now = now.Add(removalGrace)
			shouldUse(other, false)
			So(other.Revision(), ShouldEqual, rlbobject.Version(1))
			other.ApplyChanges(knows.ChangesSince(0, other.Revision()).Entries, false)
			So(other.Revision(), ShouldEqual, rlbobject.Version(10))
			So(other.ChangesSince(0, 1).Entries, ShouldHaveLength, 1)
		})
	})
}

func TestTakingOverFromAWatcherThatWasLost(t *testing.T) {
	Convey("Given an entry that was removed and one that lapsed in an outage, as an instance takes over", t, func() {
		start := time.Unix(1000, 0)
		now := start
		v := New(quiet, plainDecoder{}, func() time.Time { return now }, testSilence)
		v.ApplyList([]rlbobject.Object{ready("a", 1), ready("b", 2)}, 9, false)
		now = now.Add(v.Budget().Silence())
		v.ApplyChanges([]rlbobject.Object{deleted("b", 10)}, true)
		v.ApplyChanges([]rlbobject.Object{deleted("a", 11)}, false)
		Convey("the first ends by the bound from the latest message of the lost watcher, the other does not", func() {
			v.LimitGraces(start)
			now = v.Budget().LatestDropAt(start)
			So(now, ShouldHappenBefore, start.Add(v.Budget().Bound()))
			v.DropRemoved()
			So(v.Snapshot().ByID["a"], ShouldBeNil)
			So(v.Snapshot().ByID["b"], ShouldNotBeNil)
		})
		Convey("a message of just now changes nothing", func() {
			v.LimitGraces(now)
			now = now.Add(removalGrace - time.Millisecond)
			v.DropRemoved()
			So(v.Snapshot().ByID["a"], ShouldNotBeNil)
		})
	})
}

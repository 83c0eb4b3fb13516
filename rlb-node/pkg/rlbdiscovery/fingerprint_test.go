package rlbdiscovery

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

// TestListOfSeveralPagesIsNotComparedBeforeItsChanges guards against live endpoints that are
// dropped: an entry that was written between two pages of a list is missing from the view of the
// instance that read it, though that has newer ones.
func TestListOfSeveralPagesIsNotComparedBeforeItsChanges(t *testing.T) {
	Convey("Given a list whose second page has an entry that is newer than the list", t, func() {
		quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
		view := New(quiet, plainDecoder{}, time.Now, time.Second)
		view.ApplyList([]rlbobject.Object{ready("a", 3), ready("z", 9)}, 5, false)
		Convey("others do not compare theirs with it", func() {
			printed, _ := view.Fingerprint()
			So(printed, ShouldEqual, 0)
			_, revision := view.Known()
			So(revision, ShouldEqual, rlbobject.Version(0))
		})
		Convey("until the changes since the list are read", func() {
			view.ApplyChanges([]rlbobject.Object{ready("b", 7)}, false)
			printed, _ := view.Fingerprint()
			So(printed, ShouldNotEqual, 0)
			known, revision := view.Known()
			So(known, ShouldContainKey, "b")
			So(revision, ShouldEqual, rlbobject.Version(9))
		})
		Convey("or another list", func() {
			view.ApplyList([]rlbobject.Object{ready("a", 3), ready("b", 7), ready("z", 9)}, 9, false)
			printed, _ := view.Fingerprint()
			So(printed, ShouldNotEqual, 0)
		})
	})
}

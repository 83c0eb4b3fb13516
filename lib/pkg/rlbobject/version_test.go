package rlbobject

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newVersion(era, revision uint64) Version {
	v, err := NewVersion(era, revision)
	So(err, ShouldBeNil)
	return v
}

func TestVersion(t *testing.T) {
	Convey("A version of a later era is newer, whatever its revision", t, func() {
		So(newVersion(2, 0), ShouldBeGreaterThan, newVersion(1, maxRevision))
		So(newVersion(2, 7), ShouldBeGreaterThan, newVersion(2, 6))
	})
	Convey("A version has the era and the revision that it was made of", t, func() {
		v := newVersion(maxEra, maxRevision)
		So(v.Era(), ShouldEqual, maxEra)
		So(v.Revision(), ShouldEqual, maxRevision)
		So(uint64(v), ShouldBeLessThan, uint64(1)<<53)
	})
	Convey("A version without revision does not exist", t, func() {
		So(newVersion(3, 0).Exists(), ShouldBeFalse)
		So(newVersion(3, 1).Exists(), ShouldBeTrue)
	})
	Convey("An era or a revision that is out of range is an error", t, func() {
		_, err := NewVersion(maxEra+1, 1)
		So(Is(err, KindInvalid), ShouldBeTrue)
		_, err = NewVersion(1, maxRevision+1)
		So(Is(err, KindInvalid), ShouldBeTrue)
	})
	Convey("The text names the era only if there is one", t, func() {
		So(newVersion(0, 17).String(), ShouldEqual, "17")
		So(newVersion(2, 17).String(), ShouldEqual, "2/17")
	})
}

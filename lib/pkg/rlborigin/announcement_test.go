package rlborigin

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStreamsAreKnownElsewhereBeforeASecondVersionServes guards against streams that cannot
// go on because their instance was lost as a second software version joined: nobody else had
// a record of them, as none was needed before.
func TestStreamsAreKnownElsewhereBeforeASecondVersionServes(t *testing.T) {
	Convey("Given an instance that relays a stream while one version serves, and another that hears of it", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r, other := newRegistry(c), newRegistry(c)
		for _, instance := range []*Registry{r, other} {
			instance.Observe([]Origin{older}, longest)
		}
		r.Began("x", older, c.at.Add(longest))
		other.Learn(r.Announcements(), longest)
		Convey("the other knows it once a second version serves, for as long as a request lasts", func() {
			other.Observe([]Origin{newer}, longest)
			shouldBe(other, "x", "v1", Known)
			shouldBe(other, "y", "", Unknown)
			c.advance(longest)
			other.Expire()
			_, known := other.Lookup("x")
			So(known, ShouldBeFalse)
		})
		Convey("the other does not store it as its own", func() {
			other.Observe([]Origin{newer}, longest)
			value, _ := recordOf(other)
			So(string(value), ShouldNotContainSubstring, "streams")
		})
	})
}

func TestAnnouncements(t *testing.T) {
	Convey("Given an instance that relays streams", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		r.Began("x", older, c.at.Add(longest))
		Convey("a stream is announced again for a while, as messages may be lost", func() {
			c.advance(announceFor - time.Millisecond)
			So(r.Announcements(), ShouldResemble, []Announcement{{older, []uint64{keyOf("x")}}})
			c.advance(time.Millisecond)
			So(r.Announcements(), ShouldBeEmpty)
		})
		Convey("each one that begins is a change to publish", func() {
			before := r.BegunCount()
			r.Began("y", newer, c.at.Add(longest))
			So(r.BegunCount(), ShouldEqual, before+1)
			So(r.Announcements(), ShouldHaveLength, 2)
		})
		Convey("the latest of many are announced", func() {
			for n := range maxAnnounced {
				r.Began(strconv.Itoa(n), older, c.at.Add(longest))
			}
			announced := r.Announcements()[0].Streams
			So(announced, ShouldHaveLength, maxAnnounced)
			So(announced, ShouldNotContain, keyOf("x"))
		})
		Convey("those of others leave room for those of this instance", func() {
			var many Announcement
			for n := range uint64(maxStreams) {
				many.Streams = append(many.Streams, n)
			}
			r.Learn([]Announcement{many}, longest)
			So(len(r.streams), ShouldBeLessThanOrEqualTo, maxLearned)
			r.Began("own", older, c.at.Add(longest))
			shouldBe(r, "own", "v1", Known)
		})
	})
}

package rlborigin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const longest = 15 * time.Second

var (
	older = Origin{"llm", "v1"}
	newer = Origin{"llm", "v2"}
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// newRegistry returns the registry of a process that knows what was stored before its start.
func newRegistry(c *clock) *Registry {
	r := New(c.now)
	r.MarkComplete()
	return r
}

func shouldBe(r *Registry, request, version string, verdict Verdict) {
	gotVersion, gotVerdict := r.Check("llm", request)
	So(gotVersion, ShouldEqual, version)
	So(gotVerdict, ShouldEqual, verdict)
}

func recordOf(r *Registry) ([]byte, uint64) {
	value, fingerprint, err := r.Record()
	So(err, ShouldBeNil)
	return value, fingerprint
}

func TestCheck(t *testing.T) {
	Convey("Given a registry", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		r.Observe([]Origin{older, {"plain", "v7"}}, longest)
		Convey("a stream of a service with one version began there", func() {
			shouldBe(r, "x", "v1", Known)
			_, verdict := r.Check("none", "x")
			So(verdict, ShouldEqual, Any)
		})
		Convey("a stream that began here has its version, of its own service only, until its deadline", func() {
			r.Began("x", older, c.at.Add(longest))
			r.Observe([]Origin{newer}, longest)
			shouldBe(r, "x", "v1", Known)
			shouldBe(r, "y", "", Unknown)
			version, _ := r.Check("plain", "x")
			So(version, ShouldEqual, "v7")
			c.advance(longest)
			r.Expire()
			shouldBe(r, "x", "", Any)
		})
		Convey("a version that left counts until the last of its streams has ended", func() {
			r.Observe([]Origin{newer}, longest)
			c.advance(longest - time.Millisecond)
			r.Observe([]Origin{newer}, longest)
			shouldBe(r, "y", "", Unknown)
			c.advance(time.Millisecond)
			shouldBe(r, "y", "v2", Known)
		})
		Convey("a stream that was relayed to its end is known for a little longer", func() {
			r.Began("x", older, c.at.Add(longest))
			r.Ended("x")
			r.Expire()
			shouldBe(r, "x", "v1", Known)
			c.advance(endedTTL)
			r.Expire()
			r.Observe([]Origin{newer}, longest)
			shouldBe(r, "x", "", Unknown)
		})
	})
}

func TestRecord(t *testing.T) {
	Convey("Given an instance that relays a stream of each of two versions", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		r.Observe([]Origin{older}, longest)
		r.Began("x", older, c.at.Add(longest))
		_, alone := recordOf(r)
		r.Began("y", older, c.at.Add(longest))
		_, stillAlone := recordOf(r)
		So(stillAlone, ShouldEqual, alone)
		r.Observe([]Origin{newer}, longest)
		r.Began("z", newer, c.at.Add(longest))
		value, mixed := recordOf(r)
		So(mixed, ShouldNotEqual, alone)
		Convey("a new process knows both, and that others may be of either version", func() {
			next := New(c.now)
			next.Observe([]Origin{newer}, longest)
			shouldBe(next, "x", "", Unknown)
			So(next.Merge(value, true, longest), ShouldBeNil)
			next.MarkComplete()
			shouldBe(next, "x", "v1", Known)
			shouldBe(next, "z", "v2", Known)
			shouldBe(next, "unknown", "", Unknown)
			Convey("and stores what its predecessor knew", func() {
				_, again := recordOf(next)
				So(again, ShouldEqual, mixed)
			})
		})
		Convey("versions in the records of others count only for a process that starts", func() {
			c.advance(2 * longest)
			r.Observe([]Origin{newer}, longest)
			So(r.Merge(value, false, longest), ShouldBeNil)
			shouldBe(r, "unknown", "v2", Known)
		})
		Convey("time alone does not change the number, the end of a stream does", func() {
			c.advance(time.Second)
			_, later := recordOf(r)
			So(later, ShouldEqual, mixed)
			r.Ended("z")
			c.advance(endedTTL)
			_, ended := recordOf(r)
			So(ended, ShouldNotEqual, mixed)
		})
	})
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"service":"llm","version":"v1","streams":[[18446744073709551615,18446744073709551615],[1]]},{}]`))
	f.Add([]byte(`[{"streams":[[1e40,-1]]}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		c := &clock{time.Unix(1000, 0)}
		r := New(c.now)
		_ = r.Merge(value, true, longest)
		r.MarkComplete()
		c.advance(25 * time.Hour)
		r.Expire()
		if len(r.streams) > 0 {
			t.Errorf("%d streams are kept for more than a day", len(r.streams))
		}
	})
}

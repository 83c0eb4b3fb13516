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

const firstEra = 1

// newRegistry returns the registry of a process that has read that no other has stored
// anything.
func newRegistry(c *clock) *Registry {
	r := New(c.now)
	merge(r, firstEra)
	return r
}

// merge merges what other instances have stored.
func merge(r *Registry, era uint64, values ...[]byte) {
	var records []StoredRecord
	for _, value := range values {
		records = append(records, StoredRecord{Value: value})
	}
	So(r.Merge(records, era, longest), ShouldBeNil)
}

func shouldBe(r *Registry, request, version string, verdict Verdict) {
	gotVersion, gotVerdict := r.Check("llm", request)
	So(gotVersion, ShouldEqual, version)
	So(gotVerdict, ShouldEqual, verdict)
}

func recordOf(r *Registry) ([]byte, uint64) {
	record, err := r.Record(firstEra)
	So(err, ShouldBeNil)
	return record.Value, record.Fingerprint
}

func TestCheck(t *testing.T) {
	Convey("Given a registry", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		r.Observe([]Origin{older, {"plain", "v7"}}, longest)
		Convey("a stream of a service with one version began there", func() {
			shouldBe(r, "x", "v1", Known)
			_, verdict := r.Check("none", "x")
			So(verdict, ShouldEqual, Unknown)
		})
		Convey("a stream that began here has its version, whatever service its route names, until its deadline", func() {
			r.Began("x", older, c.at.Add(longest))
			r.Observe([]Origin{newer}, longest)
			shouldBe(r, "x", "v1", Known)
			shouldBe(r, "y", "", Unknown)
			version, verdict := r.Check("plain", "x")
			So(version, ShouldEqual, "v1")
			So(verdict, ShouldEqual, Known)
			version, _ = r.Check("plain", "y")
			So(version, ShouldEqual, "v7")
			c.advance(longest)
			r.Expire()
			shouldBe(r, "x", "", Unknown)
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
			So(next.Merge([]StoredRecord{{Value: value, Own: true}}, firstEra, longest), ShouldBeNil)
			shouldBe(next, "x", "v1", Known)
			shouldBe(next, "z", "v2", Known)
			shouldBe(next, "unknown", "", Unknown)
			Convey("and stores what its predecessor knew", func() {
				_, again := recordOf(next)
				So(again, ShouldEqual, mixed)
			})
		})
		Convey("versions in the records of others count for as long as these are stored", func() {
			c.advance(2 * longest)
			r.Observe([]Origin{newer}, longest)
			merge(r, firstEra, value)
			shouldBe(r, "unknown", "", Unknown)
			c.advance(2 * longest)
			r.Observe([]Origin{newer}, longest)
			shouldBe(r, "unknown", "", Unknown)
			merge(r, firstEra)
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

// TestVersionThatOthersHaveStoredIsNotTakenForAbsent guards against streams joined from two
// software versions at an instance that has not heard of one of them.
func TestVersionThatOthersHaveStoredIsNotTakenForAbsent(t *testing.T) {
	Convey("Given an instance that has only heard of one version", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := New(c.now)
		r.Observe([]Origin{older}, longest)
		other := newRegistry(c)
		other.Observe([]Origin{newer}, longest)
		value, _ := recordOf(other)
		Convey("a stream that it does not remember is of an unknown version until records are read", func() {
			shouldBe(r, "x", "", Unknown)
			merge(r, firstEra)
			shouldBe(r, "x", "v1", Known)
		})
		Convey("a version in the record of another counts", func() {
			merge(r, firstEra, value)
			shouldBe(r, "x", "", Unknown)
		})
		Convey("a record that cannot be read may contain any version", func() {
			So(r.Merge([]StoredRecord{{}}, firstEra, longest), ShouldNotBeNil)
			shouldBe(r, "x", "", Unknown)
		})
		Convey("a record from before a restore may lack what was stored last, until its streams have ended", func() {
			alone := newRegistry(c)
			alone.Observe([]Origin{older}, longest)
			before, _ := recordOf(alone)
			merge(r, firstEra+1, before)
			shouldBe(r, "x", "", Unknown)
			again, err := alone.Record(firstEra + 1)
			So(err, ShouldBeNil)
			merge(r, firstEra+1, again.Value)
			shouldBe(r, "x", "v1", Known)
			c.advance(longest)
			r.Observe([]Origin{older}, longest)
			merge(r, firstEra+1, before)
			shouldBe(r, "x", "v1", Known)
		})
	})
}

// TestStreamsBeginOnlyAtStoredVersions guards against a version that no other instance can
// learn of after the loss of the one that began streams there.
func TestStreamsBeginOnlyAtStoredVersions(t *testing.T) {
	mayBegin := func(r *Registry, atOlder, atNewer bool) {
		So(r.MayBegin(older), ShouldEqual, atOlder)
		So(r.MayBegin(newer), ShouldEqual, atNewer)
	}
	Convey("Given an instance that has stored one version and then observes another", t, func() {
		c := &clock{time.Unix(1000, 0)}
		r := newRegistry(c)
		store := func() Record {
			record, err := r.Record(firstEra)
			So(err, ShouldBeNil)
			r.Storing(record)
			return record
		}
		r.Observe([]Origin{older}, longest)
		mayBegin(r, false, false)
		r.Stored(store())
		r.Observe([]Origin{newer}, longest)
		mayBegin(r, true, false)
		Convey("streams begin there once the record with it is stored", func() {
			record := store()
			mayBegin(r, true, false)
			r.Stored(record)
			mayBegin(r, true, true)
		})
		Convey("none begin at a version that a write may have removed", func() {
			c.advance(longest)
			r.Observe([]Origin{newer}, longest)
			record := store()
			mayBegin(r, false, false)
			r.Stored(record)
			mayBegin(r, false, true)
		})
		Convey("a new process may begin streams at what its predecessor has stored, not others", func() {
			value, _ := recordOf(r)
			next := New(c.now)
			So(next.Merge([]StoredRecord{{Value: value, Own: true}}, firstEra, longest), ShouldBeNil)
			mayBegin(next, true, true)
			other := New(c.now)
			merge(other, firstEra, value)
			mayBegin(other, false, false)
		})
	})
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"service":"llm","version":"v1","streams":[[18446744073709551615,18446744073709551615],[1]]},{}]`))
	f.Add([]byte(`[{"streams":[[1e40,-1]]}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		c := &clock{time.Unix(1000, 0)}
		r := New(c.now)
		_ = r.Merge([]StoredRecord{{Value: value, Own: true}}, firstEra, longest)
		c.advance(25 * time.Hour)
		r.Expire()
		if len(r.streams) > 0 {
			t.Errorf("%d streams are kept for more than a day", len(r.streams))
		}
	})
}

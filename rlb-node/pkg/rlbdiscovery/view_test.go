package rlbdiscovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbleaving"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

const removalGrace = rlbleaving.RemovalGrace

var quiet = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

// plainDecoder decodes a number as a config, and "ready" or "leaving" as an endpoint.
type plainDecoder struct{}

func (plainDecoder) Config(value []byte) (*rlbdeployment.Config, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return rlbdeployment.NewConfig(version, nil, nil, rlbdeployment.Limits{}), nil
}

func (plainDecoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	switch string(value) {
	case `"ready"`, `"leaving"`:
		return &rlbdeployment.Endpoint{ID: id, Service: "s", Draining: string(value) == `"leaving"`}, nil
	default:
		return nil, errors.New("not an endpoint entry")
	}
}

func ready(id string, version int) rlbobject.Object {
	return rlbobject.Object{Name: id, Version: rlbobject.Version(version), Value: []byte(`"ready"`)}
}

func deleted(id string, version int) rlbobject.Object {
	return rlbobject.Object{Name: id, Version: rlbobject.Version(version), Deleted: true}
}

func TestView(t *testing.T) {
	Convey("Given a view of two endpoints and a config", t, func() {
		now := time.Unix(1000, 0)
		v := New(quiet, plainDecoder{}, func() time.Time { return now }, testSilence)
		v.ApplyConfig([]byte("7"), "test")
		v.ApplyList([]rlbobject.Object{ready("a", 1), ready("b", 2)}, 9, false)
		state := func() string {
			s := v.Snapshot()
			_, a := s.ByID["a"]
			_, b := s.ByID["b"]
			return fmt.Sprintf("%d %t %t", s.Config.Version, a, b)
		}
		So(state(), ShouldEqual, "7 true true")
		Convey("a config that cannot be decoded is logged once, however often it arrives", func() {
			logged := &memory.Handler{}
			v.log = &log.Logger{Handler: logged, Level: log.InfoLevel}
			for _, value := range []string{"{", "{", "[", "[", "12"} {
				v.ApplyConfig([]byte(value), "test")
			}
			So(len(logged.Entries), ShouldEqual, 3)
			So(state(), ShouldEqual, "12 true true")
		})
		Convey("an older config or one that cannot be decoded changes nothing", func() {
			v.ApplyConfig([]byte("6"), "test")
			v.ApplyConfig([]byte("{"), "test")
			So(state(), ShouldEqual, "7 true true")
			v.ApplyConfig([]byte("12"), "test")
			So(state(), ShouldEqual, "12 true true")
		})
		Convey("ChangesSince returns newer entries and the compressed config if it is newer", func() {
			changes := v.ChangesSince(6, 1)
			value, err := Decompress(changes.Config)
			So(err, ShouldBeNil)
			So(string(value), ShouldEqual, "7")
			So(changes.Entries, ShouldHaveLength, 1)
			So(v.ChangesSince(7, 2).Config, ShouldBeEmpty)
			_, err = Decompress([]byte("no stream"))
			So(err, ShouldNotBeNil)
		})
		Convey("an older entry changes nothing", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`"leaving"`)}, ready("a", 4)}, false)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		})
		Convey("an entry that cannot be decoded removes its endpoint only", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`{`)}}, false)
			So(state(), ShouldEqual, "7 false true")
		})
		Convey("the endpoint of a removed entry stays for a grace period shorter than the time it may still get requests", func() {
			v.ApplyChanges([]rlbobject.Object{deleted("a", 5)}, false)
			v.Sweep()
			So(state(), ShouldEqual, "7 true true")
			Convey("and for good if the entry comes back", func() {
				v.ApplyChanges([]rlbobject.Object{ready("a", 6)}, false)
				now = now.Add(time.Minute)
				v.Sweep()
				So(state(), ShouldEqual, "7 true true")
			})
			Convey("and is dropped at its end otherwise", func() {
				now = now.Add(removalGrace)
				v.Sweep()
				So(state(), ShouldEqual, "7 false true")
			})
		})
		Convey("a list that is older than an entry does not remove its endpoint", func() {
			v.ApplyChanges([]rlbobject.Object{ready("c", 20)}, false)
			v.ApplyList([]rlbobject.Object{ready("a", 1), ready("b", 2)}, 15, false)
			now = now.Add(time.Minute)
			v.Sweep()
			So(v.Snapshot().ByID["c"], ShouldNotBeNil)
		})
		Convey("after an outage the grace period is longer", func() {
			v.ApplyList([]rlbobject.Object{ready("b", 2)}, 9, true)
			now = now.Add(removalGrace)
			v.Sweep()
			So(state(), ShouldEqual, "7 true true")
			now = now.Add(outageGrace)
			v.Sweep()
			So(state(), ShouldEqual, "7 false true")
		})
		Convey("a draining endpoint is dropped at once when its entry is removed", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`"leaving"`)}, deleted("a", 6)}, false)
			So(state(), ShouldEqual, "7 false true")
		})
	})
}

// startDecoder decodes "START STATE" as the entry of an endpoint that started at START.
type startDecoder struct{ plainDecoder }

func (startDecoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	var startedAt int64
	var state string
	if _, err := fmt.Sscan(string(value), &startedAt, &state); err != nil {
		return nil, err
	}
	return &rlbdeployment.Endpoint{ID: id, Service: "s", StartedAt: time.UnixMilli(startedAt), Draining: state == "leaving"}, nil
}

func startEntry(version int, value string) []rlbobject.Object {
	return []rlbobject.Object{{Name: "a", Version: rlbobject.Version(version), Value: []byte(value)}}
}

func TestIncarnationThatStatedThatItDrains(t *testing.T) {
	Convey("Given an endpoint that stated in an answer that it drains", t, func() {
		now := time.Unix(1000, 0)
		v := New(quiet, startDecoder{}, func() time.Time { return now }, testSilence)
		v.ApplyList(startEntry(1, "5 ready"), 9, false)
		So(v.MarkDraining(v.Snapshot().ByID["a"], "test"), ShouldBeTrue)
		So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		So(v.MarkedDraining(), ShouldResemble, []uint64{v.Snapshot().ByID["a"].IncarnationKey()})
		Convey("a second statement is not new", func() {
			So(v.MarkDraining(v.Snapshot().ByID["a"], "test"), ShouldBeFalse)
		})
		Convey("a newer entry that says ready does not end it", func() {
			v.ApplyChanges(startEntry(10, "5 ready"), false)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		})
		Convey("nor does an entry that lapses and comes back", func() {
			v.ApplyChanges([]rlbobject.Object{deleted("a", 10)}, true)
			v.Sweep()
			now = now.Add(5 * time.Minute)
			v.ApplyChanges(startEntry(11, "5 ready"), false)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		})
		Convey("the next incarnation takes requests again", func() {
			v.ApplyChanges(startEntry(10, "6 ready"), false)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeFalse)
			So(v.MarkedDraining(), ShouldBeEmpty)
		})
		Convey("other instances are told until the entry says so itself", func() {
			v.ApplyChanges(startEntry(10, "5 leaving"), false)
			So(v.MarkedDraining(), ShouldBeEmpty)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		})
		Convey("it is forgotten some time after the entry has gone", func() {
			v.ApplyChanges([]rlbobject.Object{deleted("a", 10)}, false)
			now = now.Add(drainingTTL + time.Second)
			v.Sweep()
			So(v.draining, ShouldBeEmpty)
		})
	})
	Convey("A statement that another instance passed on counts before the entry is known", t, func() {
		v := New(quiet, startDecoder{}, time.Now, testSilence)
		e := rlbdeployment.Endpoint{ID: "a", StartedAt: time.UnixMilli(5)}
		v.MarkDrainingIncarnations([]uint64{e.IncarnationKey()}, "test")
		v.ApplyList(startEntry(1, "5 ready"), 9, false)
		So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
	})
}

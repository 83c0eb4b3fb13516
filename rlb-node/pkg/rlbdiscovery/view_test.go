package rlbdiscovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

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
		v := New(quiet, plainDecoder{}, func() time.Time { return now })
		v.ApplyConfig([]byte("7"), "test")
		v.ApplyList([]rlbobject.Object{ready("a", 1), ready("b", 2)}, 9, false)
		state := func() string {
			s := v.Snapshot()
			_, a := s.ByID["a"]
			_, b := s.ByID["b"]
			return fmt.Sprintf("%d %t %t", s.Config.Version, a, b)
		}
		So(state(), ShouldEqual, "7 true true")
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

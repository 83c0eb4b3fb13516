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

// plain decodes a number as a config, and "ready" or "leaving" as an endpoint.
type plain struct{}

func (plain) Config(value []byte) (*rlbdeployment.Config, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return rlbdeployment.NewConfig(version, nil, nil, rlbdeployment.Limits{}), nil
}

func (plain) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	switch string(value) {
	case `"ready"`, `"leaving"`:
		return &rlbdeployment.Endpoint{ID: id, Service: "s", Draining: string(value) == `"leaving"`}, nil
	default:
		return nil, errors.New("another writer's entry")
	}
}

func ready(id string, version int) rlbobject.Object {
	return rlbobject.Object{Name: id, Version: rlbobject.Version(version), Value: []byte(`"ready"`)}
}

func gone(id string, version int) rlbobject.Object {
	return rlbobject.Object{Name: id, Version: rlbobject.Version(version), Deleted: true}
}

func TestView(t *testing.T) {
	Convey("Given a view of two endpoints and a config", t, func() {
		now := time.Unix(1000, 0)
		v := New(quiet, plain{}, func() time.Time { return now })
		v.ApplyConfig([]byte("7"), "test")
		v.ApplyList([]rlbobject.Object{ready("a", 1), ready("b", 2)}, 9, false)
		known := func() string {
			s := v.Snapshot()
			_, a := s.ByID["a"]
			_, b := s.ByID["b"]
			return fmt.Sprintf("%d %t %t", s.Config.Version, a, b)
		}
		So(known(), ShouldEqual, "7 true true")
		Convey("a config never goes back, and one that cannot be read changes nothing", func() {
			v.ApplyConfig([]byte("6"), "test")
			v.ApplyConfig([]byte("{"), "test")
			So(known(), ShouldEqual, "7 true true")
			v.ApplyConfig([]byte("12"), "test")
			So(known(), ShouldEqual, "12 true true")
		})
		Convey("another instance is told what it does not know, the config compressed", func() {
			known := v.Known(6, 1)
			value, err := Expand(known.Config)
			So(err, ShouldBeNil)
			So(string(value), ShouldEqual, "7")
			So(known.Entries, ShouldHaveLength, 1)
			So(v.Known(7, 2).Config, ShouldBeEmpty)
			_, err = Expand([]byte("no stream"))
			So(err, ShouldNotBeNil)
		})
		Convey("an older entry changes nothing", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`"leaving"`)}, ready("a", 4)}, false)
			So(v.Snapshot().ByID["a"].Draining, ShouldBeTrue)
		})
		Convey("another writer's entry names no endpoint, the others hold", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`{`)}}, false)
			So(known(), ShouldEqual, "7 false true")
		})
		Convey("a removed entry has a little time to come back, less than it may still get work", func() {
			v.ApplyChanges([]rlbobject.Object{gone("a", 5)}, false)
			v.Sweep()
			So(known(), ShouldEqual, "7 true true")
			Convey("and does", func() {
				v.ApplyChanges([]rlbobject.Object{ready("a", 6)}, false)
				now = now.Add(time.Minute)
				v.Sweep()
				So(known(), ShouldEqual, "7 true true")
			})
			Convey("or does not", func() {
				now = now.Add(removeGrace)
				v.Sweep()
				So(known(), ShouldEqual, "7 false true")
			})
		})
		Convey("after an outage it has the time that entries take to come back", func() {
			v.ApplyList([]rlbobject.Object{ready("b", 2)}, 9, true)
			now = now.Add(removeGrace)
			v.Sweep()
			So(known(), ShouldEqual, "7 true true")
			now = now.Add(returnGrace)
			v.Sweep()
			So(known(), ShouldEqual, "7 false true")
		})
		Convey("an endpoint that said it leaves is dropped at once", func() {
			v.ApplyChanges([]rlbobject.Object{{Name: "a", Version: 5, Value: []byte(`"leaving"`)}, gone("a", 6)}, false)
			So(known(), ShouldEqual, "7 false true")
		})
	})
}

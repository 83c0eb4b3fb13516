package rlbpick

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsite"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a near and a far endpoint", t, func() {
		table := NewTable()
		near := &rlbsite.Endpoint{ID: "near", Domain: "a", Slots: 4}
		far := &rlbsite.Endpoint{ID: "far", Domain: "b", Slots: 4}
		all := []*rlbsite.Endpoint{far, near}
		others := map[string]Load{}
		pick := func(model string) string {
			c := table.Pick(now, all, Wanted{
				Domain: "a", Model: model, Others: func(id string) Load { return others[id] },
				Fits: func(*rlbsite.Endpoint) bool { return true },
			})
			if c.Endpoint == nil {
				return ""
			}
			return c.Endpoint.ID
		}
		Convey("the near one is taken while its wait is short", func() {
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("prompts not read yet count, of other instances too, until the answer begins", func() {
			answered := table.Begin(near, 4000)
			So(pick("m"), ShouldEqual, "far")
			others["far"] = Load{Unread: 8000}
			So(pick("m"), ShouldEqual, "near")
			others["far"] = Load{}
			answered()
			answered()
			So(table.Own("near"), ShouldResemble, Load{InFlight: 1})
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("one that fails is passed over for longer each time, and taken if alone", func() {
			for range 3 {
				table.Begin(near, 0)
				table.End(now, near, OutcomeBad)
			}
			So(pick("m"), ShouldEqual, "far")
			now := now.Add(firstPause)
			So(now.Before(table.rows["near"].paused), ShouldBeTrue)
			all = []*rlbsite.Endpoint{near}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, 0)
			table.End(now, near, OutcomeGood)
			all = []*rlbsite.Endpoint{far, near}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("a refused model is avoided, other models are not", func() {
			table.Refused(now, near, "m")
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "near")
		})
		Convey("a new life of an endpoint begins anew", func() {
			table.Begin(near, 0)
			table.End(now, near, OutcomeBad)
			near.Born = now
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("one whose streams pause gets no second prompt while the other can take it", func() {
			for range 10 {
				table.Streamed(near, true)
			}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, 100)
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("leaving endpoints get nothing", func() {
			near.Leaving, far.Leaving = true, true
			So(pick("m"), ShouldEqual, "")
		})
	})
}

func TestWait(t *testing.T) {
	for _, c := range []struct {
		load   Load
		engine bool
		want   time.Duration
	}{
		{Load{}, true, 0},
		{Load{InFlight: 3}, true, 0},
		{Load{InFlight: 5}, true, 2 * slotFreed},
		{Load{Unread: 1900}, true, 100 * time.Millisecond},
		{Load{InFlight: 5, Unread: 1900}, false, 2 * plainFreed},
	} {
		if got := c.load.Wait(4, c.engine); got != c.want {
			t.Errorf("wait of %+v is %v, want %v", c.load, got, c.want)
		}
	}
}

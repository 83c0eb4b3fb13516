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
			answered := table.Begin(near, Work{Tokens: 4000})
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
				table.Begin(near, Work{})
				table.End(now, near, Work{}, OutcomeBad, 0)
			}
			So(pick("m"), ShouldEqual, "far")
			now := now.Add(firstPause)
			So(now.Before(table.rows["near"].paused), ShouldBeTrue)
			all = []*rlbsite.Endpoint{near}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, Work{})
			table.End(now, near, Work{}, OutcomeGood, 0)
			all = []*rlbsite.Endpoint{far, near}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("a refused model is avoided, other models are not", func() {
			table.Refused(now, near, "m")
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "near")
		})
		Convey("one that is not what its entry says is avoided until the entry changes, for all models", func() {
			table.Wrong(now, near)
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "far")
			entry := *near
			all = []*rlbsite.Endpoint{far, &entry}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("failures that several other instances met count here, those of one do not", func() {
			others["near"] = Load{Doubts: 1}
			So(pick("m"), ShouldEqual, "near")
			others["near"] = Load{Doubts: enoughDoubts}
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("failures are told while they count, of endpoints without requests too", func() {
			told := func(now time.Time) (doubts int) {
				table.Loads(now, func(_ string, load Load) { doubts += load.Doubts })
				return doubts
			}
			table.Begin(near, Work{})
			table.End(now, near, Work{}, OutcomeBad, 0)
			So(told(now), ShouldEqual, 0) // an answer that failed says little
			table.End(now, near, Work{}, OutcomeLost, 0)
			So(told(now), ShouldEqual, 1)
			So(told(now.Add(2*firstPause)), ShouldEqual, 0)
		})
		Convey("a new life of an endpoint begins anew", func() {
			table.Begin(near, Work{})
			table.End(now, near, Work{}, OutcomeBad, 0)
			near.Born = now
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("one whose streams pause gets no second prompt while the other can take it", func() {
			for range 10 {
				table.Streamed(near, true)
			}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, Work{Tokens: 100})
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("leaving endpoints get nothing", func() {
			near.Leaving, far.Leaving = true, true
			So(pick("m"), ShouldEqual, "")
		})
	})
}

func TestWait(t *testing.T) {
	engine, plain := Place{Slots: 4, Stay: 2 * time.Second, Engine: true}, Place{Slots: 4, Stay: 40 * time.Millisecond}
	for _, c := range []struct {
		load   Load
		place  Place
		urgent bool
		want   time.Duration
	}{
		{Load{}, engine, false, 0},
		{Load{InFlight: 3}, engine, false, 0},
		{Load{InFlight: 5}, engine, false, time.Second},
		{Load{InFlight: 5}, engine, true, 0},
		{Load{InFlight: 9}, Place{Slots: 12, Stay: 2400 * time.Millisecond, Engine: true}, false, 0},
		{Load{InFlight: 10}, Place{Slots: 12, Stay: 2400 * time.Millisecond, Engine: true}, false, 200 * time.Millisecond},
		{Load{InFlight: 9, Urgent: 4}, engine, true, 500 * time.Millisecond},
		{Load{Unread: 1900}, engine, true, 100 * time.Millisecond},
		{Load{InFlight: 5, Unread: 1900}, plain, false, 20 * time.Millisecond},
		{Load{InFlight: 5, Urgent: 1}, plain, true, 20 * time.Millisecond},
	} {
		if got := c.load.Wait(c.place, c.urgent); got != c.want {
			t.Errorf("wait of %+v is %v, want %v", c.load, got, c.want)
		}
	}
}

func TestPlace(t *testing.T) {
	Convey("The time that a request stays is learnt from those that end well, by service", t, func() {
		table, e := NewTable(), &rlbsite.Endpoint{ID: "e", Service: "s", Slots: 12}
		So(table.Place(e, true), ShouldResemble, Place{Slots: 12, Stay: engineStay, Engine: true})
		So(table.Place(e, false).Stay, ShouldEqual, plainStay)
		end := func(outcome Outcome, stayed time.Duration) {
			table.Begin(e, Work{})
			table.End(time.Unix(0, 0), e, Work{}, outcome, stayed)
		}
		end(OutcomeBad, time.Minute)
		end(OutcomeGood, time.Second)
		So(table.Place(e, true).Stay, ShouldEqual, time.Second)
		end(OutcomeGood, 3*time.Second)
		So(table.Place(e, true).Stay, ShouldEqual, 1100*time.Millisecond)
	})
}

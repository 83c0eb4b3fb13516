package rlbbalancer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a near and a far endpoint", t, func() {
		table := New()
		near := &rlbdeployment.Endpoint{ID: "near", Domain: "a", Slots: 4}
		far := &rlbdeployment.Endpoint{ID: "far", Domain: "b", Slots: 4}
		all := []*rlbdeployment.Endpoint{far, near}
		others := map[string]Load{}
		pick := func(model string) string {
			c := table.Pick(now, all, Requirements{
				Domain: "a", Model: model, OtherLoad: func(id string) Load { return others[id] },
				Fits: func(*rlbdeployment.Endpoint) bool { return true },
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
			answered := table.Begin(near, RequestLoad{PromptTokens: 4000})
			So(pick("m"), ShouldEqual, "far")
			others["far"] = Load{UnreadTokens: 8000}
			So(pick("m"), ShouldEqual, "near")
			others["far"] = Load{}
			answered()
			answered()
			So(table.LocalLoad("near"), ShouldResemble, Load{InFlight: 1})
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("one that fails is passed over for longer each time, and taken if alone", func() {
			for range 3 {
				table.Begin(near, RequestLoad{})
				table.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			}
			So(pick("m"), ShouldEqual, "far")
			now := now.Add(firstPause)
			So(now.Before(table.rows["near"].paused), ShouldBeTrue)
			all = []*rlbdeployment.Endpoint{near}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, RequestLoad{})
			table.End(now, near, RequestLoad{}, OutcomeSucceeded, 0)
			all = []*rlbdeployment.Endpoint{far, near}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("a refused model is avoided, other models are not", func() {
			table.RecordRefusal(now, near, "m")
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "near")
		})
		Convey("one that is not what its entry says is avoided until the entry changes, for all models", func() {
			table.RecordMismatch(now, near)
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "far")
			entry := *near
			all = []*rlbdeployment.Endpoint{far, &entry}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("failures that several other instances met count here, those of one do not", func() {
			others["near"] = Load{FailureReports: 1}
			So(pick("m"), ShouldEqual, "near")
			others["near"] = Load{FailureReports: enoughDoubts}
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("failures are told while they count, of endpoints without requests too", func() {
			told := func(now time.Time) (doubts int) {
				table.Loads(now, func(_ string, load Load) { doubts += load.FailureReports })
				return doubts
			}
			table.Begin(near, RequestLoad{})
			table.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			So(told(now), ShouldEqual, 0) // an answer that failed says little
			table.End(now, near, RequestLoad{}, OutcomeNoAnswer, 0)
			So(told(now), ShouldEqual, 1)
			So(told(now.Add(2*firstPause)), ShouldEqual, 0)
		})
		Convey("a new life of an endpoint begins anew", func() {
			table.Begin(near, RequestLoad{})
			table.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			near.StartedAt = now
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("one whose streams pause gets no second prompt while the other can take it", func() {
			for range 10 {
				table.RecordStream(near, true)
			}
			So(pick("m"), ShouldEqual, "near")
			table.Begin(near, RequestLoad{PromptTokens: 100})
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("leaving endpoints get nothing", func() {
			near.Draining, far.Draining = true, true
			So(pick("m"), ShouldEqual, "")
		})
	})
}

func TestWait(t *testing.T) {
	engine, plain := Capacity{Slots: 4, ServiceTime: 2 * time.Second, Engine: true}, Capacity{Slots: 4, ServiceTime: 40 * time.Millisecond}
	for _, c := range []struct {
		load   Load
		place  Capacity
		urgent bool
		want   time.Duration
	}{
		{Load{}, engine, false, 0},
		{Load{InFlight: 3}, engine, false, 0},
		{Load{InFlight: 5}, engine, false, time.Second},
		{Load{InFlight: 5}, engine, true, 0},
		{Load{InFlight: 9}, Capacity{Slots: 12, ServiceTime: 2400 * time.Millisecond, Engine: true}, false, 0},
		{Load{InFlight: 10}, Capacity{Slots: 12, ServiceTime: 2400 * time.Millisecond, Engine: true}, false, 200 * time.Millisecond},
		{Load{InFlight: 9, Urgent: 4}, engine, true, 500 * time.Millisecond},
		{Load{UnreadTokens: 1900}, engine, true, 100 * time.Millisecond},
		{Load{InFlight: 5, UnreadTokens: 1900}, plain, false, 20 * time.Millisecond},
		{Load{InFlight: 5, Urgent: 1}, plain, true, 20 * time.Millisecond},
	} {
		if got := c.load.Wait(c.place, c.urgent); got != c.want {
			t.Errorf("wait of %+v is %v, want %v", c.load, got, c.want)
		}
	}
}

func TestPlace(t *testing.T) {
	Convey("The time that a request stays is learnt from those that end well, by service", t, func() {
		table, e := New(), &rlbdeployment.Endpoint{ID: "e", Service: "s", Slots: 12}
		So(table.Capacity(e, true), ShouldResemble, Capacity{Slots: 12, ServiceTime: engineStay, Engine: true})
		So(table.Capacity(e, false).ServiceTime, ShouldEqual, plainStay)
		end := func(outcome Outcome, stayed time.Duration) {
			table.Begin(e, RequestLoad{})
			table.End(time.Unix(0, 0), e, RequestLoad{}, outcome, stayed)
		}
		end(OutcomeFailed, time.Minute)
		end(OutcomeSucceeded, time.Second)
		So(table.Capacity(e, true).ServiceTime, ShouldEqual, time.Second)
		end(OutcomeSucceeded, 3*time.Second)
		So(table.Capacity(e, true).ServiceTime, ShouldEqual, 1100*time.Millisecond)
	})
}

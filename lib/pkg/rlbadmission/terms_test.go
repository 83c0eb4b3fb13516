package rlbadmission

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTerms(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	Convey("Given a target of a second", t, func() {
		terms := NewTerms(now, at(time.Second), at(time.Minute), true)
		Convey("a request is in time up to nine tenths of it", func() {
			So(terms.InTime(900*time.Millisecond), ShouldBeTrue)
			So(terms.InTime(901*time.Millisecond), ShouldBeFalse)
			So(terms.Excess(time.Second), ShouldEqual, 100*time.Millisecond)
		})
		Convey("a late request waits for two targets at most", func() {
			So(terms.MayWait(2*time.Second), ShouldBeTrue)
			So(terms.MayWait(2*time.Second+1), ShouldBeFalse)
		})
		Convey("a late request waits for a quarter of the time that its caller has left at most", func() {
			So(NewTerms(now, at(time.Second), at(4*time.Second), true).MayWait(time.Second+1), ShouldBeFalse)
		})
		Convey("a request that may not be late does not wait", func() {
			So(NewTerms(now, at(time.Second), at(time.Minute), false).MayBeLate(), ShouldBeFalse)
			So(NewTerms(now, at(time.Second), at(time.Minute), false).MayWait(0), ShouldBeFalse)
		})
		Convey("at the engine, late requests are behind all others", func() {
			So(Late.EngineRank(0), ShouldBeGreaterThan, InTime.EngineRank(2))
		})
	})
}

// overload plays the load of a model that turns hot: for some seconds its only engine gets
// three times the requests that it can serve, then hardly any.
type overload struct {
	engine        rlbbalancer.Capacity
	ends          []time.Time // of the running requests
	waiting       map[Class][]time.Time
	inTime, late  int // requests that began by their target, and after it
	target, burst time.Duration
}

func (o *overload) play(lateAllowed bool) {
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(2 * o.burst)); now = now.Add(10 * time.Millisecond) {
		o.begin(now)
		if now.After(start.Add(o.burst)) {
			continue
		}
		load := rlbbalancer.Load{InFlight: len(o.ends) + len(o.waiting[InTime]) + len(o.waiting[Late]), LateWaiting: len(o.waiting[Late])}
		terms := NewTerms(now, now.Add(o.target), now.Add(30*o.target), lateAllowed)
		switch {
		case terms.InTime(load.Wait(o.engine, false)):
			o.waiting[InTime] = append(o.waiting[InTime], now)
		case terms.MayWait(load.LateWait(o.engine)):
			o.waiting[Late] = append(o.waiting[Late], now)
		}
	}
}

// begin ends the requests whose time is over and starts waiting ones in their slots, those in
// time first.
func (o *overload) begin(now time.Time) {
	for len(o.ends) > 0 && !now.Before(o.ends[0]) {
		o.ends = o.ends[1:]
	}
	for _, class := range []Class{InTime, Late} {
		for ; len(o.ends) < o.engine.Slots && len(o.waiting[class]) > 0; o.waiting[class] = o.waiting[class][1:] {
			if now.Sub(o.waiting[class][0]) <= o.target {
				o.inTime++
			} else {
				o.late++
			}
			o.ends = append(o.ends, now.Add(o.engine.ServiceTime))
		}
	}
}

func TestOverloadOfAModel(t *testing.T) {
	Convey("Late requests are served with the room that those in time leave, and cost these nothing", t, func() {
		play := func(lateAllowed bool) *overload {
			o := &overload{
				engine: rlbbalancer.Capacity{Slots: 32, ServiceTime: time.Second, Engine: true, PrefillRate: 25},
				target: 500 * time.Millisecond, burst: 8 * time.Second, waiting: map[Class][]time.Time{},
			}
			o.play(lateAllowed)
			return o
		}
		without, with := play(false), play(true)
		t.Logf("in time %d and %d, late %d and %d", without.inTime, with.inTime, without.late, with.late)
		So(with.inTime, ShouldBeGreaterThanOrEqualTo, without.inTime)
		So(with.late, ShouldBeGreaterThan, without.late)
		So(with.waiting[Late], ShouldBeEmpty)
	})
}

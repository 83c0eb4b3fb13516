package rlbquota

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// requestCosts are tokens of requests.
var requestCosts = []float64{1540, 1540, 714, 200}

// Demands as multiples of the rate of a quota.
const (
	usual = 0.55 // of a workspace that keeps to its quota
	hot   = 4.4  // the eightfold
)

// play plays a time in which the callers ask for a multiple of the rate of the quota.
func (f *modelFleet) play(span time.Duration, multiple float64, targets func(n int) bool) {
	f.run(span, load{multiple * f.quota.PerSecond(), requestCosts, targets})
}

// third selects a third of the instances.
func third(n int) bool { return n%3 == 0 }

// scenario is a failure or a load that must keep the rule for windows. Requests from mark on
// count for how much of the quota is used.
type scenario struct {
	name      string
	leastUsed float64 // of what one bucket would have admitted of the same requests
	run       func(f *modelFleet)
}

// mark forgets the requests until now.
func (f *modelFleet) mark() { f.asked, f.admitted = nil, nil }

func (f *modelFleet) each(selected func(n int) bool, change func(i *modelInstance)) {
	for n, i := range f.instances {
		if selected(n) {
			change(i)
		}
	}
}

var all = func(int) bool { return true }

var scenarios = []scenario{
	{"eightfold through a third of the instances, then as usual", 0.9, func(f *modelFleet) {
		f.play(10*time.Second, hot, third)
		f.play(10*time.Second, usual, nil)
	}},
	{"eightfold through a third while one of these is cut off and two restart", 0.85, func(f *modelFleet) {
		f.instances[0].cut = true
		f.play(3*time.Second, hot, third)
		f.instances[3].down = true
		f.instances[6].down = true
		f.play(2*time.Second, hot, third)
		f.start(f.instances[3])
		f.start(f.instances[6])
		f.play(10*time.Second, hot, third)
		f.instances[0].cut = false
		f.play(10*time.Second, hot, third)
	}},
	{"eightfold while each instance of a third is cut off on its own", 0.85, func(f *modelFleet) {
		f.each(third, func(i *modelInstance) { i.cut = true })
		f.play(12*time.Second, hot, nil)
		f.each(third, func(i *modelInstance) { i.cut = false })
		f.play(10*time.Second, hot, nil)
	}},
	{"a failure domain is cut off while callers ask for the eightfold", 0.85, func(f *modelFleet) {
		f.split = f.instances[0].domain
		f.play(12*time.Second, hot, nil)
		f.split = ""
		f.play(10*time.Second, hot, nil)
	}},
	{"all instances lose power under load", 0.7, func(f *modelFleet) {
		f.play(4*time.Second, hot, nil)
		f.each(all, func(i *modelInstance) { i.down = true })
		f.play(time.Second, hot, nil)
		f.each(all, f.start)
		f.play(10*time.Second, hot, nil)
	}},
	{"half of the instances are killed and start again", 0.6, func(f *modelFleet) {
		half := func(n int) bool { return n%2 == 1 }
		f.play(4*time.Second, hot, nil)
		f.each(half, func(i *modelInstance) { i.down = true })
		f.play(3*time.Second, hot, nil)
		f.each(half, f.start)
		f.play(10*time.Second, hot, nil)
	}},
	{"a third freezes and wakes", 0.6, func(f *modelFleet) {
		f.play(4*time.Second, hot, nil)
		f.each(third, func(i *modelInstance) { i.frozen = true })
		f.play(4*time.Second, hot, nil)
		f.each(third, func(i *modelInstance) { i.frozen = false })
		f.play(10*time.Second, hot, nil)
	}},
	{"links lose a fifth of the messages and deliver the others late", 0.85, func(f *modelFleet) {
		f.loss, f.delay = 0.2, 200*time.Millisecond
		f.play(20*time.Second, hot, nil)
	}},
	{"instances restart in turn", 0.85, func(f *modelFleet) {
		f.play(4*time.Second, hot, nil)
		for _, i := range f.instances {
			f.play(15*time.Second/time.Duration(len(f.instances)), hot, nil)
			f.start(i)
		}
		f.play(3*time.Second, hot, nil)
	}},
	{"the delegates of two failure domains restart in the second of the rise", 0.8, func(f *modelFleet) {
		f.each(func(n int) bool { return n < 2 }, f.start) // each first instance is in a domain of its own
		f.play(12*time.Second, hot, nil)
	}},
	{"waves of load", 0.85, func(f *modelFleet) {
		for range 6 {
			f.play(1500*time.Millisecond, hot, nil)
			f.play(2*time.Second, 0.1, nil)
		}
	}},
}

// assertAllAdmitted fails if a request was refused.
func assertAllAdmitted(t *testing.T, f *modelFleet) {
	t.Helper()
	if asked, admitted := total(f.asked), total(f.admitted); admitted < asked {
		t.Errorf("admitted %g of %g tokens", admitted, asked)
	}
}

// TestScenarios plays loads and failures at fleets of different sizes. In each window the
// requests of all instances must keep to the rule, and the quota must be used well.
func TestScenarios(t *testing.T) {
	for _, c := range []struct {
		size, domains int
		perSecond     float64
		seeds         uint64
	}{{12, 3, 2700, 2}, {12, 3, 60000, 2}, {80, 4, 2700, 1}, {80, 4, 20000, 1}, {80, 4, 270000, 1}} {
		for _, s := range scenarios {
			for seed := range c.seeds {
				t.Run(fmt.Sprintf("%d instances, %g a second, %s, seed %d", c.size, c.perSecond, s.name, seed), func(t *testing.T) {
					f := newModelFleet(c.size, c.domains, c.perSecond, c.perSecond, seed)
					f.play(10*time.Second, usual, nil)
					before := len(f.admitted)
					f.asked = nil
					s.run(f)
					assertKept(t, f, s.leastUsed, f.admitted[before:])
				})
			}
		}
	}
}

// assertKept fails if a window breaks the rule, or if less than a part of what one bucket
// would have admitted was admitted.
func assertKept(t *testing.T, f *modelFleet, least float64, admitted []admission) {
	t.Helper()
	worst, used := worstWindow(f.admitted, f.quota), total(admitted)/owed(f.asked, f.quota)
	if worst > 1 {
		t.Errorf("a window has %.3f of what the rule allows", worst)
	}
	if used < least {
		t.Errorf("used %.3f of the quota, want %g", used, least)
	}
	t.Logf("worst window %.3f, used %.3f", worst, used)
}

// TestDisturbances plays disturbances and changes of load in random order.
func TestDisturbances(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newModelFleet(12, 3, 60000, 60000, seed)
			f.play(8*time.Second, usual, nil)
			multiple := usual
			for range 60 {
				if f.random.IntN(3) == 0 {
					f.disturb()
				}
				if f.random.IntN(6) == 0 {
					multiple = []float64{usual, hot, 0.1, hot}[f.random.IntN(4)]
				}
				f.play(500*time.Millisecond, multiple, nil)
			}
			assertKept(t, f, 0.5, f.admitted)
		})
	}
}

// TestWithinQuota lets a workspace ask for less than its quota, from the first second of the
// fleet on and with uneven shares of the instances: nothing is refused.
func TestWithinQuota(t *testing.T) {
	for _, c := range []struct {
		size, domains int
		perSecond     float64
	}{{1, 1, 60000}, {12, 3, 60000}, {80, 4, 20000}, {80, 4, 270000}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d instances, %g a second, seed %d", c.size, c.perSecond, seed), func(t *testing.T) {
				f := newModelFleet(c.size, c.domains, c.perSecond, c.perSecond, seed)
				f.play(2*time.Second, 0, nil)
				f.play(5*time.Second, usual, nil)
				f.play(5*time.Second, usual, third)
				f.play(5*time.Second, 0.1, nil)
				f.play(5*time.Second, 1.2*usual, nil)
				assertAllAdmitted(t, f)
			})
		}
	}
}

// TestUsualLoadAfterLossOfPower starts all instances anew, some at a time, under a load below
// the quota: hardly anything is refused.
func TestUsualLoadAfterLossOfPower(t *testing.T) {
	for _, perSecond := range []float64{20000, 300000} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%g a second, seed %d", perSecond, seed), func(t *testing.T) {
				f := newModelFleet(72, 4, perSecond, perSecond, seed)
				f.play(10*time.Second, usual, nil)
				f.each(all, func(i *modelInstance) { i.down = true })
				f.play(time.Second, usual, nil)
				f.mark()
				for n, i := range f.instances {
					f.start(i)
					if n%8 == 0 {
						f.play(20*time.Millisecond, usual, nil)
					}
				}
				f.play(2*time.Second, usual, nil)
				if share := total(f.admitted) / total(f.asked); share < 0.9 {
					t.Errorf("admitted %.2f of what was asked", share)
				}
			})
		}
	}
}

// TestQuotaChanges lowers and raises the quota of a workspace that asks for far more.
func TestQuotaChanges(t *testing.T) {
	Convey("Given a fleet at its quota", t, func() {
		f := newModelFleet(12, 3, 60000, 60000, 1)
		f.play(10*time.Second, 3, nil)
		change := func(perSecond, multiple float64) float64 {
			f.quota = rlbdeployment.NewQuota(perSecond, perSecond, rlbdeployment.UnitTokens, 200)
			f.mark()
			f.play(10*time.Second, multiple, nil)
			return total(f.admitted) / (10 * perSecond)
		}
		Convey("a lower one binds at once", func() {
			So(change(20000, 9), ShouldBeBetween, 0.8, 1.1)
			So(worstWindow(f.admitted, f.quota), ShouldBeLessThan, 1)
		})
		Convey("a higher one may be used at once", func() {
			So(change(120000, 3), ShouldBeBetween, 0.9, 1.1)
			So(worstWindow(f.admitted, f.quota), ShouldBeLessThan, 1)
		})
	})
}

// newLimiter returns the limiter of an instance that has run for a minute.
func newLimiter(registered map[string]int) (*Limiter, *time.Time) {
	now := time.Unix(1000, 0)
	l := New(Opts{Now: func() time.Time { return now }, Random: func() float64 { return 0.5 }, Domain: "x", Registered: func() map[string]int { return registered }, InForce: inForce})
	now = now.Add(time.Minute)
	return l, &now
}

// admittedOf returns how many of n requests at once are admitted, and the last Retry-After.
func admittedOf(l *Limiter, q rlbdeployment.Quota, n int) (count int, retryAfter time.Duration) {
	for range n {
		admitted, after := l.Admit("w", q, 1)
		if admitted {
			count++
		} else {
			retryAfter = after
		}
	}
	return count, retryAfter
}

func TestLimiter(t *testing.T) {
	quota := rlbdeployment.NewQuota(10, 10, rlbdeployment.UnitRequests, 0)
	Convey("Given an instance that is alone", t, func() {
		l, now := newLimiter(nil)
		Convey("without a limit all requests are admitted and nothing is published", func() {
			admitted, _ := l.Admit("w", rlbdeployment.Quota{}, 1)
			So(admitted, ShouldBeTrue)
			So(l.Usages(), ShouldBeEmpty)
			So(l.States(), ShouldBeEmpty)
		})
		Convey("the burst is admitted at once, and no more", func() {
			count, after := admittedOf(l, quota, 100)
			So(count, ShouldEqual, 10)
			So(after, ShouldBeBetween, 8*time.Second, 20*time.Second) // some 90 are to come back
			state := l.States()[0]
			So(state.Workspace, ShouldEqual, "w")
			So(state.Admitted+state.Refused, ShouldEqual, 100)
			Convey("requests that did not run give back what they cost", func() {
				*now = now.Add(10 * time.Second)
				l.Usages()
				before := l.States()[0].Level
				admittedOf(l, quota, 3)
				l.Refund("w", 1)
				l.Refund("w", 1)
				So(l.States()[0].Level, ShouldAlmostEqual, before-1)
				l.Refund("other", 1)
			})
		})
		Convey("a request that costs more than the burst is admitted when the bucket is full", func() {
			admitted, _ := l.Admit("w", quota, 12)
			So(admitted, ShouldBeTrue)
		})
		Convey("an unused workspace is forgotten", func() {
			admittedOf(l, quota, 1)
			*now = now.Add(forgetTime + time.Second)
			So(l.Usages(), ShouldBeEmpty)
			So(l.buckets, ShouldBeEmpty)
		})
		Convey("numbers that can't be meant do no harm", func() {
			admittedOf(l, quota, 1)
			bad := Usage{Workspace: Key("w"), Used: math.NaN(), Asked: math.Inf(1), Reserved: -1, Level: math.Inf(-1)}
			l.ApplyInstance(Message{Source: "b", Sender: "b", Sequence: 1}, []Usage{bad})
			l.ApplyInstance(Message{Source: "b", Sender: "b", Sequence: 2}, []Usage{bad})
			count, _ := admittedOf(l, quota, 5)
			So(count, ShouldEqual, 5)
		})
		Convey("a use that is far beyond all that can be is paid back in time", func() {
			admittedOf(l, quota, 1)
			for sequence, used := range []float64{0, 1e30, 1e30} {
				l.ApplyInstance(Message{Source: "b", Sender: "b", Sequence: uint64(sequence + 1)}, []Usage{{Workspace: Key("w"), Used: used}})
			}
			count, _ := admittedOf(l, quota, 5)
			So(count, ShouldEqual, 0)
			*now = now.Add(maxDebtTime + 2*time.Second)
			l.ApplyInstance(Message{Source: "b", Sender: "b", Sequence: 4, Draining: true}, nil)
			count, _ = admittedOf(l, quota, 5)
			So(count, ShouldEqual, 5)
		})
	})
	Convey("Given an instance that starts and has heard of none of the nine others", t, func() {
		l, now := newLimiter(map[string]int{"x": 4, "y": 6})
		Convey("it admits its part and no burst", func() {
			count := 0
			for range 200 { // 20 s
				*now = now.Add(100 * time.Millisecond)
				n, _ := admittedOf(l, quota, 1)
				count += n
			}
			So(count, ShouldBeBetweenOrEqual, 15, 22)
		})
	})
	Convey("Given another instance that used all of the quota", t, func() {
		l, now := newLimiter(nil)
		sequence := uint64(0)
		hear := func(draining bool) {
			sequence++
			l.ApplyInstance(Message{Source: "b", Sender: "b", Incarnation: 1, Sequence: sequence, Draining: draining}, []Usage{{Workspace: Key("w"), Used: 100, Asked: 10}})
		}
		admittedOf(l, quota, 1)
		hear(false)
		hear(false)
		Convey("what it used is charged once, and outdated messages are ignored", func() {
			sequence--
			hear(false)
			l.Usages()
			So(l.States()[0].Asked, ShouldBeGreaterThanOrEqualTo, 10)
		})
		Convey("its share is reserved when it falls silent", func() {
			*now = now.Add(200 * time.Millisecond)
			l.Usages()
			*now = now.Add(10 * time.Second)
			l.Usages()
			So(l.States()[0].Reserved, ShouldBeBetween, 0.8, 1)
			usages, known := l.DomainUsages()
			So(known, ShouldBeTrue)
			So(usages, ShouldBeEmpty) // no request lately
		})
		Convey("nothing is reserved if it left", func() {
			hear(true)
			*now = now.Add(10 * time.Second)
			l.Usages()
			So(l.States()[0].Reserved, ShouldEqual, 0)
		})
	})
}

func BenchmarkAdmit(b *testing.B) {
	f := newModelFleet(80, 4, 270000, 270000, 1)
	f.play(5*time.Second, usual, nil)
	l := f.instances[0].limiter
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(time.Millisecond)
		l.Admit("w", f.quota, 1000)
	}
}

// BenchmarkMessages measures digests of the 32 others of a domain with 100 workspaces.
func BenchmarkMessages(b *testing.B) {
	l, now := newLimiter(nil)
	var usages []Usage
	for n := range uint32(100) {
		usages = append(usages, Usage{Workspace: n, Used: 1000, Asked: 100})
	}
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		*now = now.Add(8 * time.Millisecond)
		name := strconv.FormatUint(sequence%32, 10)
		l.ApplyInstance(Message{Source: name, Sender: name, Sequence: sequence}, usages)
	}
}

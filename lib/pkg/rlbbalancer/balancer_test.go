package rlbbalancer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("with one endpoint in the same and one in another failure domain", t, func() {
		balancer := New()
		near := &rlbdeployment.Endpoint{ID: "near", Domain: "a", Slots: 4}
		far := &rlbdeployment.Endpoint{ID: "far", Domain: "b", Slots: 4}
		all := []*rlbdeployment.Endpoint{far, near}
		others := map[string]Load{}
		var crossDomainCost func(string) time.Duration
		pick := func(model string) string {
			c := balancer.Pick(now, all, Requirements{
				Domain: "a", Model: model, CrossDomainCost: crossDomainCost, OtherLoad: func(id string) Load { return others[id] },
				Fits: func(*rlbdeployment.Endpoint) bool { return true },
			})
			if c.Endpoint == nil {
				return ""
			}
			return c.Endpoint.ID
		}
		Convey("the one in the same domain is preferred while its wait is short", func() {
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("the cost of another domain may be set for a request", func() {
			crossDomainCost = func(domain string) time.Duration {
				So(domain, ShouldEqual, "b")
				return -time.Second
			}
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("prompt tokens of all instances add to the cost until the answer begins", func() {
			answered := balancer.Begin(near, RequestLoad{PromptTokens: 4000})
			So(pick("m"), ShouldEqual, "far")
			others["far"] = Load{UnreadTokens: 8000}
			So(pick("m"), ShouldEqual, "near")
			others["far"] = Load{}
			answered()
			answered()
			So(balancer.LocalLoad("near"), ShouldResemble, Load{InFlight: 1})
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("each failure lengthens the backoff, and an unhealthy endpoint is used if it is the only one", func() {
			for range 3 {
				balancer.Begin(near, RequestLoad{})
				balancer.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			}
			So(pick("m"), ShouldEqual, "far")
			now := now.Add(initialBackoff)
			So(now.Before(balancer.stats["near"].backoffUntil), ShouldBeTrue)
			all = []*rlbdeployment.Endpoint{near}
			So(pick("m"), ShouldEqual, "near")
			balancer.Begin(near, RequestLoad{})
			balancer.End(now, near, RequestLoad{}, OutcomeSucceeded, 0)
			all = []*rlbdeployment.Endpoint{far, near}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("a refusal affects only the refused model", func() {
			balancer.RecordRefusal(now, near, "m")
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "near")
		})
		Convey("an endpoint that does not match its entry is avoided for all models until the entry changes", func() {
			balancer.RecordMismatch(now, near)
			So(pick("m"), ShouldEqual, "far")
			So(pick("n"), ShouldEqual, "far")
			entry := *near
			all = []*rlbdeployment.Endpoint{far, &entry}
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("failures reported by several other instances make an endpoint unhealthy, one report does not", func() {
			others["near"] = Load{FailureReports: 1}
			So(pick("m"), ShouldEqual, "near")
			others["near"] = Load{FailureReports: minFailureReports}
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("missing answers are reported during the backoff, even without requests in flight", func() {
			reported := func(now time.Time) (reports int) {
				balancer.Loads(now, func(_ string, load Load) { reports += load.FailureReports })
				return reports
			}
			balancer.Begin(near, RequestLoad{})
			balancer.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			So(reported(now), ShouldEqual, 0) // a failed answer is not reported to other instances
			balancer.End(now, near, RequestLoad{}, OutcomeNoAnswer, 0)
			So(reported(now), ShouldEqual, 1)
			So(reported(now.Add(2*initialBackoff)), ShouldEqual, 0)
		})
		Convey("a restart of the endpoint resets its failures", func() {
			balancer.Begin(near, RequestLoad{})
			balancer.End(now, near, RequestLoad{}, OutcomeFailed, 0)
			near.StartedAt = now
			So(pick("m"), ShouldEqual, "near")
		})
		Convey("an endpoint with slow streams gets no second prompt while the other has capacity", func() {
			for range 10 {
				balancer.RecordStream(near, true)
			}
			So(pick("m"), ShouldEqual, "near")
			balancer.Begin(near, RequestLoad{PromptTokens: 100})
			So(pick("m"), ShouldEqual, "far")
		})
		Convey("draining endpoints get no requests", func() {
			near.Draining, far.Draining = true, true
			So(pick("m"), ShouldEqual, "")
		})
	})
}

func TestWait(t *testing.T) {
	engine, plain := Capacity{Slots: 4, ServiceTime: 2 * time.Second, Engine: true, PrefillRate: 19}, Capacity{Slots: 4, ServiceTime: 40 * time.Millisecond}
	for _, c := range []struct {
		load     Load
		capacity Capacity
		urgent   bool
		want     time.Duration
	}{
		{Load{}, engine, false, 0},
		{Load{InFlight: 3}, engine, false, 0},
		{Load{InFlight: 5}, engine, false, time.Second},
		{Load{InFlight: 5}, engine, true, 0},
		{Load{InFlight: 9}, Capacity{Slots: 12, ServiceTime: 2400 * time.Millisecond, Engine: true, PrefillRate: 19}, false, 0},
		{Load{InFlight: 10}, Capacity{Slots: 12, ServiceTime: 2400 * time.Millisecond, Engine: true, PrefillRate: 19}, false, 200 * time.Millisecond},
		{Load{InFlight: 9, Urgent: 4}, engine, true, 500 * time.Millisecond},
		{Load{UnreadTokens: 1900}, engine, true, 100 * time.Millisecond},
		{Load{InFlight: 5, UnreadTokens: 1900}, plain, false, 20 * time.Millisecond},
		{Load{InFlight: 5, Urgent: 1}, plain, true, 20 * time.Millisecond},
	} {
		if got := c.load.Wait(c.capacity, c.urgent); got != c.want {
			t.Errorf("wait of %+v is %v, want %v", c.load, got, c.want)
		}
	}
}

func TestCapacity(t *testing.T) {
	Convey("the service time is a moving average over successful requests, by service", t, func() {
		balancer, e := New(), &rlbdeployment.Endpoint{ID: "e", Service: "s", Slots: 12}
		So(balancer.Capacity(e, true), ShouldResemble, Capacity{Slots: 12, ServiceTime: initialEngineServiceTime, Engine: true, PrefillRate: initialPrefillRate})
		So(balancer.Capacity(e, false).ServiceTime, ShouldEqual, initialPlainServiceTime)
		end := func(outcome Outcome, took time.Duration) {
			balancer.Begin(e, RequestLoad{})
			balancer.End(time.Unix(0, 0), e, RequestLoad{}, outcome, took)
		}
		end(OutcomeFailed, time.Minute)
		end(OutcomeSucceeded, time.Second)
		So(balancer.Capacity(e, true).ServiceTime, ShouldEqual, time.Second)
		end(OutcomeSucceeded, 3*time.Second)
		So(balancer.Capacity(e, true).ServiceTime, ShouldEqual, 1100*time.Millisecond)
	})
}

// TestStatsSurviveTheRemovalOfTheEntry guards against requests to an endpoint that asked for
// none: its entry lapses and comes back, and the statement was forgotten in between.
func TestStatsSurviveTheRemovalOfTheEntry(t *testing.T) {
	start := time.Unix(1000, 0)
	nobody := func(string) bool { return false }
	Convey("Given an endpoint whose entry is gone", t, func() {
		balancer := New()
		e := &rlbdeployment.Endpoint{ID: "a", Slots: 4}
		Convey("what it asked for holds until its end", func() {
			balancer.RecordHoldOff(start, e, 3*time.Minute)
			balancer.Prune(start, nobody)
			balancer.Prune(start.Add(3*time.Minute-1), nobody)
			So(balancer.HeldOff(start.Add(3*time.Minute-1), "a"), ShouldBeTrue)
			So(balancer.HeldOffEndpoints(start.Add(3*time.Minute-1)), ShouldResemble, []string{"a"})
			Convey("and is forgotten then", func() {
				balancer.Prune(start.Add(3*time.Minute+trialPeriod), nobody)
				So(balancer.stats, ShouldBeEmpty)
			})
		})
		Convey("its failures are known if the entry comes back soon", func() {
			balancer.Begin(e, RequestLoad{})
			balancer.End(start, e, RequestLoad{}, OutcomeNoAnswer, 0)
			balancer.RecordMismatch(start, e)
			balancer.Prune(start, nobody)
			So(balancer.Unhealthy(start, e), ShouldBeTrue)
			balancer.Prune(start, func(string) bool { return true })
			balancer.Prune(start.Add(2*statsTTL), nobody)
			So(balancer.stats, ShouldNotBeEmpty)
			balancer.Prune(start.Add(3*statsTTL), nobody)
			So(balancer.stats, ShouldBeEmpty)
		})
	})
}

func TestHoldOff(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("with an endpoint that wants no requests for 4 s and one that wants none for 8 s", t, func() {
		balancer := New()
		a, b := &rlbdeployment.Endpoint{ID: "a", Slots: 4}, &rlbdeployment.Endpoint{ID: "b", Slots: 4}
		So(balancer.RecordHoldOff(start, a, 4*time.Second), ShouldBeTrue)
		So(balancer.RecordHoldOff(start, b, 8*time.Second), ShouldBeTrue)
		pickAt := func(after time.Duration) Choice {
			return balancer.Pick(start.Add(after), []*rlbdeployment.Endpoint{a, b}, Requirements{
				Model: "m", OtherLoad: func(string) Load { return Load{} }, Fits: func(*rlbdeployment.Endpoint) bool { return true },
			})
		}
		Convey("none is picked, and the soonest end is known", func() {
			So(pickAt(3*time.Second), ShouldResemble, Choice{HeldOffUntil: start.Add(4 * time.Second)})
		})
		Convey("a shorter time that is stated later does not end it", func() {
			So(balancer.RecordHoldOff(start, b, time.Second), ShouldBeFalse)
			So(pickAt(5*time.Second).Endpoint, ShouldEqual, a)
		})
		Convey("the first request after it is alone until it is answered", func() {
			So(pickAt(4*time.Second).Endpoint, ShouldEqual, a)
			answered := balancer.Begin(a, RequestLoad{})
			So(pickAt(4*time.Second).Endpoint, ShouldBeNil)
			answered()
			So(pickAt(4*time.Second).Endpoint, ShouldEqual, a)
			balancer.Begin(a, RequestLoad{})
			So(pickAt(4*time.Second+trialPeriod).Endpoint, ShouldEqual, a)
		})
		Convey("a restart ends it", func() {
			next := *a
			next.StartedAt = start
			a = &next
			So(pickAt(0).Endpoint, ShouldEqual, a)
		})
	})
}

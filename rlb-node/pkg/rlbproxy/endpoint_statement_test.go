package rlbproxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEndpointThatStatesThatItLeavesGetsNoNewRequest(t *testing.T) {
	Convey("Given two engines with the model, of which the nearer one states that it leaves", t, func() {
		f := newFixture(t)
		leaving, other := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		leaving.SetLeaving()
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
		So(leaving.Runs(), ShouldHaveLength, 1)
		shouldBeAvoided := func() {
			for range 5 {
				So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			}
			So(leaving.Runs(), ShouldHaveLength, 1)
			So(other.Runs(), ShouldHaveLength, 5)
		}
		Convey("the requests after its first answer go to the other one", shouldBeAvoided)
		Convey("also if its entry still says that it is ready, in a newer revision", func() {
			f.add(t, "e3", "plain", "a") // applies all entries anew
			shouldBeAvoided()
		})
	})
	Convey("A refusal that states it counts as well", t, func() {
		f := newFixture(t)
		leaving, _ := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		leaving.SetLeaving()
		leaving.Refuse("0") // states no time
		So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
		f.advance(time.Minute)
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
		So(leaving.Refusals(), ShouldHaveLength, 1)
	})
}

func TestStatementsOfOthersDoNotMakeAnEndpointLeave(t *testing.T) {
	for name, state := range map[string]func(header http.Header){
		"another value":              func(h http.Header) { h.Set("Server-Leaving", "0") },
		"contradicting values":       func(h http.Header) { h["Server-Leaving"] = []string{"1", "0"} },
		"the ID of another endpoint": func(h http.Header) { h.Set("Server-Leaving", "1"); h.Set("X-Instance-Id", "e9") },
	} {
		Convey("An answer with "+name+" changes nothing", t, func() {
			f := newFixture(t)
			e := f.add(t, "e1", "llm", "a")
			e.Intercept = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				state(w.Header())
				return false
			}
			for range 3 {
				So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			}
		})
	}
	Convey("Nor does a caller that sends the header", t, func() {
		f := newFixture(t)
		f.add(t, "e1", "llm", "a")
		for range 3 {
			got := f.send(http.MethodPost, "/plan/x", "prompt", map[string]string{"X-Model": "m", "X-Token-Count": "10,4", "Server-Leaving": "1"})
			So(got.status, ShouldEqual, http.StatusOK)
		}
	})
}

func TestEndpointGetsNoRequestBeforeItsRetryAfter(t *testing.T) {
	Convey("Given two engines, of which the nearer one refuses with a Retry-After of 2.5 s", t, func() {
		f := newFixture(t)
		refusing, other := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		refusing.Refuse("2.5")
		send := func() { So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK) }
		send()
		refusing.Refuse("")
		Convey("it gets nothing until then, of whatever route", func() {
			f.advance(2400 * time.Millisecond)
			send()
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			So(refusing.Runs(), ShouldBeEmpty)
			So(other.Runs(), ShouldHaveLength, 3)
			Convey("and requests again soon after", func() {
				f.advance(500 * time.Millisecond)
				send()
				So(refusing.Runs(), ShouldHaveLength, 1)
			})
		})
	})
	Convey("A restart of the endpoint ends it", t, func() {
		f := newFixture(t)
		refusing := f.add(t, "e1", "plain", "a")
		refusing.Refuse("60")
		read := func() int { return f.send(http.MethodGet, "/read/x", "", nil).status }
		So(read(), ShouldEqual, http.StatusServiceUnavailable)
		refusing.Restart()
		So(read(), ShouldEqual, http.StatusServiceUnavailable)
		f.refreshEntry("e1")
		So(read(), ShouldEqual, http.StatusOK)
	})
	for name, value := range map[string]string{"none": "", "no number": "soon", "a date": "Fri, 04 Dec 2026 10:00:00 GMT", "not finite": "1e999", "NaN": "NaN", "negative": "-3"} {
		Convey("A Retry-After that is "+name+" holds nothing off", t, func() {
			f := newFixture(t)
			refusing := f.add(t, "e1", "llm", "a")
			refusing.Refuse(value)
			for range 3 {
				f.sendPrompt("/plan/x")
			}
			So(f.server.Balancer.HeldOffEndpoints(f.now()), ShouldBeEmpty)
		})
	}
	Convey("An absurdly long one ends after some minutes", t, func() {
		f := newFixture(t)
		refusing := f.add(t, "e1", "llm", "a")
		refusing.Refuse("1e12")
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
		refusing.Refuse("")
		f.advance(4 * time.Minute)
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
		f.advance(2 * time.Minute)
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
	})
}

func TestRequestIsRefusedAtOnceWhenAllEndpointsAreHeldOff(t *testing.T) {
	Convey("With both engines held off, a caller is told at once that its request did not run, and the soonest end", t, func() {
		f := newFixture(t)
		first, second := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		first.Refuse("8")
		second.Refuse("4")
		So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusServiceUnavailable)
		f.advance(time.Second)
		got := f.sendPrompt("/talk/x")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(first.Refusals(), ShouldHaveLength, 1)
		So(second.Refusals(), ShouldHaveLength, 1)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(seconds, ShouldBeBetween, 2.5, 3.6) // the rest of 4 s, and a part of them at random
	})
}

func TestEndpointThatCrashesFromRefusingIsLeftAloneAfterARefusal(t *testing.T) {
	for name, test := range map[string]struct {
		statement string
		refusals  int // of three requests within a second
	}{
		"one refusal a second":  {"1", 1},
		"two refusals a second": {"2", 2},
		"no number":             {"many", 3},
		"nothing":               {"", 3},
	} {
		Convey("Given an endpoint without room that states "+name, t, func() {
			f := newFixture(t)
			refusals := 0
			f.add(t, "e1", "llm", "a").Intercept = func(w http.ResponseWriter, q *http.Request, _ int) bool {
				refusals++
				w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
				w.Header().Set("X-Not-Executed", "1")
				if test.statement != "" {
					w.Header().Set("Server-Brittle", test.statement)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			for range 3 {
				got := f.sendPrompt("/plan/x")
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			}
			So(refusals, ShouldEqual, test.refusals)
			Convey("it is tried again later", func() {
				f.advance(2 * time.Second)
				f.sendPrompt("/plan/x")
				So(refusals, ShouldEqual, test.refusals+1)
			})
		})
	}
}

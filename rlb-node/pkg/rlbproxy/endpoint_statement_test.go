package rlbproxy

import (
	"net/http"
	"testing"

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

package rlbproxy

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stateLimit makes answers state a limit of requests a second.
func stateLimit(perSecond string) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set("Server-Limit", perSecond)
		return false
	}
}

// Ten requests a second in two of the spans of four seconds that the limit is judged by.
const (
	requestInterval = 100 * time.Millisecond
	limitedRequests = 80
	allowedRequests = 8 * 2 * 3 / 2 // one and a half times a limit of two a second
)

func TestEndpointsGetNoMoreThanTheLimitThatTheyState(t *testing.T) {
	Convey("The requests beyond an engine's limit go to another engine", t, func() {
		f := newFixture(t)
		limited := f.add(t, "e1", "llm", "a")
		limited.Intercept = stateLimit("2.0")
		f.add(t, "e2", "llm", "a")
		for range limitedRequests {
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
			f.advance(requestInterval)
		}
		So(len(limited.Runs()), ShouldBeBetween, 1, allowedRequests)
	})
}

func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	Convey("The requests beyond the limit of the only engine are refused as not run, with Retry-After", t, func() {
		f := newFixture(t)
		limited := f.add(t, "e1", "llm", "a")
		limited.Intercept = stateLimit("2.0")
		refused := 0
		for range limitedRequests {
			got := f.sendPrompt("/plan/x")
			if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
				refused++
			}
			f.advance(requestInterval)
		}
		So(len(limited.Runs()), ShouldBeBetween, 1, allowedRequests)
		So(refused, ShouldEqual, limitedRequests-len(limited.Runs()))
	})
}

package rlbproxy

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// betweenCrashes is long enough that two crashes do not count as simultaneous.
const betweenCrashes = 2 * time.Second

// addCrashing adds endpoints that crash on a part of a prompt. The function that it
// returns takes the endpoint that crashed last out of service.
func (f *fixture) addCrashing(t *testing.T, part string, ids ...string) (replace func()) {
	t.Helper()
	crashed := make(chan string, len(ids))
	for _, id := range ids {
		f.add(t, id, "llm", "a").Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			if !strings.Contains(q.Header.Get("X-Prompt-Prefix"), part) {
				return false
			}
			crashed <- id
			panic(http.ErrAbortHandler)
		}
	}
	return func() { f.drain(<-crashed) }
}

// sendParts sends a request of its own to an engine; its prompt begins with the parts.
func (f *fixture) sendParts(n int, parts ...string) callerResult {
	own := strconv.Itoa(n)
	prefix := strings.Join(append(parts, "f"+own+":3"), ",")
	return f.send(http.MethodPost, "/plan/"+own, "prompt "+own, map[string]string{"X-Model": "m", "X-Token-Count": "10,4", "X-Prompt-Prefix": prefix})
}

func TestNewRequestsWithPartThatCrashesEndpointsAreRefused(t *testing.T) {
	Convey("Given five endpoints that crash on a part of a prompt", t, func() {
		f := newFixture(t)
		replace := f.addCrashing(t, "bad", "e1", "e2", "e3", "e4", "e5")
		Convey("requests with it are refused as not run after three crashes, requests with the other parts are served", func() {
			for n := range 3 {
				So(f.sendParts(n, "aa:9", "bad:5").status, ShouldEqual, http.StatusBadGateway)
				replace()
				So(f.sendParts(10+n, "aa:9", "bb:5").status, ShouldEqual, http.StatusOK)
				f.advance(betweenCrashes)
			}
			got := f.sendParts(20, "aa:9", "bad:5")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(f.sendParts(21, "aa:9", "bb:5").status, ShouldEqual, http.StatusOK)
		})
	})
}

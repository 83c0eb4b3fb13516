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

// crashOnPart breaks the connection of each request whose prompt has the part.
func crashOnPart(part string) func(http.ResponseWriter, *http.Request, int) bool {
	return func(_ http.ResponseWriter, q *http.Request, _ int) bool {
		if strings.Contains(q.Header.Get("X-Prompt-Prefix"), part) {
			panic(http.ErrAbortHandler)
		}
		return false
	}
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
		for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
			f.add(t, id, "llm", "a").Intercept = crashOnPart("bad")
		}
		Convey("requests with it are refused as not run after three crashes, requests with the other parts are served", func() {
			for n := range 3 {
				So(f.sendParts(n, "aa:9", "bad:5").status, ShouldEqual, http.StatusBadGateway)
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

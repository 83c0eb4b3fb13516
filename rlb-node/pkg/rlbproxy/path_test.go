package rlbproxy

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEncodedSlashDoesNotSelectAnotherRoute guards against a request that must run once and
// runs twice, because an encoded slash in its path was taken for the prefix of a route that
// may be repeated.
func TestEncodedSlashDoesNotSelectAnotherRoute(t *testing.T) {
	within := strings.Replace(strings.Replace(config, `"/read/"`, `"/write/read/"`, 1), `"Version":3`, `"Version":4`, 1)
	for path, runs := range map[string]int{"/write/read%2Fx": 1, "/write/read%2fx/y": 1, "/wr%69te/read/x": 2} {
		Convey("Given a route within the path of another one, which may be repeated, and endpoints that lose their answers, "+path, t, func() {
			f := newFixture(t)
			first, second := f.add(t, "e1", "plain", "a"), f.add(t, "e2", "plain", "b")
			first.Intercept, second.Intercept = cutConnection, cutConnection
			f.view.ApplyConfig([]byte(within), "test")
			So(f.send(http.MethodPost, path, "b", nil).status, ShouldEqual, http.StatusBadGateway)
			So(len(first.Runs())+len(second.Runs()), ShouldEqual, runs)
		})
	}
}

// TestPathIsForwardedAsItWasSent guards against an endpoint that runs a request with another
// path or host than the caller's.
func TestPathIsForwardedAsItWasSent(t *testing.T) {
	for _, path := range []string{"//reserve/17", "//reserve//17?a=b", "///", "//[x", "/a%2Fb?x=%20y", "/x?", "/a|b\"c?d|e", "/a//b/../c"} {
		Convey("The path "+path, t, func() {
			f := newFixture(t)
			everything := strings.Replace(strings.Replace(config, `"/write/"`, `"/"`, 1), `"Version":3`, `"Version":4`, 1)
			var got, host string
			f.add(t, "e1", "plain", "a").Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
				got, host = q.RequestURI, q.Host
				return false
			}
			f.view.ApplyConfig([]byte(everything), "test")
			So(f.sendRaw(path), ShouldStartWith, "HTTP/1.1 200 ")
			So(got, ShouldEqual, path)
			So(host, ShouldEqual, "h.example")
		})
	}
}

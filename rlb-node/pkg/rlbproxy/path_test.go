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

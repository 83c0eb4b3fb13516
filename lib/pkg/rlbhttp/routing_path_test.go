package rlbhttp

import (
	"net/url"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRoutingPath(t *testing.T) {
	for target, want := range map[string]string{
		"/parts/stock/x":             "/parts/stock/x",
		"/parts/stock%2Fvalve/x":     "/parts/stock%2Fvalve/x",
		"/parts/stock%2fvalve/x":     "/parts/stock%2Fvalve/x",
		"/p%61rts/%E2%82%AC%20x?a=b": "/parts/€ x",
		"//reserve/17":               "//reserve/17",
		"/parts/100%25/x":            "/parts/100%/x",
	} {
		Convey("The routing path of "+target, t, func() {
			u, err := url.ParseRequestURI(target)
			So(err, ShouldBeNil)
			So(RoutingPath(u), ShouldEqual, want)
		})
	}
}

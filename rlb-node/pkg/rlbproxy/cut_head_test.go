package rlbproxy

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswerThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	for name, raw := range map[string]string{
		"nothing":                       "",
		"half a status line":            "HTTP/1.1 20",
		"a status line":                 "HTTP/1.1 200 OK\r\n",
		"half a header":                 "HTTP/1.1 200 OK\r\nX-Server-Sta",
		"headers but no end":            head,
		"half a length":                 head + "Content-Length: 1",
		"an end without its newline":    head + "\r",
		"a length and half an end":      head + "Content-Length: 0\r\n\r",
		"a length and no body":          head + "Content-Length: 9\r\n\r\n",
		"chunks that do not begin":      head + "Transfer-Encoding: chunked\r\n\r\n",
		"the size of a chunk":           head + "Transfer-Encoding: chunked\r\n\r\n4\r\n",
		"chunks without the last one":   head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"half an interim answer before": "HTTP/1.1 100 Continue\r\n",
	} {
		for _, route := range []string{"/write/x", "/read/x", "/plan/x", "/talk/x"} {
			Convey("Of an answer with only "+name+" no caller gets a success at "+route, t, func() {
				f := newFixture(t)
				f.add(t, "e1", "llm", "a").Intercept = answerRaw(raw)
				f.add(t, "p1", "plain", "a").Intercept = answerRaw(raw)
				got := f.send(http.MethodPost, route, "prompt", map[string]string{"X-Model": modelOf(route), "X-Token-Count": "10,4"})
				So(got.err != nil || got.status == http.StatusBadGateway, ShouldBeTrue)
			})
		}
	}
}

// modelOf returns the model that requests for a route name.
func modelOf(route string) string {
	if route == "/plan/x" || route == "/talk/x" {
		return "m"
	}
	return ""
}

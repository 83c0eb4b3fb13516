package rlbproxy

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStreamsDoNotInterruptEachOther(t *testing.T) {
	Convey("An engine gets streams of routes of different priority with the same one", t, func() {
		f := newFixture(t)
		var priorities []string
		f.add(t, "e1", "llm", "a").Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			priorities = append(priorities, q.Header.Get("X-Request-Priority"))
			return false
		}
		So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusOK)
		So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
		So(priorities, ShouldResemble, []string{"0", "0"})
	})
}

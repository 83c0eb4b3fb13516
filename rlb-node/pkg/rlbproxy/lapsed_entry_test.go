package rlbproxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRunningStreamOutlivesTheEntryOfItsEndpoint(t *testing.T) {
	Convey("A stream goes on where it runs when the entry of its endpoint lapses, as the endpoint may only be slow to report", t, func() {
		f := newFixture(t)
		running, other := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		running.Intercept = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Stamp", "e1.1")
			for n := 1; n <= 4; n++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
				_ = http.NewResponseController(w).Flush()
				if n == 2 {
					f.view.ApplyList(f.entries[1:], 99, false)
					f.advance(time.Minute)
					f.view.Sweep()
					if f.view.Snapshot().ByID["e1"] != nil {
						t.Error("the entry did not lapse")
					}
				}
			}
			return true
		}
		got := f.sendPrompt("/talk/x")
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEndWith, "id: 4\ndata: 4\n\n")
		shouldHaveRun(running, 1)
		shouldHaveRun(other, 0)
	})
}

package rlblog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter is a writer whose writes block until open is closed.
type blockedWriter struct{ open chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) { <-b.open; return len(p), nil }

func TestHandler(t *testing.T) {
	Convey("Given a handler with limits", t, func() {
		var mu sync.Mutex
		now := time.Unix(1000, 0)
		clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
		var out bytes.Buffer
		h, cleanUp := New(&out, Opts{QueueSize: 100, RequestsPerSecond: 2, OthersPerSecond: 3}, clock)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		lines := func() []string {
			cleanUp()
			return strings.Split(strings.TrimSpace(out.String()), "\n")
		}
		Convey("each line is one JSON object", func() {
			logger.WithField("a", 1).Info("hello")
			var line struct{ Message string }
			So(json.Unmarshal([]byte(lines()[0]), &line), ShouldBeNil)
			So(line.Message, ShouldEqual, "hello")
		})
		Convey("lines about requests have their own limit, and dropped lines are reported", func() {
			for range 5 {
				logger.WithField(RequestField, "r").Info("request ended")
			}
			for range 3 {
				logger.Info("state changed")
			}
			now = now.Add(time.Second)
			logger.Info("next second")
			got := lines()
			So(got, ShouldHaveLength, 2+3+1+1)
			So(got[5], ShouldContainSubstring, `"dropped":3`)
			So(h.Dropped(), ShouldEqual, 3)
		})
	})
	Convey("A blocked writer does not block logging", t, func() {
		w := blockedWriter{make(chan struct{})}
		h, cleanUp := New(w, Opts{QueueSize: 4, RequestsPerSecond: 1000, OthersPerSecond: 1000}, time.Now)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		for range 100 {
			logger.Info("x")
		}
		So(h.Dropped(), ShouldBeGreaterThanOrEqualTo, 94)
		close(w.open)
		cleanUp()
	})
}

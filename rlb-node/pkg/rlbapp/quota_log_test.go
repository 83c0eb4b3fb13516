package rlbapp

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
	. "github.com/smartystreets/goconvey/convey"
)

func TestQuotaLog(t *testing.T) {
	Convey("Given a workspace within its quota", t, func() {
		lines, now := memory.New(), time.Unix(1000, 0)
		q := newQuotaLog(&log.Logger{Handler: lines, Level: log.InfoLevel})
		update := func(refused uint64) int {
			now = now.Add(sweepPeriod)
			q.update(now, []rlbquota.State{{Workspace: "w", Refused: refused}})
			return len(lines.Entries)
		}
		So(update(0), ShouldEqual, 0)
		Convey("the first refusal is logged, the next ones are not, and their end is with their number", func() {
			So(update(3), ShouldEqual, 1)
			So(update(40), ShouldEqual, 1)
			now = now.Add(quotaQuietTime)
			So(update(40), ShouldEqual, 2)
			So(lines.Entries[1].Fields["refused"], ShouldEqual, uint64(40))
			So(update(40), ShouldEqual, 2)
			So(update(41), ShouldEqual, 3)
		})
		Convey("a quota that was forgotten in between begins anew", func() {
			update(5)
			now = now.Add(quotaQuietTime)
			So(update(1), ShouldEqual, 2)
		})
	})
}

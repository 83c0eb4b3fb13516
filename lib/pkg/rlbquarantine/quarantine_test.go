package rlbquarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	. "github.com/smartystreets/goconvey/convey"
)

var now = time.Unix(1_000_000, 0)

func crash(fingerprint uint64, endpoint string, age time.Duration) rlbfleetstate.Crash {
	return rlbfleetstate.Crash{
		CrashKey: rlbfleetstate.CrashKey{Fingerprint: fingerprint, Endpoint: endpoint},
		Model:    "m", Deadline: now.Add(CrashTTL - age).Unix(),
	}
}

func threeEndpoints(string) []string { return []string{"a", "b", "c"} }

func TestAssignSlot(t *testing.T) {
	var crashes []rlbfleetstate.Crash
	for f := range 5 {
		crashes = append(crashes, crash(uint64(f), "x", time.Second))
	}
	slots := func(crashes []rlbfleetstate.Crash) (where []string) {
		for f := range 5 {
			endpoint, ok := AssignSlot(crashes, Request{uint64(f), "m"}, threeEndpoints, now)
			where = append(where, fmt.Sprint(endpoint, ok))
		}
		return where
	}
	Convey("no two quarantined requests run on one endpoint, and each gets a slot eventually", t, func() {
		open, runs := slices.Clone(crashes), 0
		for range len(crashes) {
			used := map[string]bool{}
			for f, where := range slots(open) {
				if where == "false" {
					continue
				}
				So(used[where], ShouldBeFalse)
				used[where] = true
				open[f].Phase = rlbfleetstate.QuarantineCleared
				runs++
			}
		}
		So(runs, ShouldEqual, len(crashes))
	})
	Convey("the order of the crash records does not matter", t, func() {
		reversed := slices.Clone(crashes)
		slices.Reverse(reversed)
		So(slots(reversed), ShouldResemble, slots(crashes))
	})
	Convey("an endpoint on which a quarantined request runs is not assigned to another, even to the first request that waits for it", t, func() {
		var first string
		changed := slices.Clone(crashes)
		for f, where := range slots(crashes) {
			if endpoint, ok := strings.CutSuffix(where, "true"); ok {
				first = endpoint
				changed[f].Phase, changed[f].RunsOn = rlbfleetstate.QuarantineRunning, endpoint
				break
			}
		}
		So(slots(changed), ShouldNotContain, first+"true")
	})
	Convey("a request that is cleared, has two crash records or exceeds the slot timeout does not block others", t, func() {
		changed := slices.Clone(crashes)
		for f := range 4 {
			changed[f].Phase = rlbfleetstate.QuarantineCleared
		}
		changed[1] = crash(1, "x", slotTimeout+time.Second)
		changed[2].Phase = rlbfleetstate.QuarantineWaiting
		changed = append(changed, crash(2, "y", 0))
		So(slots(changed)[4], ShouldNotEqual, "false")
		So(slots(changed)[:4], ShouldResemble, []string{"false", "false", "false", "false"})
	})
	Convey("crash records count until they are cleared or expire", t, func() {
		twice := []rlbfleetstate.Crash{crash(7, "x", 0), crash(7, "y", 0), crash(8, "x", 0)}
		So(CountCrashes(twice, 7, now), ShouldEqual, 2)
		So(CountCrashes(twice, 7, now.Add(CrashTTL)), ShouldEqual, 0)
		twice[0].Phase = rlbfleetstate.QuarantineCleared
		So(CountCrashes(twice, 7, now), ShouldEqual, 1)
	})
}

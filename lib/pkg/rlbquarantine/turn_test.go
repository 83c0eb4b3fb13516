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

func strike(fingerprint uint64, endpoint string, age time.Duration) rlbfleetstate.Crash {
	return rlbfleetstate.Crash{
		CrashKey: rlbfleetstate.CrashKey{Fingerprint: fingerprint, Endpoint: endpoint},
		Model:    "m", Deadline: now.Add(CrashTTL - age).Unix(),
	}
}

func three(string) []string { return []string{"a", "b", "c"} }

func TestTurn(t *testing.T) {
	var strikes []rlbfleetstate.Crash
	for f := range 5 {
		strikes = append(strikes, strike(uint64(f), "x", time.Second))
	}
	turns := func(strikes []rlbfleetstate.Crash) (where []string) {
		for f := range 5 {
			endpoint, ok := AssignSlot(strikes, Request{uint64(f), "m"}, three, now)
			where = append(where, fmt.Sprint(endpoint, ok))
		}
		return where
	}
	Convey("no two suspects run on one endpoint, and each has its turn in the end", t, func() {
		open, runs := slices.Clone(strikes), 0
		for range len(strikes) {
			used := map[string]bool{}
			for f, where := range turns(open) {
				if where == "false" {
					continue
				}
				So(used[where], ShouldBeFalse)
				used[where] = true
				open[f].Phase = rlbfleetstate.QuarantineCleared
				runs++
			}
		}
		So(runs, ShouldEqual, len(strikes))
	})
	Convey("the order in which strikes came does not matter", t, func() {
		reversed := slices.Clone(strikes)
		slices.Reverse(reversed)
		So(turns(reversed), ShouldResemble, turns(strikes))
	})
	Convey("an endpoint on which a suspect runs is not given to another, also when others make way", t, func() {
		var first string
		changed := slices.Clone(strikes)
		for f, where := range turns(strikes) {
			if endpoint, ok := strings.CutSuffix(where, "true"); ok {
				first = endpoint
				changed[f].Phase, changed[f].RunsOn = rlbfleetstate.QuarantineRunning, endpoint
				break
			}
		}
		So(turns(changed), ShouldNotContain, first+"true")
	})
	Convey("who is cleared, struck twice, or too slow keeps nobody waiting", t, func() {
		changed := slices.Clone(strikes)
		for f := range 4 {
			changed[f].Phase = rlbfleetstate.QuarantineCleared
		}
		changed[1] = strike(1, "x", turnTime+time.Second)
		changed[2].Phase = rlbfleetstate.QuarantineWaiting
		changed = append(changed, strike(2, "y", 0))
		So(turns(changed)[4], ShouldNotEqual, "false")
		So(turns(changed)[:4], ShouldResemble, []string{"false", "false", "false", "false"})
	})
	Convey("strikes count until they are cleared or lapse", t, func() {
		twice := []rlbfleetstate.Crash{strike(7, "x", 0), strike(7, "y", 0), strike(8, "x", 0)}
		So(CountCrashes(twice, 7, now), ShouldEqual, 2)
		So(CountCrashes(twice, 7, now.Add(CrashTTL)), ShouldEqual, 0)
		twice[0].Phase = rlbfleetstate.QuarantineCleared
		So(CountCrashes(twice, 7, now), ShouldEqual, 1)
	})
}

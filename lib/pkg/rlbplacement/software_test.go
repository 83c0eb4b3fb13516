package rlbplacement

import (
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSoftwareVersions answers the crash of the only engine of its software version with a
// model: the streams that it had begun cannot go on at an engine of another version.
func TestSoftwareVersions(t *testing.T) {
	m, other := model("m", 6), model("other", 6)
	opts := Opts{MoveWeight: 0.2, Slots: 10, LoadsAtOnce: 8, Searches: 8, Replicas: 2}
	of := func(software string, e Engine) Engine { e.Software = software; return e }
	plan := func(engines ...Engine) []string {
		return lines(Plan(Input{Note: noteOf(m), Engines: engines, Settled: true}, opts))
	}
	Convey("Given a model with two replicas of one software version and one of another", t, func() {
		engines := []Engine{of("s1", engineOf("a", 6, readyOf(m))), of("s1", engineOf("b", 6, readyOf(m))), of("s2", engineOf("c", 6, readyOf(m)))}
		Convey("the other gets a second one where memory is free", func() {
			So(plan(append(engines, of("s2", engineOf("d", 6)))...), ShouldResemble, []string{"load m@v1 on d: second replica of software version s2"})
		})
		Convey("but not on an engine of the first version", func() {
			So(plan(append(engines, of("s1", engineOf("d", 6)))...), ShouldBeEmpty)
		})
		Convey("nor if the version has no other engine that stays", func() {
			leaving := of("s2", engineOf("d", 6))
			leaving.Leaving = true
			So(plan(append(engines, leaving)...), ShouldBeEmpty)
		})
		Convey("nor while a replica is being loaded", func() {
			So(plan(append(engines, of("s2", engineOf("d", 6, loadingOf(m))), of("s2", engineOf("e", 6)))...), ShouldBeEmpty)
		})
		Convey("nor if all engines have one version", func() {
			for i := range engines {
				engines[i].Software = "s1"
			}
			So(plan(append(engines, of("s1", engineOf("d", 6)))...), ShouldBeEmpty)
		})
	})
	Convey("A spare replica joins the first one in its version, though another engine has more memory", t, func() {
		engines := []Engine{of("s1", engineOf("a", 6, readyOf(m))), of("s2", engineOf("b", 20)), of("s1", engineOf("c", 6)), of("s2", engineOf("d", 20))}
		So(plan(engines...), ShouldResemble, []string{"load m@v1 on c: spare replica"})
	})
	busy := rlbengine.Resident{Name: "gone", Phase: rlbengine.PhaseLoading, Memory: 6} // cannot be unloaded
	Convey("Given a model with two replicas of a software version, and no free memory", t, func() {
		engines := []Engine{of("s1", engineOf("a", 6, readyOf(m))), of("s1", engineOf("b", 6, readyOf(m))), of("s2", engineOf("c", 6, readyOf(m))), of("s2", engineOf("d", 6, busy))}
		missing := Input{Note: noteOf(m, other), Engines: engines}
		hot := Input{Note: noteOf(m, other), Engines: append(engines, of("s2", engineOf("e", 6, readyOf(other)))), Demand: map[string]float64{"other": 60}}
		Convey("a model without replicas gets the memory of the lone replica of the other version", func() {
			So(lines(Plan(missing, opts)), ShouldResemble, []string{"unload m@v1 on c: makes room for other"})
		})
		Convey("or that of one of the two, if there is no other way and it is asked for more", func() {
			engines[2] = of("s2", engineOf("c", 6, busy))
			missing.Demand = map[string]float64{"other": 2, "m": 1}
			So(lines(Plan(missing, opts)), ShouldResemble, []string{"unload m@v1 on a: makes room for other"})
			Convey("but not if it is asked for less", func() {
				missing.Demand["m"] = 3
				So(Plan(missing, opts), ShouldBeEmpty)
			})
		})
		Convey("a hot model does not get that of one of the two", func() {
			engines[2] = of("s2", engineOf("c", 6, busy))
			hot.Engines[2] = engines[2]
			So(Plan(hot, opts), ShouldBeEmpty)
			Convey("but if all engines have one version", func() {
				for i := range hot.Engines {
					hot.Engines[i].Software = "s1"
				}
				So(lines(Plan(hot, opts)), ShouldResemble, []string{"unload m@v1 on a: makes room for other"})
			})
		})
	})
}

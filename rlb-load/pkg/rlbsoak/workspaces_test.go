package rlbsoak

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCheckQuota(t *testing.T) {
	Convey("Given a run of the length of a window", t, func() {
		f := newFixture()
		f.opts.Length = quotaWindow
		runs := map[string][]endpointRun{}
		add := func(n int, workspace string, from float64) {
			x := f.exchange(kindRead, 200)
			x.id, x.workspace = string(rune('A'+n)), workspace
			f.exchanges = append(f.exchanges, x)
			runs[x.id] = []endpointRun{f.run(from+0.5, from+1), f.run(from, from+0.2)}
		}
		Convey("requests over time within the rate and the burst are right, each counts once", func() {
			for n := range 200 {
				add(n, "batch", float64(n)/12)
			}
			f.checkQuota(runs)
			shouldReport(f)
		})
		Convey("more of them in a window are reported, those of another workspace are not", func() {
			for n := range 200 {
				add(n, []string{"batch", "crew"}[n%2], float64(n)/200)
			}
			f.checkQuota(runs)
			shouldReport(f)
			for n := range 40 {
				add(200+n, "batch", 2)
			}
			f.checkQuota(runs)
			shouldReport(f, "quota")
		})
		Convey("hardly any requests that ran are reported", func() {
			add(1, "batch", 1)
			f.checkQuota(runs)
			shouldReport(f, "quota")
		})
	})
	Convey("Given a request of a workspace", t, func() {
		f := newFixture()
		x := f.exchange(kindRead, 200)
		x.workspace = "crew"
		run := f.run(10, 10.1)
		run.Workspace = "crew"
		Convey("a run for it without the key is right", func() {
			f.checkExchange(x, []endpointRun{run})
			shouldReport(f)
		})
		Convey("a run for another one, with the key, or a refusal for want of a key is not", func() {
			run.WithKey = true
			f.checkExchange(x, []endpointRun{run})
			run.Workspace, run.WithKey = "batch", false
			f.checkExchange(x, []endpointRun{run})
			x.status = 401
			f.checkExchange(x, nil)
			So(f.violations["identity"], ShouldEqual, 3)
		})
	})
}

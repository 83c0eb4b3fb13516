package rlbapp

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbspillover"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbscheduler"
	. "github.com/smartystreets/goconvey/convey"
)

// newSpilloverApp returns an instance of domain x, which has an endpoint here and one in domain
// y with model m.
func newSpilloverApp(name string, now func() time.Time) *app {
	a := newTestApp(name, rlbfake.NewObjects(), false)
	a.registry, a.balancer, a.scheduler = metrics.NewRegistry(), rlbbalancer.New(), rlbscheduler.New(rlbscheduler.Opts{Log: a.Log, API: a.api, Now: now})
	a.limiter = rlbratelimit.New(rlbratelimit.Opts{Now: now, Random: func() float64 { return 0 }, Peers: a.peerLimits})
	settings, err := rlbsettings.Parse("test", []byte("[instance]\nid = a\nfailure_domain = x\n[node]\nspillover = true\n"), rlbsettings.ForNode)
	So(err, ShouldBeNil)
	a.Settings = settings
	a.view = rlbdiscovery.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, decoder{}, rlbclock.Now, time.Second)
	var entries []rlbobject.Object
	for _, domain := range []string{"x", "y"} {
		entry, err := json.Marshal(map[string]any{
			"Service": "s", "Address": "127.0.0.1:1", "Zone": domain, "Slots": 4, "State": "ready", "Version": "v1", "Seq": 1, "born": 1, "Models": []map[string]any{{"Name": "m", "Adapters": []string{}}},
		})
		So(err, ShouldBeNil)
		entries = append(entries, rlbobject.Object{Name: "e" + domain, Version: 1, Value: entry})
	}
	a.view.ApplyList(entries, 1, false)
	return a
}

func TestSpillover(t *testing.T) {
	Convey("Given the delegate of a domain whose endpoint is busy, beside one that is idle", t, func() {
		a := newSpilloverApp("a", rlbclock.Now)
		s := newSpillover(a)
		So(s, ShouldNotBeNil)
		home := a.view.Snapshot().ByID["ex"]
		for range 40 {
			a.balancer.Begin(home, rlbbalancer.RequestLoad{})
		}
		key := rlbspillover.Key("s/m", "x", "y")
		Convey("both domains are compared for each model, by the average wait", func() {
			pools := s.pools(rlbclock.Now())
			So(len(pools), ShouldEqual, 1)
			for _, d := range pools["s/m"] {
				So(d.Endpoints, ShouldEqual, 1)
				So(d.Wait > 0, ShouldEqual, d.Name == "x")
			}
		})
		Convey("it publishes shares, which others of its domain apply", func() {
			shares := rlbpeer.NewSpillover("x", []rlbspillover.Flow{{Pool: "s/m", Domain: "y", Share: 1}})
			b := newSpilloverApp("b", rlbclock.Now)
			other := newSpillover(b)
			So(other.Costs("s/m")("y"), ShouldEqual, rlbbalancer.CrossDomainCost)
			b.fleet.ApplyDigest(rlbclock.Now(), rlbpeer.Digest{Name: "a", Domain: "x", Address: "a:1", Sequence: 1, Spillover: shares})
			So(other.Costs("s/m")("y"), ShouldBeLessThan, rlbbalancer.CrossDomainCost)
		})
		Convey("a domain that sends here is seen and avoided", func() {
			a.fleet.ApplySummary(rlbclock.Now(), rlbpeer.Summary{Domain: "y", From: "c", Address: "c:1", Sequence: 1, Spillover: rlbpeer.NewSpillover("y", []rlbspillover.Flow{{Pool: "s/m", Domain: "x", Share: 0.1}})})
			for _, d := range s.pools(rlbclock.Now())["s/m"] {
				So(d.SendsHere, ShouldEqual, d.Name == "y")
			}
			So(s.Costs("s/m")("y"), ShouldBeGreaterThan, rlbbalancer.CrossDomainCost)
		})
		Convey("an instance that is not the delegate publishes nothing", func() {
			s.controller.Update(s.pools(rlbclock.Now()))
			a.fleet.ApplyDigest(rlbclock.Now(), rlbpeer.Digest{Name: "0", Domain: "x", Address: "0:1", Sequence: 1})
			s.step()
			So(s.shares.Load().Share(key), ShouldEqual, 0)
		})
	})
	Convey("Without the setting there is none", t, func() {
		a := newSpilloverApp("a", rlbclock.Now)
		So(a.Settings.Override("node.spillover=false"), ShouldBeNil)
		So(newSpillover(a), ShouldBeNil)
	})
}

func TestSummaryHasTheSpilloverOfTheDelegate(t *testing.T) {
	Convey("Shares pass from a digest to the summary of the domain", t, func() {
		fleet, now := rlbpeer.NewFleet("a", "x"), time.Unix(1000, 0)
		own := rlbpeer.NewSpillover("x", []rlbspillover.Flow{{Pool: "s/m", Domain: "y", Share: 0.5}})
		fleet.ApplyDigest(now, rlbpeer.Digest{Name: "b", Domain: "x", Address: "b:1", Sequence: 1, Spillover: own, Traffic: map[string]uint32{"y": 7}})
		summary := fleet.Summarize(now, rlbpeer.Digest{Name: "a", Domain: "x"})
		So(fmt.Sprint(summary.Spillover), ShouldEqual, fmt.Sprint(own))
		So(fleet.SpilloverShare(now, rlbspillover.Key("s/m", "x", "y")), ShouldAlmostEqual, 0.5, 0.01)
		So(fleet.Traffic(now)["y"], ShouldEqual, 7)
	})
}

package rlbcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	. "github.com/smartystreets/goconvey/convey"
)

// row is a row received from a failure domain: one of a gateway, or one of a
// controller with the summary of the domain's gateways.
type row struct {
	domain   string
	gateways int // in a summary; 0 for a gateway's row
	version  uint64
	inFlight int
	refused  float64 // requests per second
}

func (r row) process(i int) rlbfleetstate.Process {
	demand := []rlbfleetstate.Demand{{Model: "m", InFlight: r.inFlight, Refused: r.refused}}
	process := rlbfleetstate.Process{ProcessKey: rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessGateway, ID: fmt.Sprint("n", i)}, StartedAt: 1, FailureDomain: r.domain, NoteVersion: r.version, Demand: demand}
	if r.gateways > 0 {
		process.Type, process.Demand = rlbfleetstate.ProcessController, nil
		process.Domain = &rlbfleetstate.DomainSummary{Gateways: r.gateways, NoteVersion: r.version, Demand: demand}
	}
	return process
}

func TestSummaries(t *testing.T) {
	cases := []struct {
		name     string
		rows     []row
		gateways int
		lowest   uint64
		inFlight float64
	}{
		{"counts the gateways' own rows", []row{{"a", 0, 2, 3, 0}, {"b", 0, 1, 4, 0}}, 2, 1, 7},
		{"uses summaries for domains without gateway rows", []row{{"a", 0, 2, 3, 0}, {"b", 30, 2, 40, 0}, {"c", 31, 1, 50, 0}}, 62, 1, 93},
		{"counts no request twice for a domain with a summary and rows", []row{{"a", 0, 2, 3, 0}, {"b", 0, 2, 4, 0}, {"b", 0, 2, 5, 0}, {"b", 2, 2, 9, 0}}, 3, 2, 12},
		{"uses the summary for a domain of which only some rows were received", []row{{"a", 0, 2, 3, 0}, {"b", 0, 2, 4, 0}, {"b", 30, 1, 40, 0}}, 31, 1, 43},
		{"uses the summary with more gateways and the lower version of two", []row{{"b", 1, 1, 2, 0}, {"b", 30, 2, 40, 0}}, 30, 1, 40},
		{"counts a refused request as in flight for a second", []row{{"a", 0, 2, 3, 2}, {"b", 30, 2, 40, 10}}, 31, 2, 55},
		{"ignores a summary of the controller's own domain", []row{{"a", 0, 2, 3, 0}, {"a", 5, 1, 50, 0}}, 1, 2, 3},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(tc.name, t, func() {
				c := (&testFleet{replicas: 1}).newController(t, "c0", "a")
				now := time.Now()
				c.fleet.MergeNote(rlbnote.State{Version: 2, Models: map[string]rlbnote.Model{"m": {Name: "m"}}})
				for i, r := range tc.rows {
					c.fleet.MergeHeartbeat(r.process(i), rlbfleetstate.OriginOtherDomain, now)
				}
				gateways, lowest := c.gatewayVersions(now)
				So(gateways, ShouldEqual, tc.gateways)
				So(lowest, ShouldEqual, tc.lowest)
				c.averageDemand(now)
				So(c.demand["m"], ShouldAlmostEqual, demandWeight*tc.inFlight)
				c.fleet.MergeNote(rlbnote.State{Version: 3})
				c.averageDemand(now)
				So(c.demand, ShouldBeEmpty)
			})
		})
	}
}

func TestSlots(t *testing.T) {
	c := (&testFleet{replicas: 1}).newController(t, "c0", "a")
	Convey("uses the default until an endpoint has reported its slots", t, func() {
		So(c.meanSlots(), ShouldEqual, defaultSlots)
	})
	Convey("uses the mean of the reported slots", t, func() {
		for i, slots := range []int{8, 16, 0, 24} {
			c.fleet.Merge(rlbfleetstate.Update{Loads: []rlbfleetstate.Load{{ID: fmt.Sprint("e", i), Report: 1, Slots: slots}}}, rlbfleetstate.OriginSameDomain, time.Now())
		}
		So(c.meanSlots(), ShouldEqual, 16)
	})
}

func TestSummaryCarriesRefused(t *testing.T) {
	Convey("the summary of a failure domain adds up the requests that its gateways refused", t, func() {
		c := (&testFleet{replicas: 1}).newController(t, "c0", "a")
		now := time.Now()
		for i := range 3 {
			c.fleet.MergeHeartbeat(row{"a", 0, 1, 1, 2}.process(i), rlbfleetstate.OriginSelf, now)
		}
		So(c.domainSummary(now).Demand, ShouldResemble, []rlbfleetstate.Demand{{Model: "m", InFlight: 3, Refused: 6}})
	})
}

package rlbcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
	. "github.com/smartystreets/goconvey/convey"
)

// row is what is heard of a failure domain: a gateway's own row, or a summary
// of its gateways.
type row struct {
	domain   string
	gateways int // of a summary; 0: a gateway's row
	version  uint64
	inFlight int
}

func (r row) node(i int) rlbworld.Node {
	demand := []rlbworld.Demand{{Model: "m", InFlight: r.inFlight}}
	node := rlbworld.Node{NodeKey: rlbworld.NodeKey{Type: rlbworld.NodeGateway, ID: fmt.Sprint("n", i)}, Epoch: 1, FailureDomain: r.domain, NoteVersion: r.version, Demand: demand}
	if r.gateways > 0 {
		node.Type, node.Demand = rlbworld.NodeController, nil
		node.Domain = &rlbworld.Summary{Gateways: r.gateways, NoteVersion: r.version, Demand: demand}
	}
	return node
}

func TestSummaries(t *testing.T) {
	cases := []struct {
		name     string
		rows     []row
		gateways int
		lowest   uint64
		inFlight float64
	}{
		{"gateways' own rows count", []row{{"a", 0, 2, 3}, {"b", 0, 1, 4}}, 2, 1, 7},
		{"where they are not told, summaries do", []row{{"a", 0, 2, 3}, {"b", 30, 2, 40}, {"c", 31, 1, 50}}, 62, 1, 93},
		{"where both are told, no request counts twice", []row{{"a", 0, 2, 3}, {"b", 0, 2, 4}, {"b", 0, 2, 5}, {"b", 2, 2, 9}}, 3, 2, 12},
		{"where only some rows are told, the summary counts", []row{{"a", 0, 2, 3}, {"b", 0, 2, 4}, {"b", 30, 1, 40}}, 31, 1, 43},
		{"of two summaries the fuller and the lower version", []row{{"b", 1, 1, 2}, {"b", 30, 2, 40}}, 30, 1, 40},
		{"the summary of the own domain does not", []row{{"a", 0, 2, 3}, {"a", 5, 1, 50}}, 1, 2, 3},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(tc.name, t, func() {
				c := (&rig{replicas: 1}).controller(t, "c0", "a")
				now := time.Now()
				c.world.MergeNote(rlbnote.State{Version: 2, Models: map[string]rlbnote.Model{"m": {Name: "m"}}})
				for i, r := range tc.rows {
					c.world.MergeNode(r.node(i), rlbworld.OriginForeign, now)
				}
				gateways, lowest := c.inForce(now)
				So(gateways, ShouldEqual, tc.gateways)
				So(lowest, ShouldEqual, tc.lowest)
				c.averageDemand(now)
				So(c.demand["m"], ShouldAlmostEqual, demandWeight*tc.inFlight)
				c.world.MergeNote(rlbnote.State{Version: 3})
				c.averageDemand(now)
				So(c.demand, ShouldBeEmpty)
			})
		})
	}
}

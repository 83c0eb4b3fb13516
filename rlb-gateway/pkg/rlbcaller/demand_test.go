package rlbcaller

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	. "github.com/smartystreets/goconvey/convey"
)

func TestDemandMeter(t *testing.T) {
	Convey("a model is reported while a request for it is in flight, and removed afterwards", t, func() {
		d := newDemandMeter()
		start := d.since
		endRequest := d.beginRequest("m")
		all, counts := d.collect(start.Add(time.Second))
		So(all, ShouldResemble, []rlbfleetstate.Demand{{Model: "m", Requests: 1, InFlight: 1}})
		So(counts, ShouldBeEmpty)
		endRequest(rlbburn.Count{Good: 1})
		all, counts = d.collect(start.Add(2 * time.Second))
		So(all, ShouldBeEmpty)
		So(counts, ShouldResemble, []rlbfleetstate.Burn{{Model: "m", Count: rlbburn.Count{Good: 1}}})
		So(d.models, ShouldBeEmpty)
	})
}

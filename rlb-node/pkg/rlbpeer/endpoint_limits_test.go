package rlbpeer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLimits(t *testing.T) {
	Convey("Given another instance, another domain and the own domain's summary", t, func() {
		now := time.Unix(1000, 0)
		key := EndpointKey("e")
		f := NewFleet("a", "x")
		limits := func(limit float64, age time.Duration, sent float64) map[uint32]EndpointLimit {
			return map[uint32]EndpointLimit{key: NewEndpointLimit(now, rlbratelimit.Statement{PerSecond: limit, At: now.Add(-age)}, rlbratelimit.Demand{Wanted: [3]float64{1, 0, 2}, Sent: sent})}
		}
		f.ApplyDigest(now, Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 1, Limits: limits(3, time.Second, 4)})
		f.ApplySummary(now, Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1, Limits: limits(0, 500*time.Millisecond, 1)})
		Convey("rates add up and the latest statement holds, also one that states no limit", func() {
			So(f.Limits(now, key), ShouldResemble, rlbratelimit.Peers{
				Statement: rlbratelimit.Statement{At: now.Add(-500 * time.Millisecond)}, Demand: rlbratelimit.Demand{Wanted: [3]float64{2, 0, 4}, Sent: 5},
			})
			So(f.Limits(now, key+1), ShouldResemble, rlbratelimit.Peers{})
		})
		Convey("silent instances and domains do not count", func() {
			So(f.Limits(now.Add(2*LivenessTimeout), key), ShouldResemble, rlbratelimit.Peers{})
		})
		Convey("a summary has the sum over the domain, with the age of the statement when it is sent", func() {
			own := Digest{Name: "a", Domain: "x", Limits: map[uint32]EndpointLimit{key: NewEndpointLimit(now, rlbratelimit.Statement{}, rlbratelimit.Demand{Wanted: [3]float64{1}})}}
			got := f.Summarize(now.Add(100*time.Millisecond), own).Limits[key]
			So(got, ShouldResemble, EndpointLimit{Limit: 3, AgeMs: 1100, Wanted: []float32{2, 0, 2}, Sent: 4})
		})
	})
}

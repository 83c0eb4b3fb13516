package rlbpeer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
	. "github.com/smartystreets/goconvey/convey"
)

func TestQuotas(t *testing.T) {
	Convey("Given an instance with a workspace at its limit", t, func() {
		now := time.Unix(1000, 0)
		fleet := NewFleet("a", "x")
		limiter := rlbquota.New(rlbquota.Opts{
			Now: func() time.Time { return now }, Random: func() float64 { return 0 }, Domain: "x",
			Registered: func() map[string]int { return fleet.RegisteredInstances(now) }, InForce: func() bool { return true },
		})
		link := &Link{fleet: fleet, quotas: limiter}
		now = now.Add(time.Minute)
		quota := rlbdeployment.NewQuota(1000, 1000, rlbdeployment.UnitTokens, 1)
		limiter.Admit("w", quota, 500)
		key := rlbquota.Key("w")
		send := func(p packet) {
			data, err := encodePacket(p)
			So(err, ShouldBeNil)
			decoded, err := decodePacket(data)
			So(err, ShouldBeNil)
			link.applyQuotas(decoded)
		}
		asked := func() float64 {
			limiter.Usages()
			return limiter.States()[0].Asked
		}
		alone := asked()
		digest := Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 1, Quotas: []QuotaUsage{{Workspace: key, Asked: 300}}}
		summary := Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1, Members: 3, QuotasKnown: true, Quotas: []QuotaUsage{{Workspace: key, Asked: 700, Reserved: 2500}}}
		Convey("what digests and summaries say about it counts", func() {
			send(packet{Digest: &digest})
			So(asked(), ShouldAlmostEqual, alone+300)
			send(packet{Summary: &summary})
			So(asked(), ShouldAlmostEqual, alone+1000)
			So(limiter.States()[0].Reserved, ShouldAlmostEqual, 0.25)
		})
		Convey("messages of this instance and its domain, and of builds without quotas, do not", func() {
			digest.Name = "a"
			send(packet{Digest: &digest})
			summary.Domain = "x"
			send(packet{Summary: &summary})
			send(packet{Summary: &Summary{Domain: "z", From: "d", Incarnation: 1, Sequence: 1, Members: 3}})
			So(asked(), ShouldAlmostEqual, alone)
		})
		Convey("usages are the same after they were sent", func() {
			usages := []rlbquota.Usage{{Workspace: key, Used: 1024, Asked: 0.5, Level: -64, Reserved: 0.25}}
			So(decodeQuotaUsages(NewQuotaUsages(usages)), ShouldResemble, usages)
		})
	})
}

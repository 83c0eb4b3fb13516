package rlbbalancer

import (
	"strconv"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbpace"
	. "github.com/smartystreets/goconvey/convey"
)

// engines returns n endpoints of one service, e0, e1 and so on.
func engines(n int) []*rlbdeployment.Endpoint {
	var all []*rlbdeployment.Endpoint
	for i := range n {
		all = append(all, &rlbdeployment.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Domain: "a", Slots: 32})
	}
	return all
}

// BenchmarkComparePace compares the endpoints of a service, as is done once in paceInterval.
func BenchmarkComparePace(b *testing.B) {
	balancer, all, now := New(), engines(140), time.Unix(1000, 0)
	reported := func(string) Load {
		return Load{Steps: rlbpace.Reports{Sum: 8 * time.Millisecond, Count: 1}}
	}
	for b.Loop() {
		now = now.Add(paceInterval)
		balancer.learnPace(now, all, reported)
	}
}

func TestPaceOfEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engines(8)
	steps := map[string]time.Duration{}
	for _, e := range all {
		steps[e.ID] = 8 * time.Millisecond
	}
	steps["e0"], steps["e1"] = 16*time.Millisecond, 16*time.Millisecond
	requirements := Requirements{
		Domain: "a", Model: "m", Fits: func(*rlbdeployment.Endpoint) bool { return true },
		OtherLoad: func(id string) Load { return Load{Steps: rlbpace.Reports{Sum: 3 * steps[id], Count: 3}} },
	}
	Convey("With one endpoint in four at half the speed", t, func() {
		b := New()
		usual := b.Capacity(all[7], true)
		Convey("under a wave of prompts the slow ones get less than the others, and their wait counts as longer", func() {
			got := map[string]int{}
			for range 120 {
				choice := b.Pick(now, all, requirements)
				got[choice.Endpoint.ID]++
				b.Begin(choice.Endpoint, RequestLoad{PromptTokens: 1000})
			}
			So(got["e0"]+got["e1"], ShouldBeBetween, 10, 22)
			So(b.SlowEndpoints(), ShouldEqual, 2)
			slow := b.Capacity(all[0], true)
			So(slow.Speed, ShouldEqual, 0.5)
			So(slow.PrefillRate, ShouldEqual, usual.PrefillRate/2)
			So(slow.ServiceTime, ShouldEqual, 2*usual.ServiceTime)
			So(Load{UnreadTokens: 1900}.Wait(slow, false), ShouldAlmostEqual, 2*Load{UnreadTokens: 1900}.Wait(usual, false), time.Microsecond)
		})
		Convey("one that restarts counts as usual until its steps are known again", func() {
			b.Pick(now, all, requirements)
			restarted := *all[0]
			restarted.StartedAt = now
			So(b.Capacity(&restarted, true).Speed, ShouldEqual, 1)
		})
		Convey("the prefill rate of the service does not depend on which endpoints answered", func() {
			b.Pick(now, all, requirements)
			for n := range 3000 {
				tokens := 200 + n*37%6000
				b.RecordPrefill(all[n%len(all)], tokens, time.Duration(float64(tokens)/40/b.Capacity(all[n%len(all)], true).Speed*float64(time.Millisecond)))
			}
			So(b.Capacity(all[7], true).PrefillRate, ShouldBeBetween, 35, 45)
		})
	})
	Convey("Gaps between the events of own streams tell the speed where no other instance reports it", t, func() {
		b := New()
		for _, e := range all {
			for range 100 {
				b.RecordGap(now, e, 4*steps[e.ID], 4)
			}
		}
		requirements.OtherLoad = func(string) Load { return Load{} }
		b.Pick(now, all, requirements)
		So(b.Capacity(all[0], true).Speed, ShouldAlmostEqual, 0.5, 0.05)
		So(b.Capacity(all[5], true).Speed, ShouldEqual, 1)
		reported := map[string]int{}
		b.Begin(all[0], RequestLoad{})
		b.Loads(now, func(id string, load Load) { reported[id] = load.Steps.Count })
		So(reported, ShouldResemble, map[string]int{"e0": 1})
	})
	Convey("The speed changes nothing for requests that run on no engine", t, func() {
		b := New()
		b.Pick(now, all, requirements)
		So(b.Capacity(all[0], false).Speed, ShouldEqual, 0)
		So(Load{InFlight: 3}.Cost(b.Capacity(all[0], false), true), ShouldEqual, 3*costPerRequest)
	})
}

package rlbbalancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefillRate(t *testing.T) {
	e := &rlbdeployment.Endpoint{ID: "e", Service: "s", Slots: 4}
	// observe records answers of engines with a rate, in tokens per millisecond, that take 20 ms
	// besides and vary by a fifth.
	observe := func(b *Balancer, rate float64, answers int) {
		random := rand.New(rand.NewPCG(1, 2))
		for range answers {
			tokens := 200 + random.IntN(6000)
			ms := (20 + float64(tokens)/rate) * (0.8 + 0.4*random.Float64())
			b.RecordPrefill("s", tokens, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	for _, rate := range []float64{8, 19, 38, 150} {
		Convey("The rate of the engines is found within a sixth", t, func() {
			b := New()
			observe(b, rate, 1500)
			So(b.Capacity(e, true).PrefillRate, ShouldBeBetween, rate*5/6, rate*7/6)
		})
	}
	Convey("A few answers change little", t, func() {
		b := New()
		observe(b, 150, 5)
		So(b.Capacity(e, true).PrefillRate, ShouldBeBetween, initialPrefillRate*0.9, initialPrefillRate*1.2)
	})
	Convey("Prompts of nearly the same length leave the initial rate", t, func() {
		b := New()
		for n := range 3000 {
			b.RecordPrefill("s", 1000+n%5, time.Duration(30+n%5*8)*time.Millisecond)
		}
		So(b.Capacity(e, true).PrefillRate, ShouldAlmostEqual, initialPrefillRate, 1)
	})
	Convey("Times that do not depend on the tokens give a bounded rate", t, func() {
		b := New()
		for n := range 2000 {
			b.RecordPrefill("s", 100+n%7*500, 30*time.Millisecond)
		}
		So(b.Capacity(e, true).PrefillRate, ShouldBeLessThanOrEqualTo, maxPrefillRate)
		So(b.Capacity(&rlbdeployment.Endpoint{Service: "other"}, true).PrefillRate, ShouldEqual, initialPrefillRate)
	})
}

package rlbpace

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const eventTokens = 4

// observe records the gaps of a stream of an engine that takes step for a decoding step. In
// one of four gaps it reads a prompt besides.
func observe(s *StepTime, now time.Time, step time.Duration, events int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range events {
		gap := time.Duration(float64(eventTokens*step) * (0.9 + 0.2*random.Float64()))
		if random.IntN(4) == 0 {
			gap += 60 * time.Millisecond
		}
		s.Record(now, gap, eventTokens)
	}
}

func TestStepTime(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("The time of a step is found within a fifth although the engine reads prompts between steps", t, func() {
		for _, step := range []time.Duration{5 * time.Millisecond, 8 * time.Millisecond, 14 * time.Millisecond} {
			var s StepTime
			observe(&s, now, step, 200)
			So(s.Step(), ShouldBeBetween, step*4/5, step*6/5)
		}
	})
	Convey("An engine that becomes slow is found out within a few streams", t, func() {
		var s StepTime
		observe(&s, now, 8*time.Millisecond, 200)
		observe(&s, now, 16*time.Millisecond, 120)
		So(s.Step(), ShouldBeBetween, 13*time.Millisecond, 19*time.Millisecond)
	})
	Convey("A few events tell nothing", t, func() {
		var s StepTime
		observe(&s, now, 8*time.Millisecond, firstSteps-1)
		So(s.Step(), ShouldEqual, 0)
	})
	Convey("An estimate without recent events is not reported to other instances", t, func() {
		var s StepTime
		observe(&s, now, 8*time.Millisecond, 50)
		So(s.Fresh(now.Add(freshFor)), ShouldEqual, s.Step())
		So(s.Fresh(now.Add(freshFor+1)), ShouldEqual, 0)
	})
}

func TestSpeed(t *testing.T) {
	Convey("The speed of an endpoint is that of its steps compared to the usual ones", t, func() {
		So(Speed(16*time.Millisecond, 8*time.Millisecond), ShouldEqual, 0.5)
		So(Speed(5*time.Millisecond, 8*time.Millisecond), ShouldEqual, 1.6)
	})
	Convey("Small differences, and times that are not known, leave it at 1", t, func() {
		So(Speed(9*time.Millisecond, 8*time.Millisecond), ShouldEqual, 1)
		So(Speed(0, 8*time.Millisecond), ShouldEqual, 1)
		So(Speed(8*time.Millisecond, 0), ShouldEqual, 1)
	})
	Convey("It is bounded", t, func() {
		So(Speed(time.Second, time.Millisecond), ShouldEqual, minSpeed)
		So(Speed(time.Millisecond, time.Second), ShouldEqual, maxSpeed)
	})
}

func TestReports(t *testing.T) {
	Convey("The mean over instances stays the same in whatever order their reports are added", t, func() {
		a, b, c := Reports{6 * time.Millisecond, 1}, Reports{8 * time.Millisecond, 1}, Reports{16 * time.Millisecond, 1}
		So(a.Add(b).Add(c).Mean(), ShouldEqual, 10*time.Millisecond)
		So(c.Add(b.Add(a)), ShouldResemble, a.Add(b).Add(c))
		So(Reports{}.Mean(), ShouldEqual, 0)
	})
}

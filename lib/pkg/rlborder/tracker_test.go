package rlborder

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	. "github.com/smartystreets/goconvey/convey"
)

func TestReserved(t *testing.T) {
	load := func(name string) InDoubtOrder { return InDoubtOrder{rlbengine.ActionLoad, name, "v", 4} }
	resident := []rlbengine.Resident{{Name: "a", Version: "v", Memory: 4}}
	Convey("what is resident, pending or may still come counts once each", t, func() {
		record := Record{Pending: &Intent{Action: rlbengine.ActionLoad, Name: "b", Version: "v", Memory: 4}, InDoubt: []InDoubtOrder{load("a"), load("b"), load("c")}}
		So(Reserved(record, resident), ShouldEqual, 12)
	})
	Convey("an unload frees nothing until the engine shows it", t, func() {
		So(Reserved(Record{Pending: &Intent{Action: rlbengine.ActionUnload, Name: "a", Version: "v", Memory: 4}}, resident), ShouldEqual, 4)
	})
}

func TestPause(t *testing.T) {
	Convey("an endpoint that cannot be reached is asked once a second", t, func() {
		b := New("e", true, 1)
		So(b.OnRead(0, nil), ShouldBeNil)
		plan, err := b.Next(clock)
		So(err, ShouldBeNil)
		So(plan.Step, ShouldEqual, StepWrite)
		b.OnWritten(1)
		sends := 0
		for i := range 40 { // ten seconds of ticks
			plan, err := b.Next(clock.Add(time.Duration(i) * 250 * time.Millisecond))
			So(err, ShouldBeNil)
			if plan.Step == StepSend {
				sends++
				b.OnNotSent(plan.Order)
			}
		}
		So(sends, ShouldEqual, 10)
	})
}

// FuzzRead gives the book any object that the platform might return.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"fence":1,"serial":2,"pending":{"action":"load"},"ghosts":[{}]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		b := New("e", false, 1)
		if b.OnRead(1, value) == nil {
			_, _ = b.Next(clock) // must not panic
		}
	})
}

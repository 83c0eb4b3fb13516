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
	Convey("each resident, pending or in-doubt model counts once", t, func() {
		record := Record{Pending: &Intent{Action: rlbengine.ActionLoad, Name: "b", Version: "v", Memory: 4}, InDoubt: []InDoubtOrder{load("a"), load("b"), load("c")}}
		So(Reserved(record, resident), ShouldEqual, 12)
	})
	Convey("a pending unload frees no memory until the engine reports it", t, func() {
		So(Reserved(Record{Pending: &Intent{Action: rlbengine.ActionUnload, Name: "a", Version: "v", Memory: 4}}, resident), ShouldEqual, 4)
	})
}

func TestPause(t *testing.T) {
	Convey("an unreachable endpoint is retried once a second", t, func() {
		tracker := New("e", true, 1)
		So(tracker.OnRead(0, nil), ShouldBeNil)
		task, err := tracker.Next(clock)
		So(err, ShouldBeNil)
		So(task.Step, ShouldEqual, StepWrite)
		tracker.OnWritten(1)
		sends := 0
		for i := range 40 { // ten seconds of ticks
			task, err := tracker.Next(clock.Add(time.Duration(i) * 250 * time.Millisecond))
			So(err, ShouldBeNil)
			if task.Step == StepSend {
				sends++
				tracker.OnNotSent(task.Order)
			}
		}
		So(sends, ShouldEqual, 10)
	})
}

// FuzzOnRead passes arbitrary object values to a tracker.
func FuzzOnRead(f *testing.F) {
	f.Add([]byte(`{"fence":1,"serial":2,"pending":{"action":"load"},"ghosts":[{}]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		tracker := New("e", false, 1)
		if tracker.OnRead(1, value) == nil {
			_, _ = tracker.Next(clock) // must not panic
		}
	})
}

package rlblease

import (
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

func TestObjectThatCannotBeDecoded(t *testing.T) {
	for name, value := range map[string]string{
		"no record":                  `"text"`,
		"nested too deeply":          strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"a fencing number too large": `{"holder":"other","fence":1e40}`,
		"the highest fencing number": `{"holder":"other","fence":18446744073709551615}`,
		"a holder of another type":   `{"holder":7,"fence":3}`,
	} {
		Convey("An object with "+name+" is replaced when it has not changed for the TTL", t, func() {
			const version = rlbobject.Version(40)
			now := time.Unix(1000, 0)
			l := New(Opts{Holder: "self", TTL: 3 * time.Second, Margin: time.Second / 2})
			So(l.OnRead(now, version, []byte(value)), ShouldNotBeNil)
			step, _, _, _ := l.Next(now.Add(2*time.Second), true)
			So(step, ShouldEqual, StepRead)
			So(l.OnRead(now.Add(2*time.Second), version, []byte(value)), ShouldNotBeNil)
			step, written, replaced, err := l.Next(now.Add(3*time.Second), true)
			So(err, ShouldBeNil)
			So(step, ShouldEqual, StepWrite)
			So(replaced, ShouldEqual, version)
			So(string(written), ShouldEqual, `{"holder":"self","fence":41,"renewal":1}`)
			l.OnWritten(now.Add(3*time.Second), version+1)
			fence, held := l.Held(now.Add(3 * time.Second))
			So(fence, ShouldEqual, 41)
			So(held, ShouldBeTrue)
		})
	}
}

func TestProcessThatDoesNotContendReadsNothing(t *testing.T) {
	Convey("A process that never contended makes no calls, one whose write is in doubt finds out", t, func() {
		now := time.Unix(1000, 0)
		l := New(Opts{Holder: "self", TTL: 3 * time.Second, Margin: time.Second / 2})
		step, _, _, _ := l.Next(now, false)
		So(step, ShouldEqual, StepNone)
		step, _, _, _ = l.Next(now, true)
		So(step, ShouldEqual, StepRead)
		So(l.OnRead(now, 0, nil), ShouldBeNil)
		now = now.Add(3 * time.Second)
		step, _, _, _ = l.Next(now, true)
		So(step, ShouldEqual, StepWrite)
		l.OnWriteUnanswered()
		step, _, _, _ = l.Next(now, false)
		So(step, ShouldEqual, StepRead)
	})
}

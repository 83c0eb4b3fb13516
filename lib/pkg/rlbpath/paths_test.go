package rlbpath

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fixture is Paths on a fake clock.
type fixture struct {
	*Paths
	time time.Time
}

func newFixture() *fixture {
	f := &fixture{time: time.Unix(100, 0)}
	f.Paths = New(func() time.Time { return f.time })
	return f
}

func (f *fixture) sleep(d time.Duration) { f.time = f.time.Add(d) }

// lose makes others reach an address that this instance does not.
func lose(p *fixture, address string) {
	p.DirectFailed(address)
	p.ThroughWorked(address)
}

func TestInstanceThatIsCutOffReachesEndpointsThroughOthers(t *testing.T) {
	cases := map[string]func(p *fixture){
		"A path without failures is direct": func(p *fixture) {
			So(p.Route("a"), ShouldResemble, Route{})
		},
		"An endpoint that others reach is connected through them, and probed once a second": func(p *fixture) {
			lose(p, "a")
			So(p.Route("a"), ShouldResemble, Route{Through: true})
			So(p.Route("b"), ShouldResemble, Route{})
			p.sleep(probeInterval)
			So(p.Route("a"), ShouldResemble, Route{Through: true, Probe: true})
			So(p.Route("a"), ShouldResemble, Route{Through: true})
			p.DirectWorked("a")
			So(p.Route("a"), ShouldResemble, Route{})
		},
		"An instance that lost two endpoints, and reached none since, counts as cut off from all": func(p *fixture) {
			lose(p, "a")
			So(p.CutOffSince().IsZero(), ShouldBeTrue)
			p.sleep(time.Millisecond)
			lose(p, "b")
			So(p.CutOffSince(), ShouldEqual, p.time)
			So(p.Route("c"), ShouldResemble, Route{Through: true, Probe: true})
			So(p.Lost("d"), ShouldBeTrue)
			p.sleep(time.Millisecond)
			p.DirectWorked("c")
			So(p.CutOffSince().IsZero(), ShouldBeTrue)
			So(p.Route("d"), ShouldResemble, Route{})
			So(p.Route("a").Through, ShouldBeTrue)
		},
		"One that reaches others in between is not cut off": func(p *fixture) {
			for _, address := range []string{"a", "b", "c"} {
				lose(p, address)
				p.sleep(time.Millisecond)
				p.DirectWorked("x")
				p.sleep(time.Millisecond)
			}
			So(p.CutOffSince().IsZero(), ShouldBeTrue)
		},
		"A connection through others that a direct one overtakes loses nothing": func(p *fixture) {
			for _, address := range []string{"a", "b"} {
				p.DirectFailed(address)
				p.DirectWorked(address)
				p.sleep(time.Millisecond)
				p.ThroughWorked(address)
			}
			So(p.CutOffSince().IsZero(), ShouldBeTrue)
			So(p.Route("a"), ShouldResemble, Route{})
		},
	}
	for name, f := range cases {
		Convey(name, t, func() { f(newFixture()) })
	}
}

func TestInstancesAreNotAskedOftenForAnEndpointThatNobodyReaches(t *testing.T) {
	Convey("The pauses between questions grow up to a limit", t, func() {
		p, start := newFixture(), time.Unix(100, 0)
		var asked []time.Duration
		for ; p.time.Sub(start) < 30*time.Second; p.sleep(100 * time.Millisecond) {
			if p.DirectFailed("a") {
				asked = append(asked, p.time.Sub(start))
				p.ThroughFailed("a")
			}
			So(p.Route("a"), ShouldResemble, Route{})
		}
		So(asked, ShouldResemble, []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second, 23 * time.Second})
	})
	Convey("What was not used for a while is forgotten", t, func() {
		p := newFixture()
		lose(p, "a")
		lose(p, "b")
		p.sleep(idleTTL + time.Second)
		p.Prune()
		So(p.CutOffSince().IsZero(), ShouldBeTrue)
		So(p.Lost("a"), ShouldBeFalse)
	})
}

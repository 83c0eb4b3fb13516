package rlbratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const endpoint = "e"

// clock is a clock that a test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newLimiter(peers *Peers) (*Limiter, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Opts{Now: c.now, Random: func() float64 { return 0 }, Peers: func(string) Peers { return *peers }}), c
}

// admitted returns how many of n requests at an interval are admitted.
func admitted(l *Limiter, c *clock, n int, interval time.Duration, rank int) int {
	count := 0
	for range n {
		c.at = c.at.Add(interval)
		if l.Admit(endpoint, rank) {
			count++
		}
	}
	return count
}

func TestLimiter(t *testing.T) {
	Convey("Given an instance and what others publish", t, func() {
		peers := &Peers{}
		l, c := newLimiter(peers)
		Convey("without a limit all requests are admitted and nothing is published", func() {
			So(admitted(l, c, 50, 10*time.Millisecond, 0), ShouldEqual, 50)
			So(l.Reports(), ShouldBeEmpty)
			So(l.Utilization(endpoint), ShouldEqual, 0)
		})
		Convey("with a limit its share is admitted, the own demand among that of all", func() {
			So(l.RecordStatement(endpoint, 4), ShouldBeTrue)
			So(l.RecordStatement(endpoint, 4), ShouldBeFalse)
			peers.Demand.Wanted[2] = 30
			admitted(l, c, 30, 100*time.Millisecond, 2)
			So(admitted(l, c, 100, 100*time.Millisecond, 2), ShouldBeBetweenOrEqual, 8, 12) // a quarter of 4 a second
			So(l.Utilization(endpoint), ShouldEqual, 1)
		})
		Convey("a limit that only another instance heard of holds too, until a later answer states none", func() {
			peers.Statement = Statement{PerSecond: 1, At: c.at}
			admitted(l, c, 30, 100*time.Millisecond, 2)
			So(admitted(l, c, 50, 100*time.Millisecond, 2), ShouldBeBetweenOrEqual, 4, 7)
			So(l.Reports(), ShouldHaveLength, 1)
			l.RecordStatement(endpoint, 0)
			So(admitted(l, c, 50, 100*time.Millisecond, 2), ShouldEqual, 50)
			So(l.Reports()[0].Statement.PerSecond, ShouldEqual, 0)
		})
		Convey("a limit that no answer states any more ends", func() {
			l.RecordStatement(endpoint, 0.01)
			So(admitted(l, c, 20, 100*time.Millisecond, 2), ShouldBeLessThan, 3)
			c.at = c.at.Add(statementTTL)
			So(admitted(l, c, 20, 100*time.Millisecond, 2), ShouldEqual, 20)
		})
		Convey("the requests of the first ranks come first, the others still get a part", func() {
			var sent [Ranks]int
			for range 200 { // 20 s
				l.RecordStatement(endpoint, 5)
				sent[0] += admitted(l, c, 1, 50*time.Millisecond, 0)
				sent[2] += admitted(l, c, 1, 30*time.Millisecond, 2)
				sent[1] += admitted(l, c, 1, 20*time.Millisecond, 1)
			}
			So(sent[0], ShouldBeBetween, 75, 100) // four fifths of five a second
			So(sent[1], ShouldBeBetween, 5, 20)
			So(sent[2], ShouldBeBetween, 5, 20)
			So(share(10, Demand{Wanted: [Ranks]float64{4, 4, 4}}, 0), ShouldEqual, 1)
			So(share(10, Demand{Wanted: [Ranks]float64{4, 4, 4}}, 1), ShouldEqual, 1)
			So(share(10, Demand{Wanted: [Ranks]float64{4, 4, 4}}, 2), ShouldEqual, 0.5)
		})
		Convey("a request that was sent without admission is made up for by the next ones", func() {
			l.RecordStatement(endpoint, 5)
			admitted(l, c, 40, 100*time.Millisecond, 2)
			before := admitted(l, c, 40, 100*time.Millisecond, 2)
			for range 5 {
				l.Charge(endpoint, 2)
			}
			So(admitted(l, c, 40, 100*time.Millisecond, 2), ShouldEqual, before-5)
		})
		Convey("an endpoint without requests is forgotten", func() {
			l.RecordStatement(endpoint, 5)
			c.at = c.at.Add(idleTime + time.Second)
			So(l.Reports(), ShouldBeEmpty)
			So(l.endpoints, ShouldBeEmpty)
		})
	})
}

// fleet is instances that exchange reports with a delay.
type fleet struct {
	clock     *clock
	limiters  []*Limiter
	published [][]Peers // by step, oldest first, and by instance
	sums      []Peers   // by step
	delay     int       // in steps
}

const step = 20 * time.Millisecond

func newFleet(size int, delay time.Duration, seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{clock: &clock{time.Unix(1000, 0)}, delay: int(delay / step)}
	for n := range size {
		f.limiters = append(f.limiters, New(Opts{Now: f.clock.now, Random: random.Float64, Peers: func(string) Peers { return f.peersOf(n) }}))
	}
	return f
}

// peersOf returns the sum of what the other instances published before the delay.
func (f *fleet) peersOf(n int) Peers {
	at := len(f.published) - 1 - f.delay
	if at < 0 {
		return Peers{}
	}
	sum, own := f.sums[at], f.published[at][n].Demand
	sum.Demand.Sent -= own.Sent
	for rank, perSecond := range own.Wanted {
		sum.Demand.Wanted[rank] -= perSecond
	}
	return sum
}

func (f *fleet) publish() {
	all := make([]Peers, len(f.limiters))
	var sum Peers
	for n, l := range f.limiters {
		for _, r := range l.Reports() {
			all[n] = Peers{Statement: r.Statement, Demand: r.Demand}
		}
		sum = sum.Add(all[n])
	}
	f.published, f.sums = append(f.published, all), append(f.sums, sum)
}

// demandAt returns the demand as a multiple of its start, by the time since then.
type demandAt func(time.Duration) float64

// surge doubles the demand at 12 s.
func surge(now time.Duration) float64 {
	if now > 12*time.Second {
		return 2
	}
	return 1
}

// waves lets the demand rise from little to all each 5 s, as when other endpoints fill up.
func waves(now time.Duration) float64 {
	if now%(5*time.Second) < 2*time.Second {
		return 0.1
	}
	return 1
}

// jump lets the demand rise to its fivefold for three seconds, as when other endpoints crash.
func jump(now time.Duration) float64 {
	if now > 12*time.Second && now < 15*time.Second {
		return 5
	}
	return 1
}

// TestFleetKeepsToLimit lets instances of fleets of different sizes send requests to an
// endpoint that states a limit, with demand that changes and instances that join. In each
// span of 4 s, from 3 s after the limit was first stated, the endpoint must get at most one
// and a half times what the limit allows, and 5 requests more.
func TestFleetKeepsToLimit(t *testing.T) {
	for _, c := range []struct {
		size          int
		limit, demand float64 // requests a second, of all instances
	}{{1, 3, 10}, {6, 3.3, 8}, {6, 1, 30}, {6, 3.8, 15}, {9, 5.3, 12}, {87, 3, 40}, {87, 8, 100}, {300, 3, 100}} {
		for name, change := range map[string]demandAt{"surge": surge, "waves": waves, "jump": jump} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d instances, limit %g, demand %g, %s, seed %d", c.size, c.limit, c.demand, name, seed), func(t *testing.T) {
					sent := simulate(c.size, c.limit, c.demand, change, seed)
					for from := 3 * time.Second; from < 26*time.Second; from += 100 * time.Millisecond {
						assertWithinLimit(t, sent, from, c.limit)
					}
					if mean := float64(len(sent)) / 30; mean < 0.5*c.limit {
						t.Errorf("%.2f requests a second, less than half of the limit", mean)
					}
				})
			}
		}
	}
}

func assertWithinLimit(t *testing.T, sent []time.Duration, from time.Duration, limit float64) {
	t.Helper()
	n := 0
	for _, at := range sent {
		if at >= from && at < from+4*time.Second {
			n++
		}
	}
	if allowed := 1.5*4*limit + 5; float64(n) > allowed {
		t.Fatalf("%d requests in the 4 s from %v, allowed %g", n, from, allowed)
	}
}

// simulate returns when requests were sent in 30 s. A third of the instances get requests
// from 6 s on only.
func simulate(size int, limit, demand float64, change demandAt, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(size, 300*time.Millisecond, seed)
	start := f.clock.at
	var sent []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += step {
		f.clock.at = start.Add(now)
		active := size
		if now < 6*time.Second {
			active = max(1, size*2/3)
		}
		for wanted := demand * change(now) * step.Seconds(); wanted > 0; wanted-- {
			if random.Float64() >= wanted {
				continue
			}
			l := f.limiters[random.IntN(active)]
			if l.Admit(endpoint, random.IntN(Ranks)) {
				l.RecordStatement(endpoint, limit) // its answer
				sent = append(sent, now)
			}
		}
		f.publish()
	}
	return sent
}

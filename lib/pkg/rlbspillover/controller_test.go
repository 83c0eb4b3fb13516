package rlbspillover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Settings of the simulated fleets.
const (
	homeCost  = 30 * time.Millisecond
	minGain   = 10 * time.Millisecond
	infoDelay = 2 // updates after which a domain learns of the waits and flows of others
	// waitPerRequest is the wait that each request an update causes per endpoint.
	waitPerRequest = 4 * time.Millisecond
)

// fleet is a simulation of domains that serve one pool, in steps of an update.
type fleet struct {
	now     time.Time
	domains []*simulatedDomain
}

// simulatedDomain is a domain with one instance.
type simulatedDomain struct {
	name      string
	endpoints int
	demand    float64 // requests an update
	c         *Controller
	states    []Domain    // as others learn them, the latest last
	flows     [][]float64 // the shares that it sent to each domain, as others learn them
}

func newFleet(domains ...*simulatedDomain) *fleet {
	f := &fleet{now: time.Unix(1000, 0), domains: domains}
	for _, d := range domains {
		d.c = New(Opts{Domain: d.name, Now: func() time.Time { return f.now }, MinGain: minGain})
	}
	f.steps(infoDelay, nil)
	return f
}

// share returns the share of its requests that a domain sends to another one.
func (f *fleet) share(from, to int) float64 {
	for _, flow := range f.domains[from].c.Flows() {
		if flow.Domain == f.domains[to].name {
			return flow.Share
		}
	}
	return 0
}

// step spreads the requests of an update by the shares, and then updates these.
func (f *fleet) step() {
	load := make([]float64, len(f.domains))
	for from, d := range f.domains {
		kept := d.demand
		for to := range f.domains {
			if to != from && f.domains[to].endpoints > 0 {
				sent := d.demand * f.share(from, to)
				if d.endpoints == 0 {
					sent = d.demand / float64(len(f.domains)-1)
				}
				load[to] += sent
				kept -= sent
			}
		}
		load[from] += kept
	}
	f.now = f.now.Add(UpdateInterval)
	for n, d := range f.domains {
		state := Domain{Name: d.name, Endpoints: d.endpoints}
		if d.endpoints > 0 {
			state.Wait = time.Duration(load[n] / float64(d.endpoints) * float64(waitPerRequest))
		}
		d.states = append(d.states, state)
		shares := make([]float64, len(f.domains))
		for to := range f.domains {
			shares[to] = f.share(n, to)
		}
		d.flows = append(d.flows, shares)
	}
	for at := range f.domains {
		f.domains[at].c.Update(map[string][]Domain{"m": f.seenBy(at)})
	}
}

// seenBy returns what the instance of a domain knows: others with a delay, but their number of
// endpoints, as entries are shared by all.
func (f *fleet) seenBy(at int) []Domain {
	var all []Domain
	for n, d := range f.domains {
		age := 1
		if n != at {
			age = min(infoDelay, len(d.states))
		}
		seen := d.states[len(d.states)-age]
		seen.Endpoints = d.endpoints
		seen.SendsHere = n != at && d.flows[len(d.flows)-age][at] > 0
		all = append(all, seen)
	}
	return all
}

func (f *fleet) steps(n int, each func()) {
	for range n {
		f.step()
		if each != nil {
			each()
		}
	}
}

// waits returns the waits in the domains after the latest step.
func (f *fleet) waits() []time.Duration {
	var all []time.Duration
	for _, d := range f.domains {
		all = append(all, d.states[len(d.states)-1].Wait)
	}
	return all
}

func (f *fleet) shouldNotCross() {
	for a := range f.domains {
		for b := range a {
			if f.share(a, b) > 0 && f.share(b, a) > 0 {
				So(fmt.Sprintf("%s and %s send to each other", f.domains[a].name, f.domains[b].name), ShouldBeEmpty)
			}
		}
	}
}

func TestSpilloverOfAWave(t *testing.T) {
	Convey("Given two domains with equal endpoints, one with four times the requests", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4, demand: 80}, &simulatedDomain{name: "b", endpoints: 4, demand: 20})
		Convey("the waits become equal but for the gain that leaving must bring, and stay so", func() {
			f.steps(60, f.shouldNotCross)
			f.steps(60, func() {
				waits := f.waits()
				So(waits[0]-waits[1], ShouldBeBetween, 0, 2*minGain)
				f.shouldNotCross()
			})
		})
		Convey("when the wave moves on to the other domain, the flow ends and then turns, once", func() {
			f.steps(60, nil)
			f.domains[0].demand, f.domains[1].demand = 20, 80
			turns, direction := 0, 1
			f.steps(200, func() {
				f.shouldNotCross()
				if now := f.direction(); now != 0 && now != direction {
					turns, direction = turns+1, now
				}
			})
			So(turns, ShouldEqual, 1)
			So(f.share(1, 0), ShouldBeGreaterThan, 0.2)
		})
		Convey("when it ends, all requests stay in their domains", func() {
			f.steps(60, nil)
			f.domains[0].demand = 20
			f.steps(60, nil)
			So(f.direction(), ShouldEqual, 0)
		})
	})
}

// direction returns 1 if the first domain sends to the second, -1 if it is the other way, and 0 if
// there is no flow.
func (f *fleet) direction() int {
	switch {
	case f.share(0, 1) > 0:
		return 1
	case f.share(1, 0) > 0:
		return -1
	default:
		return 0
	}
}

func TestSpilloverOfEqualDomains(t *testing.T) {
	Convey("Domains whose requests vary by a tenth send nothing to each other", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4, demand: 40}, &simulatedDomain{name: "b", endpoints: 4, demand: 40})
		random := rand.New(rand.NewPCG(3, 4))
		for range 300 {
			for _, d := range f.domains {
				d.demand = 40 * (0.9 + 0.2*random.Float64())
			}
			f.step()
			So(f.direction(), ShouldEqual, 0)
		}
	})
	Convey("Domains whose requests jump at the same moment send nothing to each other", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4, demand: 20}, &simulatedDomain{name: "b", endpoints: 4, demand: 20})
		f.domains[0].demand, f.domains[1].demand = 200, 200
		f.steps(50, func() { So(f.direction(), ShouldEqual, 0) })
	})
	Convey("Domains that begin to send to each other at once, by wrong loads, stop as soon as they learn of it", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4}, &simulatedDomain{name: "b", endpoints: 4})
		for n, d := range f.domains {
			d.c.pools["m"].targets[f.domains[1-n].name] = target{endpoints: 4, share: 0.5}
		}
		f.steps(infoDelay, nil)
		f.steps(50, f.shouldNotCross)
	})
}

func TestSpilloverAtTheLossOfEndpoints(t *testing.T) {
	Convey("Given two domains with equal load", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4, demand: 40}, &simulatedDomain{name: "b", endpoints: 4, demand: 40})
		f.steps(10, nil)
		Convey("when one loses most of its endpoints, its requests leave at the next update", func() {
			f.domains[0].endpoints = 1
			f.step()
			So(f.share(0, 1), ShouldBeGreaterThan, 0.4)
		})
		Convey("when one loses all, all of its requests leave, and no share is needed", func() {
			f.domains[0].endpoints = 0
			f.step()
			So(f.share(0, 1), ShouldEqual, 0)
			So(f.share(1, 0), ShouldEqual, 0)
		})
		Convey("nothing is sent to a domain that has lost its endpoints", func() {
			f.domains[0].demand = 160
			f.steps(20, nil)
			f.domains[1].endpoints = 0
			f.step()
			So(f.share(0, 1), ShouldEqual, 0)
		})
	})
}

func TestSpilloverBetweenThreeDomains(t *testing.T) {
	Convey("A domain sends to those that wait less, and none sends on", t, func() {
		f := newFleet(&simulatedDomain{name: "a", endpoints: 4, demand: 120}, &simulatedDomain{name: "b", endpoints: 4, demand: 20}, &simulatedDomain{name: "c", endpoints: 4, demand: 60})
		f.steps(100, f.shouldNotCross)
		f.steps(50, func() {
			So(f.share(0, 1), ShouldBeGreaterThan, f.share(0, 2))
			So(f.share(1, 0)+f.share(1, 2), ShouldEqual, 0)
			f.shouldNotCross()
		})
	})
}

func TestSpilloverByTheLink(t *testing.T) {
	Convey("Given a domain that sends half of its requests to another one", t, func() {
		now := time.Unix(1000, 0)
		c := New(Opts{Domain: "a", Now: func() time.Time { return now }, MinGain: minGain, MaxRate: 1000})
		update := func(times int) {
			for range times {
				now = now.Add(UpdateInterval)
				c.Update(map[string][]Domain{"m": {{Name: "a", Endpoints: 2, Wait: time.Second}, {Name: "b", Endpoints: 2}}})
			}
		}
		update(7)
		So(c.Flows()[0].Share, ShouldBeBetween, 0.4, 0.6)
		Convey("a slow link takes more to be worth it", func() {
			c.RecordDelay("b", 2*time.Second)
			update(20)
			So(c.Flows(), ShouldBeEmpty)
		})
		Convey("traffic at the limit of the link ends what need not be sent, until it is less", func() {
			c.SetRate("b", 1000)
			update(10)
			So(c.Flows()[0].Share, ShouldBeLessThan, 0.1)
			c.SetRate("b", 0)
			update(7)
			So(c.Flows()[0].Share, ShouldBeGreaterThan, 0.4)
		})
		Convey("a pool that is gone is forgotten", func() {
			c.Update(nil)
			So(c.Flows(), ShouldBeEmpty)
		})
	})
}

func TestCosts(t *testing.T) {
	Convey("Given shares of a pool that others published", t, func() {
		shares, draw := map[uint64]float64{Key("m", "a", "b"): 0.5, Key("m", "c", "a"): 0.1}, 0.0
		costs := CostPolicy{
			Domain: "a", Cost: homeCost, Random: func() float64 { return draw }, Share: func(key uint64) float64 { return shares[key] },
			Delay: func(string) time.Duration { return 2 * time.Millisecond },
		}.Costs
		Convey("a request that is drawn pays for the link only, others as if nothing were sent", func() {
			So(costs("m")("b"), ShouldEqual, 2*time.Millisecond)
			So(costs("n")("b"), ShouldEqual, homeCost)
			draw = 0.5
			So(costs("m")("b"), ShouldEqual, homeCost)
		})
		Convey("it is drawn once for all endpoints of a domain", func() {
			of := costs("m")
			first := of("b")
			draw = 0.9
			So(of("b"), ShouldEqual, first)
		})
		Convey("a domain that sends here is avoided", func() {
			So(costs("m")("c"), ShouldBeGreaterThan, homeCost)
		})
	})
}

package rlbbalancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// Timing of the model.
const (
	modelStep    = 2 * time.Millisecond
	refusalDelay = 6 * time.Millisecond
	loadDelay    = 60 * time.Millisecond
	modelRun     = 20 * time.Second
)

// overload is a model of instances that send more requests than the endpoints of a service
// serve. An instance learns the load of the others after loadDelay, and a refusal after
// refusalDelay.
type overload struct {
	instances, slots, waiting int
	limit                     float64 // of refusals that the endpoints state
	perSecond                 int     // requests of callers
	model                     string  // that they name; empty: the service is a plain one
	serviceTime               time.Duration
}

// modelEndpoint is an endpoint of the model.
type modelEndpoint struct {
	entry    *rlbdeployment.Endpoint
	running  int
	refusals []time.Time
}

// modelRunner plays an overload.
type modelRunner struct {
	overload
	random    *rand.Rand
	now       time.Time
	entries   []*rlbdeployment.Endpoint
	endpoints map[string]*modelEndpoint
	balancers []*Balancer
	known     map[string]int // requests in flight at the endpoints, as the instances know them
	events    []modelEvent
	served    int
}

// modelEvent is what happens later.
type modelEvent struct {
	at time.Time
	do func()
}

// run plays the model, in which the endpoints may state their limit. It returns the most refusals
// of an endpoint within a second, and how many requests were served.
func (o overload) run(stated bool) (mostRefusals, served int) {
	r := &modelRunner{overload: o, random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(0, 0), endpoints: map[string]*modelEndpoint{}}
	for _, id := range []string{"e1", "e2", "e3"} {
		entry := &rlbdeployment.Endpoint{ID: id, Service: "s", Slots: o.slots}
		r.entries, r.endpoints[id] = append(r.entries, entry), &modelEndpoint{entry: entry}
	}
	for range o.instances {
		b := New()
		for _, e := range r.entries {
			b.RecordRefusalLimit(e, o.limit, stated)
		}
		r.balancers = append(r.balancers, b)
	}
	arrivals := 0.0
	for end := r.now.Add(modelRun); r.now.Before(end); r.now = r.now.Add(modelStep) {
		r.playEvents()
		for arrivals += float64(o.perSecond) * modelStep.Seconds(); arrivals >= 1; arrivals-- {
			r.send(r.balancers[r.random.IntN(o.instances)])
		}
		r.publishLoads()
	}
	for _, e := range r.endpoints {
		mostRefusals = max(mostRefusals, mostWithin(e.refusals, refusalWindow))
	}
	return mostRefusals, r.served
}

func (r *modelRunner) after(d time.Duration, do func()) {
	r.events = append(r.events, modelEvent{r.now.Add(d), do})
}

func (r *modelRunner) playEvents() {
	pending := r.events
	r.events = nil
	for _, event := range pending {
		if event.at.After(r.now) {
			r.events = append(r.events, event)
			continue
		}
		event.do()
	}
}

func (r *modelRunner) publishLoads() {
	loads := map[string]int{}
	for id, e := range r.endpoints {
		loads[id] = e.running
	}
	r.after(loadDelay, func() { r.known = loads })
}

// send sends a request to the endpoint that an instance chooses, if any.
func (r *modelRunner) send(b *Balancer) {
	others := map[string]Load{}
	for id := range r.endpoints {
		others[id] = Load{InFlight: max(r.known[id]-b.LocalLoad(id).InFlight, 0)}
	}
	choice := b.Pick(r.now, r.entries, Requirements{
		Fits: func(*rlbdeployment.Endpoint) bool { return true }, Instances: r.instances, Model: r.model,
		OtherLoad: func(id string) Load { return others[id] },
	})
	if choice.Endpoint == nil {
		return
	}
	e, answered := r.endpoints[choice.Endpoint.ID], b.Begin(choice.Endpoint, RequestLoad{})
	if e.running >= r.slots+r.waiting {
		e.refusals = append(e.refusals, r.now)
		r.after(refusalDelay, func() {
			b.RecordFull(r.now, e.entry)
			answered()
			b.End(r.now, e.entry, RequestLoad{}, OutcomeNeutral, refusalDelay)
		})
		return
	}
	r.serve(b, e, answered)
}

// serve runs a request at an endpoint that has room for it.
func (r *modelRunner) serve(b *Balancer, e *modelEndpoint, answered func()) {
	e.running++
	r.served++
	begins := refusalDelay
	if e.running > r.slots {
		begins = r.serviceTime // it waits for a slot
	}
	r.after(begins, answered)
	r.after(begins+r.serviceTime, func() {
		e.running--
		b.End(r.now, e.entry, RequestLoad{}, OutcomeSucceeded, r.serviceTime)
	})
}

// mostWithin returns how many of the times lie within some window of a length.
func mostWithin(times []time.Time, window time.Duration) (most int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestEndpointsThatCrashFromRefusingAreNotMadeToRefuseMore(t *testing.T) {
	for name, o := range map[string]overload{
		"engines, a few instances":           {instances: 6, slots: 64, waiting: 2, limit: 16, perSecond: 400, model: "m", serviceTime: time.Second},
		"engines, more instances than limit": {instances: 40, slots: 64, waiting: 2, limit: 16, perSecond: 400, model: "m", serviceTime: time.Second},
		"a plain service":                    {instances: 6, slots: 6, waiting: 1, limit: 3, perSecond: 200, serviceTime: 50 * time.Millisecond},
		"a limit of none":                    {instances: 3, slots: 16, waiting: 1, limit: 0, perSecond: 200, serviceTime: 200 * time.Millisecond},
	} {
		Convey("Overload of "+name, t, func() {
			unstated, servedBefore := o.run(false)
			stated, served := o.run(true)
			Convey("makes them refuse more than their limit if they state none", func() {
				So(float64(unstated), ShouldBeGreaterThan, o.limit)
			})
			Convey("makes them refuse no more than that if they state it", func() {
				So(float64(stated), ShouldBeLessThanOrEqualTo, o.limit)
			})
			Convey("is served two thirds as often at least", func() {
				So(served, ShouldBeGreaterThanOrEqualTo, servedBefore*2/3)
			})
		})
	}
}

func TestEndpointThatNoLongerStatesALimitIsUsedAsOthers(t *testing.T) {
	Convey("Given an endpoint that refused as much as it can", t, func() {
		b, e, now := New(), &rlbdeployment.Endpoint{ID: "e", Service: "s", Slots: 2}, time.Unix(10, 0)
		pick := func(at time.Time) *rlbdeployment.Endpoint {
			return b.Pick(at, []*rlbdeployment.Endpoint{e}, Requirements{
				Fits: func(*rlbdeployment.Endpoint) bool { return true }, OtherLoad: func(string) Load { return Load{} }, Instances: 2,
			}).Endpoint
		}
		So(b.RecordRefusalLimit(e, 2, true), ShouldBeTrue)
		So(b.RecordRefusalLimit(e, 2, true), ShouldBeFalse)
		b.RecordFull(now, e)
		So(pick(now), ShouldBeNil)
		Convey("it is used again after a second", func() {
			So(pick(now.Add(refusalWindow)), ShouldEqual, e)
		})
		Convey("or once it states no limit", func() {
			So(b.RecordRefusalLimit(e, 0, false), ShouldBeTrue)
			So(pick(now), ShouldEqual, e)
		})
	})
}

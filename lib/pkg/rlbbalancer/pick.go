package rlbbalancer

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// tieBreakJitter is the upper bound of a random cost that spreads requests over
// endpoints of equal cost.
const tieBreakJitter = 2 * time.Millisecond

// minFailureReports is the number of other instances that must report failures of
// an endpoint before it counts as unhealthy here. A single report may come from a
// fault of that instance's own network link.
const minFailureReports = 2

// Silent reports whether enough instances got no answer from an endpoint lately, given
// the load and the reports of the other instances.
func (b *Balancer) Silent(now time.Time, endpoint string, others Load) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := others.FailureReports
	if s := b.stats[endpoint]; s != nil && s.reportsFailure(now) {
		reports++
	}
	return reports >= minFailureReports
}

// Requirements describes what a request needs from an endpoint.
type Requirements struct {
	Domain    string                             // failure domain of this instance
	Model     string                             // MODEL, or MODEL/ADAPTER with an adapter; empty for a plain service
	Urgent    bool                               // highest priority
	Late      bool                               // misses its target: the endpoint with the shortest wait for it is chosen
	Fits      func(*rlbdeployment.Endpoint) bool // whether the endpoint can run it
	OtherLoad func(id string) Load               // load from the other instances
	Instances int                                // number of instances that send requests to the endpoints
	ExtraCost func(id string) time.Duration      // added to the cost of an endpoint; nil: nothing
	// CrossDomainCost is the cost of an endpoint in another failure domain; nil: CrossDomainCost.
	CrossDomainCost func(domain string) time.Duration
}

// distance returns the cost of the way to an endpoint.
func (r *Requirements) distance(e *rlbdeployment.Endpoint) time.Duration {
	switch {
	case e.Domain == r.Domain:
		return 0
	case r.CrossDomainCost != nil:
		return r.CrossDomainCost(e.Domain)
	default:
		return CrossDomainCost
	}
}

// waitAndCost returns the expected wait for the request at an endpoint and the cost of sending it there,
// without the way to it.
func (r *Requirements) waitAndCost(load Load, c Capacity) (wait, cost time.Duration) {
	if r.Late {
		wait = load.LateWait(c)
		return wait, wait
	}
	return load.Wait(c, r.Urgent), load.Cost(c, true)
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint  *rlbdeployment.Endpoint // nil if none fits
	Wait      time.Duration           // expected time until the answer begins
	Ahead     int                     // prompt tokens of other requests that are unread at the endpoint
	Queued    bool                    // the request must wait for a slot
	Unhealthy bool                    // only unhealthy endpoints fit
	// HeldOffUntil is the soonest time at which an endpoint that fits wants requests again,
	// if Endpoint is nil because each of them is held off; zero otherwise.
	HeldOffUntil time.Time
}

// Pick returns the endpoint with the lowest cost of those that fit. An endpoint that
// is unhealthy, or recently refused a request for the model, is used only if no other
// fits; one that is held off, or could crash from refusing the request, is not used at all.
func (b *Balancer) Pick(now time.Time, all []*rlbdeployment.Endpoint, req Requirements) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Choice
	var bestCost time.Duration
	var heldOffUntil time.Time
	for _, e := range all {
		if e.Draining || !req.Fits(e) {
			continue
		}
		stats := b.statsOf(e)
		load := stats.load().Add(req.OtherLoad(e.ID))
		if until, ruledOut := stats.rulesOut(now, e, load, &req); ruledOut {
			heldOffUntil = earliest(heldOffUntil, until)
			continue
		}
		capacity := b.capacity(e, req.Model != "")
		wait, cost := req.waitAndCost(load, capacity)
		c := Choice{Endpoint: e, Wait: wait, Ahead: load.UnreadTokens, Queued: load.InFlight >= e.Slots, Unhealthy: stats.unhealthy(now) || load.FailureReports >= minFailureReports || now.Before(stats.refusedUntil[req.Model])}
		cost += req.distance(e) + rand.N(tieBreakJitter)
		if req.ExtraCost != nil {
			cost += req.ExtraCost(e.ID)
		}
		if best.Endpoint == nil || best.Unhealthy && !c.Unhealthy || best.Unhealthy == c.Unhealthy && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.Endpoint == nil {
		best.HeldOffUntil = heldOffUntil
	}
	return best
}

// rulesOut reports whether an endpoint may get no request for now, given the load of all instances,
// and until when that holds at least.
func (s *endpointStats) rulesOut(now time.Time, e *rlbdeployment.Endpoint, load Load, req *Requirements) (until time.Time, ruledOut bool) {
	switch {
	case s.holdOff.active(now, s.unanswered):
		return s.holdOff.until, true
	case s.refusalLimit.stated:
		return s.refusalLimit.rulesOut(now, s.usage(e, load, req))
	default:
		return time.Time{}, false
	}
}

// usage returns what is known of the use of an endpoint, given the load of all instances.
func (s *endpointStats) usage(e *rlbdeployment.Endpoint, load Load, req *Requirements) usage {
	return usage{engine: req.Model != "", slots: e.Slots, inFlight: load.InFlight, own: s.inFlight, unanswered: s.unanswered, instances: max(req.Instances, 1)}
}

// earliest returns the earlier of two times; a zero one does not count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

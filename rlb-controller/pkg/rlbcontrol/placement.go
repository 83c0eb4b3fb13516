package rlbcontrol

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
)

// demandWeight is the weight of the latest plan interval in the exponential
// moving average of a model's demand.
const demandWeight = 0.3

// planTimeFactor is the least interval between two plans in multiples of the time
// that a plan takes, so that planning takes at most a third of one per cent of a
// core at any fleet size.
const planTimeFactor = 300

// loadLimiter limits the rate at which this controller starts loads, so that all
// controllers together stay within the weight store's rate.
type loadLimiter struct {
	rate        float64 // loads per second in the whole fleet
	nextAllowed time.Time
}

// allow reports whether a load may start at now, and counts it if so. share is
// this controller's share of the fleet's loads.
func (l *loadLimiter) allow(now time.Time, share float64) bool {
	if now.Before(l.nextAllowed) || share <= 0 {
		return false
	}
	l.nextAllowed = now.Add(time.Duration(float64(time.Second) / (l.rate * share)))
	return true
}

// runPlacement makes a plan, passes the proposals for this controller's engines to
// their trackers and starts an update of the guards if necessary; c.mu is held.
func (c *Controller) runPlacement(now time.Time) {
	if now.Before(c.nextPlan) || len(c.trackers) == 0 {
		return
	}
	c.averageDemand(now)
	c.placement.Slots = c.meanSlots()
	c.plan = rlbplacement.Plan(c.placementInput(now), c.placement)
	c.nextPlan = now.Add(max(minPlanInterval, planTimeFactor*time.Since(now)))
	share := c.loadShare()
	for _, p := range c.plan {
		c.propose(now, p, share)
	}
	c.runGuards(now)
}

// defaultSlots is the assumed number of requests that a replica serves at once,
// until an endpoint has reported its slots.
const defaultSlots = 32

// meanSlots returns the number of requests that an endpoint serves at once: the
// mean over the endpoints whose load reports have been received.
func (c *Controller) meanSlots() float64 {
	sum, endpoints := 0, 0
	c.fleet.Loads().All(func(_ string, load rlbfleetstate.Load) bool {
		if load.Slots > 0 {
			sum += load.Slots
			endpoints++
		}
		return true
	})
	if endpoints == 0 {
		return defaultSlots
	}
	return float64(sum) / float64(endpoints)
}

func (c *Controller) placementInput(now time.Time) rlbplacement.Input {
	in := rlbplacement.Input{
		Note: c.fleet.Note(), Engines: c.placementEngines(), Demand: c.demand, Guards: c.guards.value, Settled: true,
	}
	_, lowest := c.gatewayVersions(now)
	in.Settled = lowest >= in.Note.Version
	return in
}

// placementEngines returns the engines sorted by ID; c.mu is held.
func (c *Controller) placementEngines() []rlbplacement.Engine {
	var engines []rlbplacement.Engine
	c.fleet.Instances().All(func(id string, i rlbfleetstate.Instance) bool {
		e, known := c.fleet.Engines().Get(id)
		if i.Type != rlbinstance.TypeEngine || i.Removed || !known {
			return true
		}
		var record rlborder.Record
		if t, tracked := c.trackers[id]; tracked {
			record = t.tracker.Record()
		}
		engines = append(engines, rlbplacement.Engine{
			ID: id, Domain: i.FailureDomain, Role: i.Role, Memory: e.Memory,
			Reserved: rlborder.Reserved(record, e.Residents), Residents: e.Residents,
			Leaving: i.Leaving || e.Draining || e.Unreachable,
		})
		return true
	})
	slices.SortFunc(engines, func(a, b rlbplacement.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return engines
}

// engineReportTimeout is the time without a report after which an engine's
// replicas no longer count.
const engineReportTimeout = 10 * time.Second

// reportOverdue reports whether an engine that this controller polls has sent no
// report for longer than engineReportTimeout. The time counts from the start of
// collection here at the earliest.
func (c *Controller) reportOverdue(i rlbfleetstate.Instance) bool {
	at := c.fleet.LastReport(i.ID)
	if since := c.assignment.since[i.ID]; since.After(at) {
		at = since // reports also stop when the previous collector fails
	}
	return time.Since(at) > engineReportTimeout
}

// propose passes a proposal to the tracker of its engine, if this controller has
// that tracker and the guards and the load limiter allow the change.
func (c *Controller) propose(now time.Time, p rlbplacement.Proposal, share float64) {
	t, tracked := c.trackers[p.Endpoint]
	if !tracked || !t.tracker.Idle() {
		return
	}
	if p.Action == rlbengine.ActionUnload && p.Current && !c.guards.mayUnload(c, p) {
		return
	}
	if p.Action == rlbengine.ActionLoad && !c.loadLimiter.allow(now, share) {
		return
	}
	if t.tracker.Propose(rlborder.Change{Action: p.Action, Name: p.Name, Version: p.Version, Memory: p.Memory}) {
		c.journal.add(now, "model/"+p.Name, "%s", p)
	}
}

// loadShare returns this controller's share of the loads that the plan proposes.
// Every lease holder makes nearly the same plan, so that the shares add up to
// about one without coordination.
func (c *Controller) loadShare() float64 {
	own, all := 0, 0
	for _, p := range c.plan {
		if p.Action != rlbengine.ActionLoad {
			continue
		}
		all++
		if _, tracked := c.trackers[p.Endpoint]; tracked {
			own++
		}
	}
	return float64(own) / float64(max(1, all))
}

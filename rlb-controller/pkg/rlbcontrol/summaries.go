package rlbcontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// domainSummary returns the summary of this controller's failure domain: its
// gateways, their lowest note version and their demand.
func (c *Controller) domainSummary(now time.Time) *rlbfleetstate.DomainSummary {
	s := &rlbfleetstate.DomainSummary{NoteVersion: c.fleet.Note().Version}
	demand := map[string]rlbfleetstate.Demand{}
	c.eachGateway(now, func(gateway rlbfleetstate.Process) {
		if gateway.FailureDomain != c.domain {
			return
		}
		s.Gateways++
		s.NoteVersion = min(s.NoteVersion, gateway.NoteVersion)
		for _, d := range gateway.Demand {
			sum := demand[d.Model]
			sum.Model = d.Model
			sum.InFlight += d.InFlight
			sum.Requests += d.Requests
			sum.Refused += d.Refused
			demand[d.Model] = sum
		}
	})
	for _, name := range slices.Sorted(maps.Keys(demand)) {
		s.Demand = append(s.Demand, demand[name])
	}
	return s
}

// eachGateway calls f for each gateway whose latest heartbeat is no older than
// heartbeatTimeout.
func (c *Controller) eachGateway(now time.Time, f func(rlbfleetstate.Process)) {
	c.fleet.Processes().All(func(key rlbfleetstate.ProcessKey, process rlbfleetstate.Process) bool {
		if key.Type == rlbfleetstate.ProcessGateway && now.Sub(c.fleet.LastHeartbeat(key)) <= heartbeatTimeout {
			f(process)
		}
		return true
	})
}

// otherDomainSummaries returns the summaries received from the other failure
// domains. If several controllers summarize the same domain, the summary with
// more gateways counts, with the lowest of their note versions.
func (c *Controller) otherDomainSummaries(now time.Time) map[string]rlbfleetstate.DomainSummary {
	all := map[string]rlbfleetstate.DomainSummary{}
	c.fleet.Processes().All(func(key rlbfleetstate.ProcessKey, process rlbfleetstate.Process) bool {
		if process.Domain == nil || process.FailureDomain == c.domain || now.Sub(c.fleet.LastHeartbeat(key)) > heartbeatTimeout {
			return true
		}
		merged := *process.Domain
		if other, found := all[process.FailureDomain]; found {
			lowest := min(merged.NoteVersion, other.NoteVersion)
			if other.Gateways >= merged.Gateways {
				merged = other
			}
			merged.NoteVersion = lowest
		}
		all[process.FailureDomain] = merged
		return true
	})
	return all
}

// eachUnsummarizedGateway calls f for each gateway whose failure domain has no
// summary with gateways. Of a large failure domain only some gateways may be
// known individually, so a summary takes precedence over them.
func (c *Controller) eachUnsummarizedGateway(now time.Time, summaries map[string]rlbfleetstate.DomainSummary, f func(rlbfleetstate.Process)) {
	c.eachGateway(now, func(gateway rlbfleetstate.Process) {
		if summaries[gateway.FailureDomain].Gateways == 0 {
			f(gateway)
		}
	})
}

// refusedRequestTime is the assumed time that a refused request would have been
// in flight: about the time of a short answer. Refused requests must count as
// demand, or refusals would hide the demand that causes them.
const refusedRequestTime = time.Second

// averageDemand updates the moving average of each model's demand from the
// gateways' reports.
func (c *Controller) averageDemand(now time.Time) {
	current := map[string]float64{}
	add := func(all []rlbfleetstate.Demand) {
		for _, d := range all {
			current[d.Model] += float64(d.InFlight) + d.Refused*refusedRequestTime.Seconds()
		}
	}
	summaries := c.otherDomainSummaries(now)
	for _, s := range summaries {
		add(s.Demand)
	}
	c.eachUnsummarizedGateway(now, summaries, func(gateway rlbfleetstate.Process) { add(gateway.Demand) })
	models := c.fleet.Note().Models
	maps.DeleteFunc(c.demand, func(name string, _ float64) bool {
		_, inForce := models[name]
		return !inForce
	})
	for name := range models {
		c.demand[name] += demandWeight * (current[name] - c.demand[name])
	}
}

// gatewayVersions returns the number of known gateways, those of other failure
// domains by summary, and the lowest note version in force at any of them or at
// this controller.
func (c *Controller) gatewayVersions(now time.Time) (gateways int, lowest uint64) {
	lowest = c.fleet.Note().Version
	summaries := c.otherDomainSummaries(now)
	for _, s := range summaries {
		gateways += s.Gateways
		lowest = min(lowest, s.NoteVersion)
	}
	c.eachUnsummarizedGateway(now, summaries, func(gateway rlbfleetstate.Process) {
		gateways++
		lowest = min(lowest, gateway.NoteVersion)
	})
	return gateways, lowest
}

package rlbcontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// domainSummary is this failure domain in short.
func (c *Controller) domainSummary(now time.Time) *rlbfleetstate.DomainSummary {
	s := &rlbfleetstate.DomainSummary{NoteVersion: c.fleet.Note().Version}
	demand := map[string]rlbfleetstate.Demand{}
	c.eachGateway(now, func(node rlbfleetstate.Node) {
		if node.FailureDomain != c.domain {
			return
		}
		s.Gateways++
		s.NoteVersion = min(s.NoteVersion, node.NoteVersion)
		for _, d := range node.Demand {
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

// eachGateway calls f for each gateway whose heartbeats come.
func (c *Controller) eachGateway(now time.Time, f func(rlbfleetstate.Node)) {
	c.fleet.Nodes().All(func(key rlbfleetstate.NodeKey, node rlbfleetstate.Node) bool {
		if key.Type == rlbfleetstate.NodeGateway && now.Sub(c.fleet.LastHeartbeat(key)) <= heartbeatTimeout {
			f(node)
		}
		return true
	})
}

// otherDomainSummaries returns the other failure domains in short, as far as they are
// told. Several controllers may tell of one: then the fuller summary and the
// lower version.
func (c *Controller) otherDomainSummaries(now time.Time) map[string]rlbfleetstate.DomainSummary {
	all := map[string]rlbfleetstate.DomainSummary{}
	c.fleet.Nodes().All(func(key rlbfleetstate.NodeKey, node rlbfleetstate.Node) bool {
		if node.Domain == nil || node.FailureDomain == c.domain || now.Sub(c.fleet.LastHeartbeat(key)) > heartbeatTimeout {
			return true
		}
		merged := *node.Domain
		if other, found := all[node.FailureDomain]; found {
			lowest := min(merged.NoteVersion, other.NoteVersion)
			if other.Gateways >= merged.Gateways {
				merged = other
			}
			merged.NoteVersion = lowest
		}
		all[node.FailureDomain] = merged
		return true
	})
	return all
}

// eachUnsummarizedGateway calls f for each gateway that is in none of the summaries. Of a
// large failure domain some gateways may be known one by one, but not all:
// where a summary counts any, it goes before them.
func (c *Controller) eachUnsummarizedGateway(now time.Time, summaries map[string]rlbfleetstate.DomainSummary, f func(rlbfleetstate.Node)) {
	c.eachGateway(now, func(node rlbfleetstate.Node) {
		if summaries[node.FailureDomain].Gateways == 0 {
			f(node)
		}
	})
}

// refusedRequestTime is how long a request that was refused would have been in flight:
// about what a short answer takes. Without it, refusals would hide the demand
// that makes them necessary.
const refusedRequestTime = time.Second

// averageDemand takes the demand that gateways report into the moving average.
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
	c.eachUnsummarizedGateway(now, summaries, func(node rlbfleetstate.Node) { add(node.Demand) })
	models := c.fleet.Note().Models
	maps.DeleteFunc(c.demand, func(name string, _ float64) bool {
		_, inForce := models[name]
		return !inForce
	})
	for name := range models {
		c.demand[name] += demandWeight * (current[name] - c.demand[name])
	}
}

// gatewayVersions returns how many gateways are known, those of other failure domains
// by summary, and the lowest version in force at one of them; without any, the
// version here.
func (c *Controller) gatewayVersions(now time.Time) (gateways int, lowest uint64) {
	lowest = c.fleet.Note().Version
	summaries := c.otherDomainSummaries(now)
	for _, s := range summaries {
		gateways += s.Gateways
		lowest = min(lowest, s.NoteVersion)
	}
	c.eachUnsummarizedGateway(now, summaries, func(node rlbfleetstate.Node) {
		gateways++
		lowest = min(lowest, node.NoteVersion)
	})
	return gateways, lowest
}

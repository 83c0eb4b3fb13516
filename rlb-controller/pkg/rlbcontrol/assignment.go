package rlbcontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// assignment is what this controller derives from the instance list and the live
// controllers: the engines whose reports it collects, and the engines of each
// failure domain. It is recomputed when one of these inputs changes.
type assignment struct {
	listRevision rlbtable.Revision
	live         []rlbmembership.Controller
	collect      []rlbfleetstate.Instance            // engines whose reports this controller collects
	since        map[string]time.Time                // start of collection, by engine
	byDomain     map[string][]rlbfleetstate.Instance // engines by failure domain
	domains      []string                            // failure domains with engines, sorted
}

// updateAssignment recomputes the assignment if its inputs have changed; c.mu is
// held.
func (c *Controller) updateAssignment(now time.Time) {
	revision := c.fleet.Instances().Revision()
	if c.assignment.byDomain != nil && c.assignment.listRevision == revision && slices.Equal(c.assignment.live, c.live) {
		return
	}
	a := assignment{listRevision: revision, live: c.live, since: map[string]time.Time{}, byDomain: map[string][]rlbfleetstate.Instance{}}
	c.fleet.Instances().All(func(_ string, i rlbfleetstate.Instance) bool {
		if i.Type == rlbinstance.TypeEngine && !i.Removed {
			a.byDomain[i.FailureDomain] = append(a.byDomain[i.FailureDomain], i)
		}
		return true
	})
	for domain, engines := range a.byDomain {
		a.domains = append(a.domains, domain)
		controllers := rlbmembership.ActiveControllers(c.live, domain)
		for _, i := range engines {
			if rlbmembership.Collector(i.ID, controllers) == c.id {
				a.collect = append(a.collect, i)
				a.since[i.ID] = now
				if previous, collectedBefore := c.assignment.since[i.ID]; collectedBefore {
					a.since[i.ID] = previous
				}
			}
		}
	}
	slices.Sort(a.domains)
	c.assignment = a
	maps.DeleteFunc(c.nextPoll, func(id string, _ time.Time) bool {
		_, collected := a.since[id]
		return !collected
	})
}

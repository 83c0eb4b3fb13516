package rlbcontrol

import (
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmember"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// duties are what follows from the instance list and the live controllers.
// They are worked out anew only when one of these changes.
type duties struct {
	list     rlbtable.Revision
	live     []rlbmember.Controller
	collect  []rlbworld.Instance            // engines whose reports fall to this controller
	mine     map[string]struct{}            // their names
	byDomain map[string][]rlbworld.Instance // engines by failure domain
	domains  []string                       // with engines, sorted
}

// assign works the duties out; c.mu is held.
func (c *Controller) assign() {
	revision := c.world.Instances().Revision()
	if c.duties.mine != nil && c.duties.list == revision && slices.Equal(c.duties.live, c.live) {
		return
	}
	d := duties{list: revision, live: c.live, mine: map[string]struct{}{}, byDomain: map[string][]rlbworld.Instance{}}
	c.world.Instances().All(func(_ string, i rlbworld.Instance) bool {
		if i.Type == rlbinstance.TypeEngine && !i.Removed {
			d.byDomain[i.FailureDomain] = append(d.byDomain[i.FailureDomain], i)
		}
		return true
	})
	for domain, engines := range d.byDomain {
		d.domains = append(d.domains, domain)
		members := rlbmember.Duty(c.live, domain)
		for _, i := range engines {
			if rlbmember.Collector(i.ID, members) == c.id {
				d.collect = append(d.collect, i)
				d.mine[i.ID] = struct{}{}
			}
		}
	}
	slices.Sort(d.domains)
	c.duties = d
}

// collects reports whether an engine's reports fall to this controller.
func (c *Controller) collects(id string) bool {
	_, mine := c.duties.mine[id]
	return mine
}

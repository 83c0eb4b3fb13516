package rlbcontrol

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// Snapshot returns this controller's tables, leases and intents, and the plan
// that placement makes from them.
func (c *Controller) Snapshot() rlboperator.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := rlboperator.Snapshot{
		Taken: now.UTC(), Instance: c.id,
		Instances: rows(c.fleet.Instances()), Engines: rows(c.fleet.Engines()), Loads: rows(c.fleet.Loads()),
		Processes: rows(c.fleet.Processes()), Crashes: rows(c.fleet.Crashes()),
		Leases: map[string]string{}, Intents: map[string]rlborder.Record{},
		Input: c.placementInput(now), Opts: c.placement,
	}
	s.Plan = rlbplacement.Plan(s.Input, s.Opts)
	for domain, l := range c.leases {
		s.Leases[domain] = l.lease.Holder()
	}
	for id, t := range c.trackers {
		s.Intents[id] = t.tracker.Record()
	}
	for _, shard := range c.shards {
		s.Claims += shard.size()
	}
	return s
}

func rows[K comparable, R any](t *rlbtable.Table[K, R]) []R {
	all := []R{}
	t.All(func(_ K, row R) bool {
		all = append(all, row)
		return true
	})
	return all
}

// size returns the number of claimed keys in the shard.
func (s *shard) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Size()
}

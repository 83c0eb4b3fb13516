package rlbcontrol

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// Snapshot returns what this controller knows.
func (c *Controller) Snapshot() rlboperator.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := rlboperator.Snapshot{
		Taken: now.UTC(), Instance: c.id,
		Instances: rows(c.world.Instances()), Engines: rows(c.world.Engines()), Loads: rows(c.world.Loads()),
		Nodes: rows(c.world.Nodes()), Crashes: rows(c.world.Crashes()),
		Leases: map[string]string{}, Intents: map[string]rlborder.Record{},
		Input: c.placementInput(now), Opts: c.placement,
	}
	s.Plan = rlbplacement.Plan(s.Input, s.Opts)
	for domain, l := range c.leases {
		s.Leases[domain] = l.lease.Holder()
	}
	for id, b := range c.books {
		s.Intents[id] = b.book.Record()
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

// size returns the number of keys that the shard knows.
func (s *shard) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Size()
}

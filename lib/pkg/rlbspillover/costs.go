package rlbspillover

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies the flow of a pool from one domain to another in messages between instances.
func Key(pool, from, to string) uint64 {
	return xxhash.Sum64String(pool + "\x00" + from + "\x00" + to)
}

// avoidedCostFactor multiplies the cost of a domain that sends requests of the same pool here.
const avoidedCostFactor = 8

// CostPolicy computes the costs of other failure domains at an instance.
type CostPolicy struct {
	Domain string                            // own failure domain
	Random func() float64                    // from 0 to 1
	Share  func(key uint64) float64          // of a flow, as the delegate of its domain published it
	Delay  func(domain string) time.Duration // of the link to another domain
	Cost   time.Duration                     // of another domain for a request that is not drawn to leave
}

// Costs returns the cost of other domains for one request of a pool. For each of them it draws
// once whether the request may leave, by the share that is sent there.
func (p CostPolicy) Costs(pool string) func(domain string) time.Duration {
	drawn := map[string]time.Duration{}
	return func(domain string) time.Duration {
		cost, known := drawn[domain]
		if !known {
			cost = p.draw(pool, domain)
			drawn[domain] = cost
		}
		return cost
	}
}

func (p CostPolicy) draw(pool, domain string) time.Duration {
	switch share := p.Share(Key(pool, p.Domain, domain)); {
	case share > 0 && p.Random() < share:
		return min(p.Delay(domain), p.Cost)
	case share == 0 && p.Share(Key(pool, domain, p.Domain)) > 0:
		return avoidedCostFactor * p.Cost
	default:
		return p.Cost
	}
}

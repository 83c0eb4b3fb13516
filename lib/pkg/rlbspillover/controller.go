// Package rlbspillover decides which part of the requests of a failure domain leaves it: it
// compares what requests are expected to wait in the own domain and in others. It does no
// I/O.
package rlbspillover

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// UpdateInterval is the time between two updates of a controller.
const UpdateInterval = 250 * time.Millisecond

// Parameters of the control of shares.
const (
	// gain is the part of an imbalance that a share follows with an update. Loads of other
	// domains are some updates old, so that a larger one would overshoot.
	gain = 0.2
	// settleTime is how long an imbalance must last before requests are sent: until the loads
	// and flows of others that were there when it began are known.
	settleTime = 2 * UpdateInterval
	minShare   = 0.01 // smaller shares count as none
	// continueDivisor divides the least gain of time while requests are already sent.
	continueDivisor = 2
)

// Domain is the part of a pool in one failure domain. A pool is the endpoints that can run the
// same requests.
type Domain struct {
	Name      string
	Endpoints int           // those that answer
	Wait      time.Duration // expected by a request there, on average
	SendsHere bool          // it sends requests of the pool to this domain
}

// Opts are the settings of a controller.
type Opts struct {
	Domain string // own failure domain
	Now    func() time.Time
	// MinGain is the time by which the wait elsewhere must be shorter at least, beside the
	// delay of the link.
	MinGain time.Duration
	// MaxRate is the traffic with another domain, in bytes a second, at which no more
	// requests are sent there than must be; 0: no limit.
	MaxRate float64
}

// Controller holds the shares of the requests of a failure domain that are sent to other
// ones, by pool. It is safe for concurrent use.
type Controller struct {
	opts Opts

	mu    sync.Mutex
	pools map[string]pool
	links map[string]link // by domain
}

// pool is the state of one pool.
type pool struct {
	home    int               // endpoints in the own domain
	targets map[string]target // by domain
}

// target is another domain to which requests of a pool may be sent.
type target struct {
	endpoints int
	share     float64
	beginAt   time.Time // when a share may begin if the imbalance lasts; zero: there is none
}

// New returns a controller that sends nothing yet.
func New(opts Opts) *Controller {
	return &Controller{opts: opts, pools: map[string]pool{}, links: map[string]link{}}
}

// Update updates the shares of all pools. It forgets those that are missing.
func (c *Controller) Update(pools map[string][]Domain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]pool{}
	for name, domains := range pools {
		previous, known := c.pools[name]
		next[name] = c.nextPool(previous, known, domains)
	}
	c.pools = next
}

// nextPool returns the next state of a pool. c.mu is held.
func (c *Controller) nextPool(previous pool, known bool, domains []Domain) pool {
	home, all := Domain{Name: c.opts.Domain}, 0
	for _, d := range domains {
		all += d.Endpoints
		if d.Name == c.opts.Domain {
			home = d
		}
	}
	if !known {
		previous.home = home.Endpoints
	}
	next := pool{home: home.Endpoints, targets: map[string]target{}}
	for _, d := range domains {
		if d.Name != c.opts.Domain && d.Endpoints > 0 {
			next.targets[d.Name] = c.nextTarget(previous, home, d, all)
		}
	}
	return next
}

// nextTarget returns what is sent to a domain from now on. all is the number of endpoints in
// all domains. c.mu is held.
func (c *Controller) nextTarget(previous pool, home, d Domain, all int) target {
	old := previous.targets[d.Name]
	next := target{endpoints: d.Endpoints}
	if home.Endpoints == 0 || d.SendsHere && yields(home, d, old.share > 0) {
		return next
	}
	lost := home.Endpoints < previous.home || d.Endpoints < old.endpoints
	home.Wait = afterLoss(home.Wait, previous.home, home.Endpoints)
	d.Wait = afterLoss(d.Wait, old.endpoints, d.Endpoints)
	free := c.links[d.Name].freeShare(c.opts.MaxRate)
	change := c.imbalance(home, d, old.share > 0)*float64(d.Endpoints)/float64(all)*free - (1-free)*old.share
	if change > 0 {
		next.beginAt = old.beginAt
		if next.beginAt.IsZero() {
			next.beginAt = c.opts.Now().Add(settleTime)
		}
	}
	switch {
	case lost:
		next.share = old.share + change // there is no time to approach it
	case old.share > 0 || change > 0 && !c.opts.Now().Before(next.beginAt):
		next.share = old.share + gain*change
	}
	next.share = min(max(next.share, 0), 1)
	if next.share < minShare && change < minShare {
		next.share = 0
	}
	return next
}

// afterLoss returns the wait in a domain once its requests go to fewer endpoints than before.
func afterLoss(wait time.Duration, before, now int) time.Duration {
	if before <= now {
		return wait
	}
	return wait * time.Duration(before) / time.Duration(now)
}

// yields reports whether this domain is the one that stops when it and another one send
// requests of a pool to each other. One that does not send yet does not begin.
func yields(home, other Domain, sending bool) bool {
	return !sending || home.Name > other.Name
}

// imbalance returns, from -1 to 1, how much longer requests wait in the own domain than they
// would in another one, beyond what leaving costs, as a part of the longer wait.
func (c *Controller) imbalance(home, d Domain, sending bool) float64 {
	leaving := c.opts.MinGain
	if sending {
		leaving /= continueDivisor
	}
	leaving += c.links[d.Name].delay
	longest := max(home.Wait, d.Wait+leaving)
	if longest <= 0 {
		return 0
	}
	return float64(home.Wait-d.Wait-leaving) / float64(longest)
}

// Flow is a share of the requests of a pool that is sent to another domain.
type Flow struct {
	Pool   string
	Domain string
	Share  float64
}

// Flows returns the flows that leave the own domain, sorted.
func (c *Controller) Flows() []Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var flows []Flow
	for name, p := range c.pools {
		for domain, t := range p.targets {
			if t.share > 0 {
				flows = append(flows, Flow{name, domain, t.share})
			}
		}
	}
	slices.SortFunc(flows, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain)) })
	return flows
}

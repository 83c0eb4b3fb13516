package rlbapp

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbspillover"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbproxy"
)

// spilloverLogInterval is the time between two log lines about the flows to other domains.
const spilloverLogInterval = 5 * time.Second

// spillover decides, as the delegate of its failure domain, which shares of the domain's requests
// leave it, and applies what the delegate decided. It implements rlbproxy.Spillover.
type spillover struct {
	app        *app
	controller *rlbspillover.Controller
	limited    bool                              // the traffic with other domains has a limit
	domainOf   atomic.Pointer[map[string]string] // failure domain by address of an endpoint
	shares     atomic.Pointer[rlbpeer.Spillover] // that this instance publishes
	traffic    atomic.Pointer[map[string]uint32] // bytes a second of this instance, by domain
	logged     time.Time                         // latest log line about flows

	mu       sync.Mutex
	bytes    map[string]int // since the latest step, by domain
	requests map[string]metrics.Counter
}

// newSpillover returns nil if the settings do not ask for it.
func newSpillover(a *app) *spillover {
	if !a.Settings.Bool(rlbsettings.NodeSpillover) {
		return nil
	}
	rate := float64(a.Settings.Bytes(rlbsettings.NodeSpilloverRate))
	s := &spillover{app: a, limited: rate > 0, bytes: map[string]int{}, requests: map[string]metrics.Counter{}}
	s.controller = rlbspillover.New(rlbspillover.Opts{
		Domain: a.domain, Now: rlbclock.Now, MinGain: a.Settings.Duration(rlbsettings.NodeSpilloverGain), MaxRate: rate,
	})
	s.shares.Store(&rlbpeer.Spillover{})
	s.traffic.Store(&map[string]uint32{})
	s.domainOf.Store(&map[string]string{})
	return s
}

// Costs implements rlbproxy.Spillover.
func (s *spillover) Costs(pool string) func(domain string) time.Duration {
	now := rlbclock.Now()
	own := *s.shares.Load()
	return rlbspillover.CostPolicy{
		Domain: s.app.domain, Random: rand.Float64, Cost: rlbbalancer.CrossDomainCost, Delay: s.controller.Delay,
		Share: func(key uint64) float64 { return max(own.Share(key), s.app.fleet.SpilloverShare(now, key)) },
	}.Costs(pool)
}

// RecordRequest implements rlbproxy.Spillover.
func (s *spillover) RecordRequest(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter := s.requests[domain]
	if counter == nil {
		counter = metrics.GetOrRegisterCounter("spillover_requests_"+domain, s.app.registry)
		s.requests[domain] = counter
	}
	counter.Inc(1)
}

// RecordTraffic implements rlbproxy.Spillover.
func (s *spillover) RecordTraffic(domain string, bytes int) {
	if !s.limited {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes[domain] += bytes
}

// measured returns a dial function that records how long connections to other domains take;
// without spillover the given one.
func (s *spillover) measured(dial rlbdispatch.Dial) rlbdispatch.Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		start := rlbclock.Now()
		conn, err := dial(ctx, address)
		if domain := (*s.domainOf.Load())[address]; err == nil && domain != "" && domain != s.app.domain {
			s.controller.RecordDelay(domain, rlbclock.Now().Sub(start))
		}
		return conn, err
	}
}

// run updates the shares until ctx ends.
func (s *spillover) run(ctx context.Context) {
	for rlbcommon.Sleep(ctx, rlbspillover.UpdateInterval) {
		s.step()
	}
}

func (s *spillover) step() {
	now, a := rlbclock.Now(), s.app
	domains := map[string]string{}
	for _, e := range a.view.Snapshot().ByID {
		domains[e.Address] = e.Domain
	}
	s.domainOf.Store(&domains)
	s.measureTraffic(now)
	if a.settled() && a.fleet.IsDelegate(now, func(d rlbpeer.Digest) bool { return !d.Draining }) {
		s.controller.Update(s.pools(now))
	} else {
		s.controller.Update(nil)
	}
	flows := s.controller.Flows()
	shares := rlbpeer.NewSpillover(a.domain, flows)
	s.shares.Store(&shares)
	s.logFlows(now, flows)
}

// measureTraffic updates the traffic with each other domain, of this instance and of its domain.
func (s *spillover) measureTraffic(now time.Time) {
	s.mu.Lock()
	bytes := s.bytes
	s.bytes = map[string]int{}
	s.mu.Unlock()
	next := map[string]uint32{}
	for domain, n := range bytes {
		next[domain] = uint32(min(float64(n)/rlbspillover.UpdateInterval.Seconds(), math.MaxUint32))
	}
	s.traffic.Store(&next)
	if !s.limited {
		return
	}
	total := s.app.fleet.Traffic(now)
	for domain, rate := range next {
		total[domain] += float64(rate)
	}
	for _, other := range s.app.fleet.LiveSummaries(now) {
		s.controller.SetRate(other.Domain, total[other.Domain])
	}
}

// pools returns what is known of each pool that has endpoints.
func (s *spillover) pools(now time.Time) map[string][]rlbspillover.Domain {
	a := s.app
	snapshot, changes := a.view.Snapshot(), a.modelChanges()
	pools := poolSet{}
	for _, e := range snapshot.ByID {
		if e.Draining || a.silent(e.ID) {
			continue
		}
		wait := a.cost(e, e.Domain)
		if snapshot.Config != nil && snapshot.Config.Services[e.Service].Engine == nil {
			pools.add(rlbproxy.PoolName(e.Service, ""), e, wait)
		}
		for _, m := range e.LoadedModels {
			if changes.Serves(e, m.Model) {
				pools.add(rlbproxy.PoolName(e.Service, m.Model), e, wait)
			}
		}
	}
	return pools.domains(func(pool, domain string) bool {
		return a.fleet.SpilloverShare(now, rlbspillover.Key(pool, domain, a.domain)) > 0
	})
}

// poolSet adds up the endpoints of pools by failure domain.
type poolSet map[string]map[string]*rlbspillover.Domain

func (p poolSet) add(pool string, e *rlbdeployment.Endpoint, wait time.Duration) {
	if p[pool] == nil {
		p[pool] = map[string]*rlbspillover.Domain{}
	}
	d := p[pool][e.Domain]
	if d == nil {
		d = &rlbspillover.Domain{Name: e.Domain}
		p[pool][e.Domain] = d
	}
	d.Wait += wait // the sum until domains divides it
	d.Endpoints++
}

func (p poolSet) domains(sendsHere func(pool, domain string) bool) map[string][]rlbspillover.Domain {
	all := map[string][]rlbspillover.Domain{}
	for pool, byDomain := range p {
		for _, d := range byDomain {
			all[pool] = append(all[pool], rlbspillover.Domain{
				Name: d.Name, Endpoints: d.Endpoints, Wait: d.Wait / time.Duration(d.Endpoints), SendsHere: sendsHere(pool, d.Name),
			})
		}
	}
	return all
}

// logFlows logs the flows that leave the domain, as its delegate.
func (s *spillover) logFlows(now time.Time, flows []rlbspillover.Flow) {
	metrics.GetOrRegisterGauge("spillover_flows", s.app.registry).Update(int64(len(flows)))
	if len(flows) == 0 || now.Sub(s.logged) < spilloverLogInterval {
		return
	}
	s.logged = now
	largest := flows[0]
	for _, flow := range flows {
		if flow.Share > largest.Share {
			largest = flow
		}
	}
	s.app.Log.WithFields(log.Fields{
		"flows": len(flows), "pool": largest.Pool, "to": largest.Domain, "share": largest.Share, "link_ms": s.controller.Delay(largest.Domain).Milliseconds(),
	}).Info("requests leave the failure domain; the largest share")
}

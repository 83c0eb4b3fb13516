// Package rlbratelimit keeps the requests that all instances send to an endpoint within
// the limit that the endpoint states in its answers.
//
// Each instance counts the requests for which the endpoint is its first choice and
// publishes their rate. An instance sends the share limit / (rate of all instances) of its
// own ones and takes another endpoint for the rest. So the instances keep to the limit
// together, without a call before a request, whatever part of the requests each of them
// gets. The package does no I/O.
package rlbratelimit

import (
	"math"
	"sync"
	"time"
)

// Timing and shares.
const (
	// demandTime and sentTime are the times over which the rates are averaged.
	demandTime = time.Second
	sentTime   = 2 * time.Second
	// statementTTL is how long a limit holds without a further answer that states it.
	statementTTL = 15 * time.Second
	// leastRankShare is the share of a limit that the requests of each rank get at least.
	leastRankShare = 0.1
	// sentTolerance is the ratio of sent requests to the limit above which instances send
	// fewer: demand that rises is known to the others only after a while.
	sentTolerance = 1.1
	// idleTime is the time without a request or a statement after which an endpoint is
	// forgotten.
	idleTime = time.Minute
)

// Statement is what an endpoint stated about its limit in an answer.
type Statement struct {
	PerSecond float64   // requests a second from all instances together; 0: no limit
	At        time.Time // zero: no answer is known
}

// later returns the later of two statements.
func (s Statement) later(other Statement) Statement {
	if other.At.After(s.At) {
		return other
	}
	return s
}

// limit returns the limit at now; 0: none.
func (s Statement) limit(now time.Time) float64 {
	if s.At.IsZero() || now.Sub(s.At) > statementTTL {
		return 0
	}
	return s.PerSecond
}

// Ranks is the number of ranks of requests. Rank 0 comes first; requests with a lower
// priority than the last rank have the last rank.
const Ranks = 3

// RankOf returns the rank of requests with a priority, of which 0 is the highest.
func RankOf(priority int) int { return min(max(priority, 0), Ranks-1) }

// Demand is the rate of the requests for which an endpoint is the first choice, and of
// those that were sent to it, in requests a second.
type Demand struct {
	Wanted [Ranks]float64
	Sent   float64
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	d.Sent += other.Sent
	for rank, perSecond := range other.Wanted {
		d.Wanted[rank] += perSecond
	}
	return d
}

// total returns the rate of all requests for which the endpoint is the first choice.
func (d Demand) total() float64 {
	sum := 0.0
	for _, perSecond := range d.Wanted {
		sum += perSecond
	}
	return sum
}

// Peers is what the other instances publish about an endpoint.
type Peers struct {
	Statement Statement // latest one that they got
	Demand    Demand    // sum
}

// Add returns the sum of what two instances publish.
func (p Peers) Add(other Peers) Peers {
	return Peers{Statement: p.Statement.later(other.Statement), Demand: p.Demand.Add(other.Demand)}
}

// Report is what this instance publishes about an endpoint.
type Report struct {
	Endpoint  string
	Statement Statement // latest one that this instance got itself
	Demand    Demand
}

// rate is a moving average of the rate of events.
type rate struct {
	perSecond float64 // at updated
	updated   time.Time
}

// at returns the rate at now, averaged over a time.
func (r *rate) at(now time.Time, over time.Duration) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updated).Seconds()/over.Seconds())
}

func (r *rate) add(now time.Time, over time.Duration) {
	r.perSecond, r.updated = r.at(now, over)+1/over.Seconds(), now
}

// endpointLimit is the state of one endpoint.
type endpointLimit struct {
	statement Statement // latest one in an answer to this instance
	wanted    [Ranks]rate
	sent      rate
	// credit grows with each request of a rank by the share of them that may be sent; at 1
	// one is sent.
	credit      [Ranks]float64
	lastUsed    time.Time
	lastLimited time.Time // when a limit was last in force, as far as this instance knew
}

// limit returns the limit in force at now; 0: none.
func (e *endpointLimit) limit(now time.Time, peers Peers) float64 {
	limit := e.statement.later(peers.Statement).limit(now)
	if limit > 0 {
		e.lastLimited = now
	}
	return limit
}

func (e *endpointLimit) demand(now time.Time) Demand {
	d := Demand{Sent: e.sent.at(now, sentTime)}
	for rank := range e.wanted {
		d.Wanted[rank] = e.wanted[rank].at(now, demandTime)
	}
	return d
}

// Opts are the dependencies of a limiter.
type Opts struct {
	Now    func() time.Time
	Random func() float64              // uniform in [0,1): where in their cycles instances begin
	Peers  func(endpoint string) Peers // what the other instances publish
}

// Limiter decides which requests an instance may send to limited endpoints. It is safe for
// concurrent use.
type Limiter struct {
	opts      Opts
	mu        sync.Mutex
	endpoints map[string]*endpointLimit
}

// New returns a limiter that knows no limit.
func New(opts Opts) *Limiter { return &Limiter{opts: opts, endpoints: map[string]*endpointLimit{}} }

// state returns the state of an endpoint, which is created if there is none.
func (l *Limiter) state(now time.Time, endpoint string) *endpointLimit {
	e := l.endpoints[endpoint]
	if e == nil {
		e = &endpointLimit{}
		for rank := range e.credit {
			e.credit[rank] = l.opts.Random()
		}
		l.endpoints[endpoint] = e
	}
	e.lastUsed = now
	return e
}

// RecordStatement records the limit that an endpoint states in an answer, in requests a
// second from all instances together; 0: it states none. It reports whether this differs
// from the answer before.
func (l *Limiter) RecordStatement(endpoint string, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	e := l.state(now, endpoint)
	changed := e.statement.PerSecond != perSecond
	e.statement = Statement{PerSecond: perSecond, At: now}
	return changed
}

// Admit reports whether a request of a rank may be sent to the endpoint, which is its
// first choice.
func (l *Limiter) Admit(endpoint string, rank int) bool {
	peers := l.opts.Peers(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	e := l.state(now, endpoint)
	e.wanted[rank].add(now, demandTime)
	if limit := e.limit(now, peers); limit > 0 {
		e.credit[rank] += share(limit, e.demand(now).Add(peers.Demand), rank)
		if e.credit[rank] < 1 {
			return false
		}
		e.credit[rank]--
	}
	e.sent.add(now, sentTime)
	return true
}

// share returns which part of the requests of a rank may be sent. Those of lower ranks
// come first, and each later rank keeps a part of the limit.
func share(limit float64, demand Demand, rank int) float64 {
	if excess := demand.Sent / (sentTolerance * limit); excess > 1 {
		limit /= excess
	}
	left, granted := limit, 0.0
	for r := 0; r <= rank; r++ {
		kept := 0.0
		for _, wanted := range demand.Wanted[r+1:] {
			kept += min(wanted, leastRankShare*limit)
		}
		granted = min(demand.Wanted[r], left-kept)
		left -= granted
	}
	return granted / demand.Wanted[rank]
}

// maxDebt is how many requests an instance at most makes up for.
const maxDebt = 4

// Charge counts a request that is sent without admission. The next ones of its rank make
// up for it.
func (l *Limiter) Charge(endpoint string, rank int) {
	peers := l.opts.Peers(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	e := l.state(now, endpoint)
	e.sent.add(now, sentTime)
	if e.limit(now, peers) > 0 {
		e.credit[rank] = max(e.credit[rank]-1, -maxDebt)
	}
}

// Utilization returns which part of its limit the endpoint's demand takes, at most 1; 0 if
// it has no limit.
func (l *Limiter) Utilization(endpoint string) float64 {
	peers := l.opts.Peers(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil {
		return 0
	}
	now := l.opts.Now()
	limit := e.limit(now, peers)
	if limit == 0 {
		return 0
	}
	return min(1, e.demand(now).Add(peers.Demand).total()/limit)
}

// fullCost is the cost of an endpoint whose limit is used up. Requests that others can run
// leave the limit to those that only this endpoint can run.
const fullCost = 300 * time.Millisecond

// Cost returns the cost of sending a request to an endpoint because of its limit.
func (l *Limiter) Cost(endpoint string) time.Duration {
	return time.Duration(l.Utilization(endpoint) * float64(fullCost))
}

// Reports returns what to publish: about the endpoints that are limited or were so lately,
// so that the other instances hear when a limit ends.
func (l *Limiter) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	var reports []Report
	for id, e := range l.endpoints {
		if now.Sub(e.lastUsed) > idleTime {
			delete(l.endpoints, id)
			continue
		}
		if e.limit(now, l.opts.Peers(id)) == 0 && now.Sub(e.lastLimited) > statementTTL {
			continue
		}
		reports = append(reports, Report{Endpoint: id, Statement: e.statement, Demand: e.demand(now)})
	}
	return reports
}

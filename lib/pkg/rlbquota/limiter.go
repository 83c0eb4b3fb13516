// Package rlbquota keeps the requests that all instances admit for a workspace within its
// quota.
//
// Each instance follows the bucket of the workspace, which all share: it subtracts what it
// admits itself at once and what others admit when they publish it. While the bucket is well
// filled an instance admits all requests. When it runs short, each admits the same share of
// its requests: what the bucket can give over what all callers ask for. Nothing is called
// before a request. What instances and failure domains used that are silent now, their share
// of the limit, is reserved for them; so an instance that hears nobody uses the share that it
// had, and no more. The package does no I/O.
package rlbquota

import (
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Times.
const (
	// usedTime is the time over which used amounts decay in messages. It is long beside the
	// age of messages, in which a part of them decays unseen.
	usedTime  = 30 * time.Second
	askedTime = time.Second // over which the rate that callers ask for is averaged
	// usualTime is the time over which the demand that a rise is compared with is averaged.
	usualTime = 4 * time.Second
	// freshTime is the longest usual time between two messages of a source.
	freshTime = 350 * time.Millisecond
	// silenceTime is the time without a message after which a source counts as cut off.
	silenceTime = 900 * time.Millisecond
	// correctionTime is the time over which the instances use what the bucket holds, or make
	// up for what was used too much. Shorter than a few messages, they would overshoot.
	correctionTime = 500 * time.Millisecond
	// agreementTime is the time in which the levels that instances follow come closer. They
	// differ by what was used around a restart or an interruption.
	agreementTime = time.Second
	// newsTime is the time after which the other instances know of an admitted request.
	newsTime = 300 * time.Millisecond
	// refreshInterval is the longest time for which sums over the sources are used.
	refreshInterval = 50 * time.Millisecond
	// publishedTime is the time after its last request for which a workspace is published.
	publishedTime = 2 * time.Second
	// settleTime is the time after its start within which an instance does not know all
	// others of its domain, and publishes nothing for them.
	settleTime = 500 * time.Millisecond
	// assumedInstances is the number of instances assumed while nothing is known of others.
	assumedInstances = 10
	// forgetTime is the time after which silent instances lose what is reserved for them, if
	// this instance hears most, and unused workspaces are forgotten.
	forgetTime = 10 * time.Minute
)

// equalShare is the part of the shares of silent sources that does not depend on what they
// used.
const equalShare = 0.25

// Opts are the dependencies of a limiter.
type Opts struct {
	Now    func() time.Time
	Random func() float64 // uniform in [0,1)
	Domain string         // own failure domain
	// Registered returns the numbers of registered instances by failure domain.
	Registered func() map[string]int
	// InForce reports whether there are quotas. If not, nothing is published.
	InForce func() bool
}

// Limiter decides which requests of workspaces an instance admits. It is safe for concurrent
// use.
type Limiter struct {
	opts    Opts
	started time.Time
	mu      sync.Mutex
	sources map[string]*source
	buckets map[uint32]*bucket
}

// New returns the limiter of an instance that starts.
func New(opts Opts) *Limiter {
	return &Limiter{opts: opts, started: opts.Now(), sources: map[string]*source{}, buckets: map[uint32]*bucket{}}
}

// bucket returns the bucket of a workspace, which is created if there is none.
func (l *Limiter) bucket(now time.Time, key uint32) *bucket {
	b := l.buckets[key]
	if b == nil {
		b = &bucket{reports: map[string]*report{}, credit: l.opts.Random(), since: l.started, updated: now, agreed: now, lastUsed: now}
		l.buckets[key] = b
	}
	return b
}

// Admit reports whether a request that costs an amount of the quota of its workspace may be
// sent to an endpoint, and when a refused caller should come back.
func (l *Limiter) Admit(workspace string, q rlbdeployment.Quota, cost float64) (admitted bool, retryAfter time.Duration) {
	if !q.Limited() {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	b := l.bucket(now, Key(workspace))
	b.name, b.lastUsed = workspace, now
	l.setQuota(now, b, q)
	b.asked.add(now, askedTime, cost/askedTime.Seconds())
	b.usual.add(now, usualTime, cost/usualTime.Seconds())
	if now.Sub(b.refreshed) > refreshInterval {
		l.refresh(now, b)
	}
	b.fill(now)
	if b.admits(now, cost) {
		b.used.add(now, usedTime, cost)
		b.charge(now, cost)
		b.admitted++
		return true, 0
	}
	b.refused++
	return false, b.retryAfter(now, l.opts.Random())
}

// Refund gives back what a request cost that was admitted and did not run.
func (l *Limiter) Refund(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[Key(workspace)]
	if b == nil {
		return
	}
	now := l.opts.Now()
	b.used.add(now, usedTime, -cost)
	b.charge(now, -cost)
}

// setQuota puts a quota in force.
func (l *Limiter) setQuota(now time.Time, b *bucket, q rlbdeployment.Quota) {
	switch {
	case b.quota == q:
		return
	case b.quota.Limited():
		b.fill(now)
		b.quota = q
	default: // the first request
		b.quota, b.updated = q, now
		l.refresh(now, b)
		b.level = b.firstLevel(now.Sub(l.started))
	}
	b.level = min(b.level, b.capacity())
}

// ApplyInstance takes in the usages that another instance of the own failure domain
// published.
func (l *Limiter) ApplyInstance(m Message, usages []Usage) { l.apply("i/"+m.Source, false, m, usages) }

// ApplyDomain takes in the usages that the delegate of another failure domain published.
func (l *Limiter) ApplyDomain(m Message, usages []Usage) { l.apply("d/"+m.Source, true, m, usages) }

func (l *Limiter) apply(id string, domain bool, m Message, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	s := l.sources[id]
	if s == nil {
		s = &source{domain: domain}
		l.sources[id] = s
	} else if !s.supersededBy(now, m) {
		return
	}
	if c := s.continuityOf(now, m); c != continued {
		l.interrupt(now, id, c)
	}
	m.Members = min(max(m.Members, 1), maxMembers)
	s.latest, s.heard = m, now
	for _, u := range usages {
		l.applyUsage(now, id, u)
	}
}

// applyUsage takes in a usage of a source.
func (l *Limiter) applyUsage(now time.Time, id string, u Usage) {
	b := l.bucket(now, u.Workspace)
	b.lastUsed = now
	used := b.report(id).follow(now, u)
	if b.quota.Limited() {
		b.charge(now, used)
	}
}

// interrupt brings all buckets up to date with what was reserved for a source until now, and
// notes how its next usages relate to those before.
func (l *Limiter) interrupt(now time.Time, id string, c continuity) {
	for _, b := range l.buckets {
		l.refresh(now, b)
		r := b.report(id)
		r.next, r.unseen = c, 0
		if s := l.sources[id]; !s.silent(now) {
			r.unseen = b.share * r.likely * now.Sub(r.asked.at).Seconds()
		}
	}
}

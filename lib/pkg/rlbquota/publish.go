package rlbquota

import (
	"cmp"
	"slices"
	"time"
)

// Usages returns what this instance publishes within its failure domain: its use of the
// workspaces that had requests lately. It also forgets what is not used any more.
func (l *Limiter) Usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.forget(now)
	if !l.opts.InForce() {
		return nil
	}
	var all []Usage
	for key, b := range l.buckets {
		l.refresh(now, b)
		u := Usage{Workspace: key, Used: b.used.value(now, usedTime), Asked: b.askedAt(now), Level: b.level}
		if now.Sub(b.asked.at) <= publishedTime && b.inDigest.due(now, u.Asked, b.pressing(now)) {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, byWorkspace)
	return all
}

// DomainUsages returns what the delegate of a failure domain publishes for it: the use by all
// of its instances, of the workspaces that had requests lately at any of them. It is not known
// soon after a start, when others of the domain may not have published yet.
func (l *Limiter) DomainUsages() (all []Usage, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if now.Sub(l.started) < settleTime || !l.opts.InForce() {
		return nil, false
	}
	for key, b := range l.buckets {
		if u, active := l.domainUsage(now, b); active && b.inSummary.due(now, u.Asked, b.pressing(now)) {
			u.Workspace = key
			all = append(all, u)
		}
	}
	slices.SortFunc(all, byWorkspace)
	return all, true
}

// calmPeriod is the time between two publications of a workspace that is far from its limit.
const calmPeriod = time.Second

// risingRatio is the growth of the rate that callers ask for that is published at once.
const risingRatio = 1.5

// publication is the latest publication of a workspace in messages of one kind.
type publication struct {
	at    time.Time
	asked float64
}

// due reports whether a workspace is to be published, and notes it.
func (p *publication) due(now time.Time, asked float64, pressing bool) bool {
	if !pressing && now.Sub(p.at) < calmPeriod && asked < risingRatio*p.asked {
		return false
	}
	p.at, p.asked = now, asked
	return true
}

// pressing reports whether the bucket may run short soon.
func (b *bucket) pressing(now time.Time) bool {
	_, asked := b.estimate(now)
	return asked > b.rate()/2 || b.level < b.capacity()/2
}

// domainUsage returns the use of a workspace by the own domain, and whether there were
// requests lately.
func (l *Limiter) domainUsage(now time.Time, b *bucket) (u Usage, active bool) {
	u = Usage{Used: b.used.value(now, usedTime), Asked: b.askedAt(now), Reserved: b.domainReserved}
	levels, count := 0.0, 0
	if now.Sub(b.asked.at) <= publishedTime {
		levels, count = b.level, 1
	}
	for id, r := range b.reports {
		s := l.sources[id]
		if s == nil || s.domain {
			continue
		}
		u.Used += r.total(now)
		if s.silent(now) {
			continue
		}
		u.Asked += r.askedAt(s.heard)
		if now.Sub(r.asked.at) <= publishedTime {
			levels, count = levels+r.level, count+1
		}
	}
	u.Level = levels / float64(max(count, 1))
	return u, count > 0
}

func byWorkspace(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) }

// forget removes sources and buckets that are of no use any more.
func (l *Limiter) forget(now time.Time) {
	instances, live, _ := l.count(now)
	for id, s := range l.sources {
		gone := s.silent(now) && s.latest.Draining || 2*live > instances && now.Sub(s.heard) > forgetTime
		if gone && now.Sub(s.heard) > usedTime {
			delete(l.sources, id)
			for _, b := range l.buckets {
				delete(b.reports, id)
			}
		}
	}
	for key, b := range l.buckets {
		if now.Sub(b.lastUsed) > forgetTime {
			delete(l.buckets, key)
		}
	}
}

// State is what an instance knows about the quota of a workspace.
type State struct {
	Workspace         string
	PerSecond         float64 // limit
	Level             float64 // of the shared bucket as this instance follows it; less than 0: a debt
	Asked             float64 // units a second that callers of all live instances ask for
	Share             float64 // latest share of requests that were admitted
	Reserved          float64 // share of the limit that silent instances may use
	Admitted, Refused uint64  // requests at this instance
}

// States returns the states of the workspaces that had requests at this instance, by name.
func (l *Limiter) States() []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	var all []State
	for _, b := range l.buckets {
		if !b.quota.Limited() {
			continue
		}
		b.fill(now)
		level, asked := b.estimate(now)
		all = append(all, State{
			Workspace: b.name, PerSecond: b.quota.PerSecond(), Level: level, Asked: asked, Share: b.share, Reserved: b.reserved,
			Admitted: b.admitted, Refused: b.refused,
		})
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

package rlbquota

import (
	"math"
	"time"
)

// maxReserved is less than 1 for the rounding of shares that add up to it.
const maxReserved = 0.9999

// refresh sums up what the sources published about a workspace, and reserves the shares of
// the silent ones.
func (l *Limiter) refresh(now time.Time, b *bucket) {
	b.refreshed = now
	l.sumDemand(now, b)
	l.sumLevels(now, b)
	l.reserveShares(now, b)
	b.agree(now)
}

// maxRise is the largest rise of the demand at a source that is assumed unheard.
const maxRise = 8

// sumDemand sums up what callers of the live sources ask for. The demand at sources of which
// no message arrived in time is taken to rise like that at the others: a rise that they
// could not publish would be noticed too late.
func (l *Limiter) sumDemand(now time.Time, b *bucket) {
	asked, usual := b.askedAt(now), b.askedUsually(now)
	for id, s := range l.sources {
		if r := b.report(id); s.fresh(now) {
			asked += r.askedAt(s.heard)
			usual += r.usual
		}
	}
	rise := min(asked/max(usual, 1), maxRise)
	b.peersAsked, b.peersUnseen = 0, 0
	for id, s := range l.sources {
		if s.silent(now) {
			continue
		}
		r := b.reports[id]
		asked := r.askedAt(s.heard)
		if !s.fresh(now) {
			asked = max(asked, r.usual*rise)
		}
		r.likely = asked
		b.peersAsked += asked
		b.peersUnseen += asked * now.Sub(r.asked.at).Seconds()
	}
}

// sumLevels sums up what the sources used, and the levels that they follow.
func (l *Limiter) sumLevels(now time.Time, b *bucket) {
	b.peersUsed, b.peersLevels = 0, 0
	levels := 0.0
	for id, s := range l.sources {
		r := b.report(id)
		b.peersUsed += r.total(now)
		if !s.silent(now) && now.Sub(r.asked.at) <= freshTime {
			levels += r.level * float64(s.latest.Members)
			b.peersLevels += s.latest.Members
		}
	}
	b.peersLevel = levels / float64(max(b.peersLevels, 1))
}

// reserveShares reserves the shares of the silent sources, and notes those of the others,
// which remain theirs if they fall silent.
func (l *Limiter) reserveShares(now time.Time, b *bucket) {
	instances, live, unheard := l.count(now)
	used := b.peersUsed + b.used.value(now, usedTime)
	reserved := float64(unheard) / float64(instances)
	b.domainReserved = 0
	for id, s := range l.sources {
		r := b.reports[id]
		if s.fresh(now) {
			r.share = share(r.total(now), used, float64(s.latest.Members)/float64(instances))
		}
		kept := 0.0
		if s.silent(now) && !s.latest.Draining && (2*live <= instances || now.Sub(s.heard) < forgetTime) {
			kept = r.share
		}
		if !s.domain {
			b.domainReserved += kept
		}
		reserved += kept + r.reservedAt(now, s.silent(now))
	}
	b.reserve(now, min(reserved, maxReserved))
}

// share returns the share of the limit of a source that has used a part of all that was used
// and has a part of the instances.
func share(used, usedByAll, ofInstances float64) float64 {
	if usedByAll <= 0 {
		return ofInstances
	}
	return equalShare*ofInstances + (1-equalShare)*used/usedByAll
}

// count returns the numbers of all known instances, of the live ones and of those of which
// nothing was heard.
func (l *Limiter) count(now time.Time) (instances, live, unheard int) {
	unheard = l.unheard(now)
	instances, live = 1+unheard, 1
	for _, s := range l.sources {
		instances += s.latest.Members
		if !s.silent(now) {
			live += s.latest.Members
		}
	}
	return instances, live, unheard
}

// unheard returns the number of instances of which nothing was heard, neither from them nor
// from their failure domain.
func (l *Limiter) unheard(now time.Time) int {
	if len(l.sources) == 0 && now.Sub(l.started) < settleTime {
		return assumedInstances - 1
	}
	heard := map[string]int{l.opts.Domain: 1}
	for _, s := range l.sources {
		if s.domain {
			heard[s.latest.Source] = math.MaxInt
		} else {
			heard[l.opts.Domain]++
		}
	}
	n := 0
	for domain, registered := range l.opts.Registered() {
		n += max(registered-heard[domain], 0)
	}
	return n
}

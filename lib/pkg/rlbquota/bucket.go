package rlbquota

import (
	"math"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Limits of the time after which a refused caller should come back.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 20 * time.Second
)

// bucket is the bucket of a workspace as this instance follows it.
type bucket struct {
	name     string    // empty until the first request here
	since    time.Time // start of the instance
	quota    rlbdeployment.Quota
	level    float64 // what may be used; less than 0: what was used too much
	updated  time.Time
	agreed   time.Time // when the level was last brought closer to those of the sources
	charged  recentSum // what was taken from the level within silenceTime
	lastUsed time.Time
	used     decaying // by this instance
	asked    decaying // units a second, from callers of this instance
	usual    decaying // the same, over usualTime
	reports  map[string]*report
	// credit grows with each request by the share of them that may be admitted; at 1 one is
	// admitted.
	credit              float64
	admitted, refused   uint64
	inDigest, inSummary publication

	// Sums over the sources.
	refreshed   time.Time
	reserved    float64 // share of the limit that silent sources may use
	peersAsked  float64 // units a second at the live sources
	peersUnseen float64 // the same times the ages of their latest usages: units that may have been used since
	peersUsed   float64
	peersLevel  float64 // mean level
	peersLevels int     // number of instances that it is the mean of
	// domainReserved is the part of reserved that instances of the own domain may use.
	domainReserved float64
	share          float64 // latest share of requests that may be admitted; at most 1
}

// report returns what is known of a source, which is created if there is nothing.
func (b *bucket) report(id string) *report {
	r := b.reports[id]
	if r == nil {
		r = &report{}
		b.reports[id] = r
	}
	return r
}

// minAskedSpan is the shortest time over which the rate that callers ask for is averaged.
const minAskedSpan = 400 * time.Millisecond

// askedAt returns the rate that callers of this instance ask for in units a second. After the
// start it is the average over the time since then.
func (b *bucket) askedAt(now time.Time) float64 { return b.average(now, b.asked, askedTime) }

// askedUsually returns the same rate, averaged over usualTime.
func (b *bucket) askedUsually(now time.Time) float64 { return b.average(now, b.usual, usualTime) }

func (b *bucket) average(now time.Time, rate decaying, over time.Duration) float64 {
	span := max(now.Sub(b.since), minAskedSpan)
	return rate.value(now, over) / (1 - math.Exp(-span.Seconds()/over.Seconds()))
}

// capacity returns what the bucket holds at most.
func (b *bucket) capacity() float64 { return b.quota.Burst() * (1 - b.reserved) }

// rate returns the rate at which the bucket fills, in units a second.
func (b *bucket) rate() float64 { return b.quota.PerSecond() * (1 - b.reserved) }

// maxDebtTime is the longest time in which a debt is paid back: a message that means less
// must not turn a workspace away for good.
const maxDebtTime = 10 * time.Second

// fill adds what the bucket gained until now.
func (b *bucket) fill(now time.Time) {
	if now.After(b.updated) {
		b.level += b.rate() * now.Sub(b.updated).Seconds()
		b.updated = now
	}
	b.level = min(max(b.level, -b.rate()*maxDebtTime.Seconds()), b.capacity())
}

// charge takes an amount from the level.
func (b *bucket) charge(now time.Time, amount float64) {
	b.fill(now)
	b.level -= amount
	b.charged.add(now, amount)
}

// reserve sets the share of the limit that silent sources may use. They take their part of
// the level along that there was when they were last heard: they know nothing of what was
// charged since then. They bring nothing back.
func (b *bucket) reserve(now time.Time, share float64) {
	b.fill(now)
	if share > b.reserved {
		charged := b.charged.total(now)
		b.level = (b.level+charged)*(1-share)/(1-b.reserved) - charged
	}
	b.reserved = share
}

// agree brings the level closer to the mean level of the live sources.
func (b *bucket) agree(now time.Time) {
	elapsed := now.Sub(b.agreed)
	b.agreed = now
	if b.peersLevels > 0 {
		b.level += (b.peersLevel - b.level) * (1 - math.Exp(-elapsed.Seconds()/agreementTime.Seconds()))
	}
}

// startTime is the shortest time that an instance does not run before a restart.
const startTime = 500 * time.Millisecond

// firstLevel returns the level at the first request at an instance that runs for a time: that
// of the others, or what the bucket gained since the last requests before the start. What was
// left before these is not handed out again.
func (b *bucket) firstLevel(running time.Duration) float64 {
	if b.peersLevels > 0 {
		return b.peersLevel
	}
	return min(b.rate()*(running+startTime).Seconds(), b.capacity())
}

// estimate returns the level less what others are likely to have used and not published, and
// the rate that callers ask for in units a second.
func (b *bucket) estimate(now time.Time) (level, asked float64) {
	unseen := b.peersUnseen + b.peersAsked*now.Sub(b.refreshed).Seconds()
	return b.level - b.share*unseen, b.peersAsked + b.askedAt(now)
}

// admits decides about a request.
func (b *bucket) admits(now time.Time, cost float64) bool {
	if b.peersAsked == 0 && b.reserved == 0 { // nobody else uses the bucket
		b.share = 0
		if b.level >= min(cost, b.capacity()) {
			b.share = 1
		}
		return b.share == 1
	}
	level, asked := b.estimate(now)
	granted := b.rate() + level/correctionTime.Seconds()
	if granted >= asked || level-cost >= asked*newsTime.Seconds() {
		b.share = 1
		return true
	}
	b.share = max(granted, 0) / asked
	b.credit += b.share
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// retryAfter returns when a refused caller should come back: after the debt and what is being
// turned away have become available. Callers are spread over as long a time again.
func (b *bucket) retryAfter(now time.Time, random float64) time.Duration {
	level, asked := b.estimate(now)
	missing := max(-level, 0) + (1-b.share)*asked*askedTime.Seconds()
	wait := maxRetryAfter
	if seconds := missing / b.quota.PerSecond(); seconds < maxRetryAfter.Seconds() {
		wait = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	return wait + time.Duration(random*float64(wait))
}

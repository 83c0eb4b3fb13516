package rlbapp

import (
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
)

// maxQuotaGauges limits the workspaces with gauges of their quotas.
const maxQuotaGauges = 1024

// quotaQuietTime is the time without a refusal after which a quota counts as no longer short.
const quotaQuietTime = 5 * time.Second

// quotaLog logs when quotas of workspaces begin to turn requests away, and when that ends.
type quotaLog struct {
	log   log.Interface
	short map[string]*shortQuota // by workspace
}

// shortQuota is a quota that turns requests away.
type shortQuota struct {
	refused     uint64 // requests, when it was looked at last
	begin       uint64 // the same before the first of them
	lastRefused time.Time
}

func newQuotaLog(logger log.Interface) *quotaLog {
	return &quotaLog{log: logger, short: map[string]*shortQuota{}}
}

// update logs what has changed since the call before.
func (q *quotaLog) update(now time.Time, states []rlbquota.State) {
	for _, s := range states {
		known := q.short[s.Workspace]
		switch {
		case known == nil:
			q.short[s.Workspace] = &shortQuota{}
			known = q.short[s.Workspace]
		case s.Refused < known.refused: // it was forgotten in between
			*known = shortQuota{}
		}
		switch {
		case s.Refused > known.refused && known.lastRefused.IsZero():
			known.begin, known.lastRefused = known.refused, now
			q.entry(s).Info("the quota of a workspace begins to turn requests away")
		case s.Refused > known.refused:
			known.lastRefused = now
		case !known.lastRefused.IsZero() && now.Sub(known.lastRefused) > quotaQuietTime:
			known.lastRefused = time.Time{}
			q.entry(s).WithField("refused", s.Refused-known.begin).Info("the quota of a workspace turns no requests away any more")
		}
		known.refused = s.Refused
	}
}

// entry returns a log entry with what this instance knows about a quota.
func (q *quotaLog) entry(s rlbquota.State) log.Interface {
	return q.log.WithFields(log.Fields{
		"workspace": s.Workspace, "per_second": s.PerSecond, "asked": int(s.Asked), "level": int(s.Level),
		"admitted_percent": int(100 * s.Share), "reserved_percent": int(100 * s.Reserved),
	})
}

// updateQuotaGauges sets the gauges of the quotas.
func (a *app) updateQuotaGauges() {
	for n, s := range a.quotas.States() {
		if n >= maxQuotaGauges {
			return
		}
		set := func(what string, value float64) {
			metrics.GetOrRegisterGauge("workspace_quota_"+what+"_"+s.Workspace, a.registry).Update(int64(value))
		}
		set("level", s.Level)
		set("asked_per_second", s.Asked)
		set("admitted_percent", 100*s.Share)
		set("reserved_percent", 100*s.Reserved)
	}
}

// logQuotas logs changes of the quotas.
func (a *app) logQuotas() { a.quotaLog.update(rlbclock.Now(), a.quotas.States()) }

package rlbpeer

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
)

// QuotaUsage is what an instance or a failure domain publishes about the quota of a
// workspace, as encoded in digests and summaries; see rlbquota.Usage.
type QuotaUsage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Workspace uint32
	Used      float32
	Asked     float32
	Level     float32
	Reserved  uint16 // share of the limit, in parts of reservedScale
}

// reservedScale is the whole limit in QuotaUsage.Reserved.
const reservedScale = 10000

// NewQuotaUsages converts usages to the form in a message.
func NewQuotaUsages(usages []rlbquota.Usage) []QuotaUsage {
	var all []QuotaUsage
	for _, u := range usages {
		all = append(all, QuotaUsage{
			Workspace: u.Workspace, Used: float32(u.Used), Asked: float32(u.Asked), Level: float32(u.Level),
			Reserved: uint16(reservedScale * min(max(u.Reserved, 0), 1)),
		})
	}
	return all
}

// decodeQuotaUsages converts usages from the form in a message.
func decodeQuotaUsages(usages []QuotaUsage) []rlbquota.Usage {
	all := make([]rlbquota.Usage, 0, len(usages))
	for _, u := range usages {
		all = append(all, rlbquota.Usage{
			Workspace: u.Workspace, Used: float64(u.Used), Asked: float64(u.Asked), Level: float64(u.Level),
			Reserved: float64(u.Reserved) / reservedScale,
		})
	}
	return all
}

// RegisteredInstances returns the numbers of known addresses of instances by failure domain,
// of this instance too.
func (f *Fleet) RegisteredInstances(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := map[string]int{}
	for _, r := range f.addresses {
		if !now.After(r.expires) {
			n[r.domain]++
		}
	}
	return n
}

// applyQuotas passes on what a message says about quotas. Outdated messages do no harm.
func (l *Link) applyQuotas(p packet) {
	if l.quotas == nil {
		return
	}
	if d := p.Digest; d != nil && l.fleet.isPeer(d) {
		l.quotas.ApplyInstance(rlbquota.Message{Source: d.Name, Sender: d.Name, Incarnation: d.Incarnation, Sequence: d.Sequence, Draining: d.Draining}, decodeQuotaUsages(d.Quotas))
	}
	if s := p.Summary; s != nil && s.QuotasKnown && s.Domain != l.fleet.domain {
		l.quotas.ApplyDomain(rlbquota.Message{Source: s.Domain, Sender: s.From, Incarnation: s.Incarnation, Sequence: s.Sequence, Members: s.Members}, decodeQuotaUsages(s.Quotas))
	}
}

// isPeer reports whether a digest is that of another instance of the own domain.
func (f *Fleet) isPeer(d *Digest) bool { return d.Name != f.self && d.Domain == f.domain }

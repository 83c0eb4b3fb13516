package rlbcontrol

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblease"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// leaseKind is the kind of the objects that hold leases, one for each failure
// domain of endpoints.
const leaseKind = "rlb-lease"

// leaseState is one lease with what is told of it.
type leaseState struct {
	lease *rlblease.Lease
	fence uint64 // held at the last tick; 0: not held
}

// runLeases lets each lease take its next step; c.mu is held.
func (c *Controller) runLeases(ctx context.Context, now time.Time) {
	for _, domain := range c.duties.domains {
		l, known := c.leases[domain]
		if !known {
			l = &leaseState{lease: rlblease.New(rlblease.Opts{
				Holder: c.life,
				TTL:    c.Settings.Duration(rlbsettings.ControllerLeaseTTL),
				Margin: c.Settings.Duration(rlbsettings.ControllerLeaseMargin),
			})}
			c.leases[domain] = l
		}
		c.stepLease(ctx, now, domain, l)
		c.tellLease(now, domain, l)
	}
}

func (c *Controller) stepLease(ctx context.Context, now time.Time, domain string, l *leaseState) {
	contend := !c.draining && rlbmembership.IsContender(c.id, domain, c.live)
	step, value, given, err := l.lease.Next(now, contend)
	if err != nil {
		c.Log.WithError(err).Error("lease")
		return
	}
	key := rlbobject.Key{Kind: leaseKind, Name: domain}
	switch step {
	case rlblease.StepRead:
		c.spawn(func() { c.readLease(ctx, key, l) })
	case rlblease.StepWrite:
		c.spawn(func() { c.writeLease(ctx, key, l, value, given) })
	}
}

// tellLease notes in the journal that the lease was won or lost.
func (c *Controller) tellLease(now time.Time, domain string, l *leaseState) {
	fence, _ := l.lease.Held(now)
	if fence == l.fence {
		return
	}
	if fence > 0 {
		c.journal.add(now, "lease/"+domain, "held here with fencing number %d", fence)
	} else {
		c.journal.add(now, "lease/"+domain, "no longer held here; last holder known: %s", l.lease.Holder())
	}
	l.fence = fence
}

func (c *Controller) readLease(ctx context.Context, key rlbobject.Key, l *leaseState) {
	object, err := c.Objects.Get(ctx, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		c.Log.WithError(err).Debug("lease not read")
		return
	}
	if err := l.lease.OnRead(time.Now(), object.Version, object.Value); err != nil {
		c.Log.WithError(err).Error("lease")
	}
}

func (c *Controller) writeLease(ctx context.Context, key rlbobject.Key, l *leaseState, value []byte, given rlbobject.Version) {
	version, err := c.Objects.Put(ctx, key, value, given)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		l.lease.OnWritten(time.Now(), version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		l.lease.OnWriteUnanswered()
	default:
		l.lease.OnWriteRefused(rlbobject.Is(err, rlbobject.KindConflict))
	}
}

// holds returns the fencing number of a failure domain's lease if it is held
// at now; c.mu is held.
func (c *Controller) holds(domain string, now time.Time) (uint64, bool) {
	l, known := c.leases[domain]
	if !known {
		return 0, false
	}
	return l.lease.Held(now)
}

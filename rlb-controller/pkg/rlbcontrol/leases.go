package rlbcontrol

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblease"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// leaseKind is the kind of the objects that store the leases, one for each
// failure domain of endpoints.
const leaseKind = "rlb-lease"

// leaseState is the lease of one failure domain.
type leaseState struct {
	lease     *rlblease.Lease
	lastFence uint64 // fencing number at the last tick; 0 if the lease was not held
}

// runLeases starts the next step of each failure domain's lease; c.mu is held.
func (c *Controller) runLeases(ctx context.Context, now time.Time) {
	for _, domain := range c.assignment.domains {
		l, known := c.leases[domain]
		if !known {
			l = &leaseState{lease: rlblease.New(rlblease.Opts{
				Holder: c.incarnation,
				TTL:    c.Settings.Duration(rlbsettings.ControllerLeaseTTL),
				Margin: c.Settings.Duration(rlbsettings.ControllerLeaseMargin),
			})}
			c.leases[domain] = l
		}
		c.advanceLease(ctx, now, domain, l)
		c.recordLeaseChange(now, domain, l)
	}
}

// advanceLease starts the lease's next step; c.mu is held.
func (c *Controller) advanceLease(ctx context.Context, now time.Time, domain string, l *leaseState) {
	contend := !c.draining && rlbmembership.IsContender(c.id, domain, c.live)
	step, value, ifVersion, err := l.lease.Next(now, contend)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode the lease of a failure domain; it is not written")
		return
	}
	key := rlbobject.Key{Kind: leaseKind, Name: domain}
	switch step {
	case rlblease.StepRead:
		c.spawn(func() { c.readLease(ctx, key, l) })
	case rlblease.StepWrite:
		c.spawn(func() { c.writeLease(ctx, key, l, value, ifVersion) })
	}
}

// recordLeaseChange adds an event to the journal when the lease has been acquired
// or lost since the last tick.
func (c *Controller) recordLeaseChange(now time.Time, domain string, l *leaseState) {
	fence, _ := l.lease.Held(now)
	if fence == l.lastFence {
		return
	}
	if fence > 0 {
		c.journal.add(now, "lease/"+domain, "held here with fencing number %d", fence)
	} else {
		c.journal.add(now, "lease/"+domain, "no longer held here; last holder known: %s", l.lease.Holder())
	}
	l.lastFence = fence
}

func (c *Controller) readLease(ctx context.Context, key rlbobject.Key, l *leaseState) {
	object, err := c.Objects.Get(ctx, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		c.Log.WithError(err).Debug("failed to read the lease of a failure domain")
		return
	}
	if err := l.lease.OnRead(time.Now(), object.Version, object.Value); err != nil {
		c.Log.WithError(err).Error("failed to decode the stored lease of a failure domain; reading it again")
	}
}

func (c *Controller) writeLease(ctx context.Context, key rlbobject.Key, l *leaseState, value []byte, ifVersion rlbobject.Version) {
	version, err := c.Objects.Put(ctx, key, value, ifVersion)
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

// heldFence returns the fencing number of a failure domain's lease if it is held
// at now; c.mu is held.
func (c *Controller) heldFence(domain string, now time.Time) (uint64, bool) {
	l, known := c.leases[domain]
	if !known {
		return 0, false
	}
	return l.lease.Held(now)
}

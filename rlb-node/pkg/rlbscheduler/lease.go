// Package rlbscheduler does the work that one instance of the fleet does for all: it
// holds the lease for orders, plans which endpoint holds which model, and gives
// the orders. Instances that do not hold the lease ask the one that does.
package rlbscheduler

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblease"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// leaseKey names the object of the lease.
var leaseKey = rlbobject.Key{Kind: "rlb-leases", Name: "orders"}

// Terms of the lease.
const (
	leaseMargin    = 500 * time.Millisecond // before its deadline at which it is not used any more
	apiCallTimeout = 800 * time.Millisecond // of one call of the object API
)

// leaseManager holds the lease, or tries to.
type leaseManager struct {
	log         log.Interface
	api         rlbobject.API
	now         func() time.Time
	mu          sync.Mutex
	lease       *rlblease.Lease
	loggedFence uint64 // fence under which it was held lately; 0: not held
}

func newLeaseManager(logger log.Interface, api rlbobject.API, holder string, ttl time.Duration, now func() time.Time) *leaseManager {
	return &leaseManager{
		log: logger, api: api, now: now,
		lease: rlblease.New(rlblease.Opts{Holder: holder, TTL: ttl, Margin: leaseMargin}),
	}
}

// heldFence returns the fence if orders may be given now.
func (m *leaseManager) heldFence() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Held(m.now())
}

// step does what the lease wants done now.
func (m *leaseManager) step(ctx context.Context, contend bool) {
	m.mu.Lock()
	next, value, version, err := m.lease.Next(m.now(), contend)
	m.mu.Unlock()
	switch {
	case err != nil:
		m.log.WithError(err).Error("lease cannot be written")
	case next == rlblease.StepRead:
		m.read(ctx)
	case next == rlblease.StepWrite:
		m.write(ctx, value, version)
	}
	m.logChange()
}

// expedite makes the next step come at once.
func (m *leaseManager) expedite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.StepNow()
}

func (m *leaseManager) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	got, err := m.api.Get(ctx, leaseKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		got, err = rlbobject.Object{}, nil
	}
	if err != nil {
		m.log.WithError(err).Warn("lease cannot be read")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.lease.OnRead(m.now(), got.Version, got.Value); err != nil {
		m.log.WithError(err).Error("lease cannot be read")
	}
}

func (m *leaseManager) write(ctx context.Context, value []byte, given rlbobject.Version) {
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	version, err := m.api.Put(ctx, leaseKey, value, given)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.lease.OnWritten(m.now(), version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		m.lease.OnWriteUnanswered()
	default:
		m.lease.OnWriteRefused(rlbobject.Is(err, rlbobject.KindConflict) || rlbobject.Is(err, rlbobject.KindNotFound))
	}
}

// logChange logs a change of what is held.
func (m *leaseManager) logChange() {
	fence, held := m.heldFence()
	if !held {
		fence = 0
	}
	if fence == m.loggedFence {
		return
	}
	if fence == 0 {
		m.log.WithField("fence", m.loggedFence).Warn("lease for orders lost")
	} else {
		m.log.WithField("fence", fence).Info("lease for orders held")
	}
	m.loggedFence = fence
}

package rlbscheduler

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblease"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// leaseKey identifies the object that stores the lease.
var leaseKey = rlbobject.Key{Kind: "rlb-leases", Name: "orders"}

// Timing of the lease.
const (
	leaseMargin    = 500 * time.Millisecond // the lease is not used this close to its deadline
	apiCallTimeout = 800 * time.Millisecond // timeout of one call to the object API
)

// leaseManager acquires, renews and releases the lease for orders.
type leaseManager struct {
	log         log.Interface
	api         rlbobject.API
	now         func() time.Time
	mu          sync.Mutex
	lease       *rlblease.Lease
	loggedFence uint64 // fencing number that was logged last; 0 if the lease was not held
}

func newLeaseManager(logger log.Interface, api rlbobject.API, holder string, ttl time.Duration, now func() time.Time) *leaseManager {
	return &leaseManager{
		log: logger, api: api, now: now,
		lease: rlblease.New(rlblease.Opts{Holder: holder, TTL: ttl, Margin: leaseMargin}),
	}
}

// heldFence returns the fencing number of the lease if it is held.
func (m *leaseManager) heldFence() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Held(m.now())
}

// step performs the next read or write of the lease that is due.
func (m *leaseManager) step(ctx context.Context, contend bool) {
	m.mu.Lock()
	next, value, version, err := m.lease.Next(m.now(), contend)
	m.mu.Unlock()
	switch {
	case err != nil:
		m.log.WithError(err).Error("failed to encode the lease")
	case next == rlblease.StepRead:
		m.read(ctx)
	case next == rlblease.StepWrite:
		m.write(ctx, value, version)
	}
	m.logChange()
}

// stepNow makes the next step due immediately.
func (m *leaseManager) stepNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.StepNow()
}

func (m *leaseManager) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	got, err := m.api.Get(ctx, leaseKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		err = nil // the version says that there is no object
	}
	if err != nil {
		m.log.WithError(err).Warn("failed to read the lease")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.lease.OnRead(m.now(), got.Version, got.Value); err != nil {
		m.log.WithError(err).Error("failed to decode the lease")
	}
}

func (m *leaseManager) write(ctx context.Context, value []byte, expected rlbobject.Version) {
	ctx, cancel := context.WithTimeout(ctx, apiCallTimeout)
	defer cancel()
	version, err := m.api.Put(ctx, leaseKey, value, expected)
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

// logChange logs when the lease is acquired, and when it is lost or given up.
func (m *leaseManager) logChange() {
	fence, held := m.heldFence()
	if !held {
		fence = 0
	}
	if fence == m.loggedFence {
		return
	}
	if fence == 0 {
		m.log.WithField("fence", m.loggedFence).Warn("no longer holding the lease for orders")
	} else {
		m.log.WithField("fence", fence).Info("acquired the lease for orders")
	}
	m.loggedFence = fence
}

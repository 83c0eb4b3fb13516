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
	leaseMargin = 500 * time.Millisecond // before its deadline at which it is not used any more
	callTimeout = 800 * time.Millisecond // of one call of the object API
)

// keeper holds the lease, or tries to.
type keeper struct {
	log  log.Interface
	api  rlbobject.API
	now  func() time.Time
	mu   sync.Mutex
	own  *rlblease.Lease
	last uint64 // fence under which it was held lately; 0: not held
}

func newKeeper(logger log.Interface, api rlbobject.API, holder string, ttl time.Duration, now func() time.Time) *keeper {
	return &keeper{
		log: logger, api: api, now: now,
		own: rlblease.New(rlblease.Opts{Holder: holder, TTL: ttl, Margin: leaseMargin}),
	}
}

// held returns the fence if orders may be given now.
func (k *keeper) held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.own.Held(k.now())
}

// step does what the lease wants done now.
func (k *keeper) step(ctx context.Context, contend bool) {
	k.mu.Lock()
	next, value, version, err := k.own.Next(k.now(), contend)
	k.mu.Unlock()
	switch {
	case err != nil:
		k.log.WithError(err).Error("lease cannot be written")
	case next == rlblease.StepRead:
		k.read(ctx)
	case next == rlblease.StepWrite:
		k.write(ctx, value, version)
	}
	k.note()
}

// hurry makes the next step come at once.
func (k *keeper) hurry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own.StepNow()
}

func (k *keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := k.api.Get(ctx, leaseKey)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		got, err = rlbobject.Object{}, nil
	}
	if err != nil {
		k.log.WithError(err).Warn("lease cannot be read")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.own.OnRead(k.now(), got.Version, got.Value); err != nil {
		k.log.WithError(err).Error("lease cannot be read")
	}
}

func (k *keeper) write(ctx context.Context, value []byte, given rlbobject.Version) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := k.api.Put(ctx, leaseKey, value, given)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.own.OnWritten(k.now(), version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		k.own.OnWriteUnanswered()
	default:
		k.own.OnWriteRefused(rlbobject.Is(err, rlbobject.KindConflict) || rlbobject.Is(err, rlbobject.KindNotFound))
	}
}

// note logs a change of what is held.
func (k *keeper) note() {
	fence, held := k.held()
	if !held {
		fence = 0
	}
	if fence == k.last {
		return
	}
	if fence == 0 {
		k.log.WithField("fence", k.last).Warn("lease for orders lost")
	} else {
		k.log.WithField("fence", fence).Info("lease for orders held")
	}
	k.last = fence
}

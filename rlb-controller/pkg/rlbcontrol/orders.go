package rlbcontrol

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborder"
)

// intentKind is the kind of the objects that hold intents, one for each engine.
const intentKind = "rlb-intent"

// engineTracker is the order tracker of one engine with the engine's entry in
// the instance list. Its fields do not change: a changed entry makes a new
// engineTracker with the same order tracker.
type engineTracker struct {
	tracker  *rlborder.Tracker
	instance rlbfleetstate.Instance
}

// runOrders starts the next step of the order tracker of each engine in the
// failure domains whose lease is held; c.mu is held.
func (c *Controller) runOrders(ctx context.Context, now time.Time) {
	trackers := map[string]*engineTracker{}
	for _, domain := range c.assignment.domains {
		fence, held := c.heldFence(domain, now)
		if !held {
			continue
		}
		for _, i := range c.assignment.byDomain[domain] {
			t := c.trackerFor(i, fence)
			trackers[i.ID] = t
			c.refreshTracker(t)
			c.advanceTracker(ctx, now, t)
		}
	}
	c.trackers = trackers
}

// trackerFor returns the tracker of an engine under its domain's lease with the
// given fencing number; a new fencing number makes a new tracker.
func (c *Controller) trackerFor(i rlbfleetstate.Instance, fence uint64) *engineTracker {
	t, known := c.trackers[i.ID]
	switch {
	case !known || t.tracker.Fence() != fence:
		return &engineTracker{rlborder.New(i.ID, i.Fencing, fence), i}
	case t.instance != i:
		return &engineTracker{t.tracker, i}
	default:
		return t
	}
}

// refreshTracker makes the tracker read the engine's state again when a report
// shows a newer one.
func (c *Controller) refreshTracker(t *engineTracker) {
	engine, known := c.fleet.Engines().Get(t.instance.ID)
	state, haveState := t.tracker.State()
	if !known || !haveState {
		return
	}
	if engine.Newer(rlbfleetstate.Engine{Incarnation: state.Incarnation, Sequence: state.Sequence}) {
		t.tracker.Refresh()
	}
}

// advanceTracker starts the tracker's next step; c.mu is held.
func (c *Controller) advanceTracker(ctx context.Context, now time.Time, t *engineTracker) {
	task, err := t.tracker.Next(now)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode the intent of an endpoint; no order is sent to it")
		return
	}
	key := rlbobject.Key{Kind: intentKind, Name: t.instance.ID}
	switch task.Step {
	case rlborder.StepRead:
		c.spawn(func() { c.readIntent(ctx, key, t) })
	case rlborder.StepWrite:
		c.spawn(func() { c.writeIntent(ctx, key, t, task) })
	case rlborder.StepState:
		c.spawn(func() { c.readState(ctx, t) })
	case rlborder.StepSend:
		c.spawn(func() { c.sendOrder(ctx, t, task.Order) })
	}
}

func (c *Controller) readIntent(ctx context.Context, key rlbobject.Key, t *engineTracker) {
	object, err := c.Objects.Get(ctx, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		t.tracker.OnReadFailed()
		return
	}
	if err := t.tracker.OnRead(object.Version, object.Value); err != nil {
		c.Log.WithError(err).Error("failed to decode the stored intent of an endpoint; no orders are sent to it")
	}
}

func (c *Controller) writeIntent(ctx context.Context, key rlbobject.Key, t *engineTracker, task rlborder.Task) {
	version, err := c.Objects.Put(ctx, key, task.Value, task.IfVersion)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		t.tracker.OnWritten(version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		t.tracker.OnWriteUnanswered()
	default:
		t.tracker.OnWriteRefused(rlbobject.Is(err, rlbobject.KindConflict))
	}
}

func (c *Controller) readState(ctx context.Context, t *engineTracker) {
	state, err := c.Engine(t.instance.Control).State(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || state.ID != t.instance.ID {
		t.tracker.OnStateFailed()
		return
	}
	t.tracker.OnStateRead(state)
	c.applyEngineState(state)
}

// sendOrder sends an order, unless the lease is no longer held at that time.
func (c *Controller) sendOrder(ctx context.Context, t *engineTracker, order rlbengine.Order) {
	state, err := c.Engine(t.instance.Control).Order(ctx, order, func() bool { return c.leaseStillHeld(t) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOrder(t, order, err)
	if err == nil {
		t.tracker.OnAccepted(order, state)
		c.applyEngineState(state)
		return
	}
	switch kind, _ := rlberror.KindOf[rlbengine.Kind](err); kind {
	case rlbengine.KindNotSent:
		t.tracker.OnNotSent(order)
	case rlbengine.KindRefused:
		t.tracker.OnRefused(order)
	case rlbengine.KindFenced:
		t.tracker.OnFenced()
	default:
		t.tracker.OnSendUnanswered(order)
	}
}

// leaseStillHeld reports whether the lease under which a tracker writes is still
// held.
func (c *Controller) leaseStillHeld(t *engineTracker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fence, held := c.heldFence(t.instance.FailureDomain, time.Now())
	return held && fence == t.tracker.Fence()
}

// recordOrder adds an order and its outcome to the journal and the log; c.mu is
// held.
func (c *Controller) recordOrder(t *engineTracker, order rlbengine.Order, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	subject := "endpoint/" + t.instance.ID
	if order.Action == rlbengine.ActionFence {
		c.journal.add(time.Now(), subject, "fence %d: %s", order.Fence, outcome)
		return
	}
	c.journal.add(time.Now(), subject, "order %s %s@%s, fence %d: %s", order.Action, order.Name, order.Version, order.Fence, outcome)
	c.Log.WithField("endpoint", t.instance.ID).WithField("order", order.ID).WithField("action", string(order.Action)).
		WithField("model", order.Name+"@"+order.Version).WithField("outcome", outcome).Info("attempted to send an order to an endpoint")
}

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

// bookState is the book of one engine. It does not change: another instance
// entry makes another one.
type bookState struct {
	book     *rlborder.Tracker
	instance rlbfleetstate.Instance
}

// runOrders lets the book of each engine in the failure domains whose lease is
// held take its next step; c.mu is held.
func (c *Controller) runOrders(ctx context.Context, now time.Time) {
	books := map[string]*bookState{}
	for _, domain := range c.duties.domains {
		fence, held := c.holds(domain, now)
		if !held {
			continue
		}
		for _, i := range c.duties.byDomain[domain] {
			b := c.bookOf(i, fence)
			books[i.ID] = b
			c.refreshBook(b)
			c.stepBook(ctx, now, b)
		}
	}
	c.books = books
}

// bookOf returns the book of an engine under a term of its domain's lease.
func (c *Controller) bookOf(i rlbfleetstate.Instance, fence uint64) *bookState {
	b, known := c.books[i.ID]
	switch {
	case !known || b.book.Fence() != fence:
		return &bookState{rlborder.New(i.ID, i.Fencing, fence), i}
	case b.instance != i:
		return &bookState{b.book, i}
	default:
		return b
	}
}

// refreshBook makes the book read the engine's state again when a report shows
// a newer one.
func (c *Controller) refreshBook(b *bookState) {
	engine, known := c.world.Engines().Get(b.instance.ID)
	state, stated := b.book.State()
	if !known || !stated {
		return
	}
	if engine.Newer(rlbfleetstate.Engine{Incarnation: state.Incarnation, Sequence: state.Sequence}) {
		b.book.Refresh()
	}
}

func (c *Controller) stepBook(ctx context.Context, now time.Time, b *bookState) {
	plan, err := b.book.Next(now)
	if err != nil {
		c.Log.WithError(err).Error("intent")
		return
	}
	key := rlbobject.Key{Kind: intentKind, Name: b.instance.ID}
	switch plan.Step {
	case rlborder.StepRead:
		c.spawn(func() { c.readIntent(ctx, key, b) })
	case rlborder.StepWrite:
		c.spawn(func() { c.writeIntent(ctx, key, b, plan) })
	case rlborder.StepState:
		c.spawn(func() { c.readState(ctx, b) })
	case rlborder.StepSend:
		c.spawn(func() { c.sendOrder(ctx, b, plan.Order) })
	}
}

func (c *Controller) readIntent(ctx context.Context, key rlbobject.Key, b *bookState) {
	object, err := c.Objects.Get(ctx, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !rlbobject.Is(err, rlbobject.KindNotFound) {
		b.book.OnReadFailed()
		return
	}
	if err := b.book.OnRead(object.Version, object.Value); err != nil {
		c.Log.WithError(err).Error("intent")
	}
}

func (c *Controller) writeIntent(ctx context.Context, key rlbobject.Key, b *bookState, plan rlborder.Task) {
	version, err := c.Objects.Put(ctx, key, plan.Value, plan.IfVersion)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		b.book.OnWritten(version)
	case rlbobject.Is(err, rlbobject.KindUnknown):
		b.book.OnWriteUnanswered()
	default:
		b.book.OnWriteRefused(rlbobject.Is(err, rlbobject.KindConflict))
	}
}

func (c *Controller) readState(ctx context.Context, b *bookState) {
	state, err := c.Engine(b.instance.Control).State(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || state.ID != b.instance.ID {
		b.book.OnStateFailed()
		return
	}
	b.book.OnStateRead(state)
	c.observe(state)
}

// sendOrder sends an order, unless the lease is no longer held at that moment.
func (c *Controller) sendOrder(ctx context.Context, b *bookState, order rlbengine.Order) {
	state, err := c.Engine(b.instance.Control).Order(ctx, order, func() bool { return c.permitted(b) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellOrder(b, order, err)
	if err == nil {
		b.book.OnAccepted(order, state)
		c.observe(state)
		return
	}
	switch kind, _ := rlberror.KindOf[rlbengine.Kind](err); kind {
	case rlbengine.KindNotSent:
		b.book.OnNotSent(order)
	case rlbengine.KindRefused:
		b.book.OnRefused(order)
	case rlbengine.KindFenced:
		b.book.OnFenced()
	default:
		b.book.OnSendUnanswered(order)
	}
}

// permitted reports whether the lease under which a book writes is still held.
func (c *Controller) permitted(b *bookState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fence, held := c.holds(b.instance.FailureDomain, time.Now())
	return held && fence == b.book.Fence()
}

func (c *Controller) tellOrder(b *bookState, order rlbengine.Order, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	subject := "endpoint/" + b.instance.ID
	if order.Action == rlbengine.ActionFence {
		c.journal.add(time.Now(), subject, "fence %d: %s", order.Fence, outcome)
		return
	}
	c.journal.add(time.Now(), subject, "order %s %s@%s, fence %d: %s", order.Action, order.Name, order.Version, order.Fence, outcome)
	c.Log.WithField("endpoint", b.instance.ID).WithField("order", order.ID).WithField("action", string(order.Action)).
		WithField("model", order.Name+"@"+order.Version).WithField("outcome", outcome).Info("order")
}

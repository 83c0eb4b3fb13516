package rlborder

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// resendAfter is how long an order without an answer is given to show its
// effect before it is sent again.
const resendAfter = 2 * time.Second

// failedPause is how long a book waits after a step that did not work.
const failedPause = time.Second

// Step is what a book wants done.
type Step int

// The steps.
const (
	StepNone  Step = iota
	StepRead       // read the endpoint's object
	StepWrite      // write it, if it still has the given version
	StepState      // read the endpoint's state
	StepSend       // send an order, if the lease is still held
)

// Task is a step with what it needs.
type Task struct {
	Step      Step
	Value     []byte            // of StepWrite
	IfVersion rlbobject.Version // of StepWrite
	Order     rlbengine.Order   // of StepSend
}

// Change is a change that the placement wants.
type Change struct {
	Action  rlbengine.Action
	Name    string
	Version string
	Memory  rlbunit.Bytes
}

// Tracker is the orders to one endpoint under one term of a lease. At most one
// order is unresolved. It is not safe for concurrent use.
type Tracker struct {
	id       string
	fencing  bool // the endpoint refuses orders with an old fencing number
	fence    uint64
	known    bool
	version  rlbobject.Version
	record   Record
	flight   *Record // the write whose effect is not known
	waiting  bool    // for the answer of the last step
	state    rlbengine.State
	stated   bool      // state was read after the last order
	sent     bool      // the pending order was sent by this book, or may have been by an earlier holder
	unsure   bool      // a copy of the pending order may be late
	fenced   uint64    // highest fencing number that the endpoint confirmed
	retryAt  time.Time // of the next copy
	now      time.Time // of the last step
	pause    time.Time // until which a step that failed is not tried again
	wish     *Change
	refusals int // orders that the endpoint refused
}

// New returns the book of an endpoint for the holder of a lease with a fencing
// number.
func New(id string, fencing bool, fence uint64) *Tracker {
	return &Tracker{id: id, fencing: fencing, fence: fence}
}

// Fence returns the fencing number of the book's lease.
func (b *Tracker) Fence() uint64 { return b.fence }

// Record returns the record as last written or read.
func (b *Tracker) Record() Record { return b.record }

// State returns the endpoint's state, if it was read after the last order.
func (b *Tracker) State() (rlbengine.State, bool) { return b.state, b.stated }

// Refusals returns how many orders the endpoint refused.
func (b *Tracker) Refusals() int { return b.refusals }

// Idle reports whether a wish can be taken.
func (b *Tracker) Idle() bool {
	return b.known && b.adopted() && b.stated && !b.waiting && b.flight == nil && b.record.Pending == nil && b.wish == nil
}

func (b *Tracker) adopted() bool { return b.record.Fence == b.fence }

// Propose takes a wish if nothing is unresolved and the endpoint can hold the
// result; it reports whether it did.
func (b *Tracker) Propose(w Change) bool {
	if !b.Idle() || !b.allowed(w) {
		return false
	}
	b.wish = &w
	return true
}

func (b *Tracker) allowed(w Change) bool {
	at := find(b.state.Residents, w.Name, w.Version)
	if w.Action == rlbengine.ActionUnload {
		return at >= 0
	}
	lateUnload := slices.ContainsFunc(b.record.InDoubt, func(g InDoubtOrder) bool {
		return g.Action == rlbengine.ActionUnload && g.Name == w.Name && g.Version == w.Version
	})
	return at < 0 && !lateUnload && b.fits(w)
}

// fits reports whether the memory holds the wish together with everything that
// is or may come to be there.
func (b *Tracker) fits(w Change) bool {
	after := b.record
	after.InDoubt = append(slices.Clone(b.record.InDoubt), InDoubtOrder(w))
	return Reserved(after, b.state.Residents) <= b.state.Memory
}

// Next returns the next step at now.
func (b *Tracker) Next(now time.Time) (Task, error) {
	b.now = now
	switch {
	case b.waiting || now.Before(b.pause):
		return Task{}, nil
	case !b.known:
		return b.wait(Task{Step: StepRead}), nil
	case b.record.Fence > b.fence:
		return Task{}, nil // a later holder took over
	case !b.adopted():
		return b.write(b.adoption())
	case b.fencing && b.fenced < b.record.Serial && b.record.Pending == nil && !b.stated:
		return b.send(rlbengine.Order{Action: rlbengine.ActionFence}), nil
	case b.record.Pending != nil:
		return b.pursue(now)
	case !b.stated:
		return b.wait(Task{Step: StepState}), nil
	case b.wish != nil:
		return b.intend()
	default:
		return Task{}, nil
	}
}

func (b *Tracker) wait(p Task) Task {
	b.waiting = true
	return p
}

// adoption is the record that makes this holder the one that writes.
func (b *Tracker) adoption() Record {
	next := b.record
	next.Fence = b.fence
	next.Serial++
	return next
}

// intend records the wish before it is sent.
func (b *Tracker) intend() (Task, error) {
	w := *b.wish
	b.wish = nil
	if !b.allowed(w) {
		return Task{}, nil // the state changed since the wish was taken
	}
	next := b.record
	next.Serial++
	next.Incarnation = b.state.Incarnation
	next.Pending = &Intent{next.Serial, w.Action, w.Name, w.Version, w.Memory}
	return b.write(next)
}

func (b *Tracker) write(next Record) (Task, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Task{}, rlberror.New("encode intent", KindEncoding, err)
	}
	b.flight = &next
	return b.wait(Task{Step: StepWrite, Value: value, IfVersion: b.version}), nil
}

// pursue carries the pending order on until it is resolved.
func (b *Tracker) pursue(now time.Time) (Task, error) {
	p := *b.record.Pending
	switch {
	case !b.sent:
		return b.sendPending(p, now), nil
	case b.fencing && b.record.Serial == p.Serial:
		// Raise the fence above the order: after that it is dead or effective.
		next := b.record
		next.Serial++
		return b.write(next)
	case b.fencing && b.fenced < b.record.Serial:
		return b.send(rlbengine.Order{Action: rlbengine.ActionFence}), nil
	case !b.stated:
		return b.wait(Task{Step: StepState}), nil
	case now.Before(b.retryAt):
		b.stated = false // look again
		return Task{}, nil
	default:
		return b.sendPending(p, now), nil
	}
}

func (b *Tracker) sendPending(p Intent, now time.Time) Task {
	b.sent = true
	b.retryAt = now.Add(resendAfter)
	return b.send(rlbengine.Order{Action: p.Action, Name: p.Name, Version: p.Version, Memory: p.Memory})
}

func (b *Tracker) send(o rlbengine.Order) Task {
	o.Fence = b.record.Serial
	o.ID = b.id + "-" + formatSerial(b.record.Serial)
	return b.wait(Task{Step: StepSend, Order: o})
}

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

// failurePause is how long a book waits after a step that did not work.
const failurePause = time.Second

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
	Step            Step
	Value           []byte            // of StepWrite
	ExpectedVersion rlbobject.Version // of StepWrite
	Order           rlbengine.Order   // of StepSend
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
	id             string
	fencing        bool // the endpoint refuses orders with an old fencing number
	fence          uint64
	recordKnown    bool
	version        rlbobject.Version
	record         Record
	pendingWrite   *Record // the write whose effect is not known
	awaitingAnswer bool    // for the answer of the last step
	state          rlbengine.State
	stateFresh     bool      // state was read after the last order
	orderSent      bool      // the pending order was sent by this book, or may have been by an earlier holder
	inDoubt        bool      // a copy of the pending order may be late
	confirmedFence uint64    // highest fencing number that the endpoint confirmed
	resendAt       time.Time // of the next copy
	lastStep       time.Time // of the last step
	pausedUntil    time.Time // until which a step that failed is not tried again
	change         *Change
	refusals       int // orders that the endpoint refused
}

// New returns the book of an endpoint for the holder of a lease with a fencing
// number.
func New(id string, fencing bool, fence uint64) *Tracker {
	return &Tracker{id: id, fencing: fencing, fence: fence}
}

// Fence returns the fencing number of the book's lease.
func (t *Tracker) Fence() uint64 { return t.fence }

// Record returns the record as last written or read.
func (t *Tracker) Record() Record { return t.record }

// State returns the endpoint's state, if it was read after the last order.
func (t *Tracker) State() (rlbengine.State, bool) { return t.state, t.stateFresh }

// Refusals returns how many orders the endpoint refused.
func (t *Tracker) Refusals() int { return t.refusals }

// Idle reports whether a wish can be taken.
func (t *Tracker) Idle() bool {
	return t.recordKnown && t.adopted() && t.stateFresh && !t.awaitingAnswer && t.pendingWrite == nil && t.record.Pending == nil && t.change == nil
}

func (t *Tracker) adopted() bool { return t.record.Fence == t.fence }

// Propose takes a wish if nothing is unresolved and the endpoint can hold the
// result; it reports whether it did.
func (t *Tracker) Propose(c Change) bool {
	if !t.Idle() || !t.allowed(c) {
		return false
	}
	t.change = &c
	return true
}

func (t *Tracker) allowed(c Change) bool {
	at := findResident(t.state.Residents, c.Name, c.Version)
	if c.Action == rlbengine.ActionUnload {
		return at >= 0
	}
	lateUnload := slices.ContainsFunc(t.record.InDoubt, func(g InDoubtOrder) bool {
		return g.Action == rlbengine.ActionUnload && g.Name == c.Name && g.Version == c.Version
	})
	return at < 0 && !lateUnload && t.fits(c)
}

// fits reports whether the memory holds the wish together with everything that
// is or may come to be there.
func (t *Tracker) fits(c Change) bool {
	after := t.record
	after.InDoubt = append(slices.Clone(t.record.InDoubt), InDoubtOrder(c))
	return Reserved(after, t.state.Residents) <= t.state.Memory
}

// Next returns the next step at now.
func (t *Tracker) Next(now time.Time) (Task, error) {
	t.lastStep = now
	switch {
	case t.awaitingAnswer || now.Before(t.pausedUntil):
		return Task{}, nil
	case !t.recordKnown:
		return t.await(Task{Step: StepRead}), nil
	case t.record.Fence > t.fence:
		return Task{}, nil // a later holder took over
	case !t.adopted():
		return t.write(t.adoptionRecord())
	case t.fencing && t.confirmedFence < t.record.Serial && t.record.Pending == nil && !t.stateFresh:
		return t.send(rlbengine.Order{Action: rlbengine.ActionFence}), nil
	case t.record.Pending != nil:
		return t.resolvePending(now)
	case !t.stateFresh:
		return t.await(Task{Step: StepState}), nil
	case t.change != nil:
		return t.recordIntent()
	default:
		return Task{}, nil
	}
}

func (t *Tracker) await(p Task) Task {
	t.awaitingAnswer = true
	return p
}

// adoptionRecord is the record that makes this holder the one that writes.
func (t *Tracker) adoptionRecord() Record {
	next := t.record
	next.Fence = t.fence
	next.Serial++
	return next
}

// recordIntent records the wish before it is sent.
func (t *Tracker) recordIntent() (Task, error) {
	c := *t.change
	t.change = nil
	if !t.allowed(c) {
		return Task{}, nil // the state changed since the wish was taken
	}
	next := t.record
	next.Serial++
	next.Incarnation = t.state.Incarnation
	next.Pending = &Intent{next.Serial, c.Action, c.Name, c.Version, c.Memory}
	return t.write(next)
}

func (t *Tracker) write(next Record) (Task, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Task{}, rlberror.New("encode intent", KindEncoding, err)
	}
	t.pendingWrite = &next
	return t.await(Task{Step: StepWrite, Value: value, ExpectedVersion: t.version}), nil
}

// resolvePending carries the pending order on until it is resolved.
func (t *Tracker) resolvePending(now time.Time) (Task, error) {
	p := *t.record.Pending
	switch {
	case !t.orderSent:
		return t.sendPending(p, now), nil
	case t.fencing && t.record.Serial == p.Serial:
		// Raise the fence above the order: after that it is dead or effective.
		next := t.record
		next.Serial++
		return t.write(next)
	case t.fencing && t.confirmedFence < t.record.Serial:
		return t.send(rlbengine.Order{Action: rlbengine.ActionFence}), nil
	case !t.stateFresh:
		return t.await(Task{Step: StepState}), nil
	case now.Before(t.resendAt):
		t.stateFresh = false // look again
		return Task{}, nil
	default:
		return t.sendPending(p, now), nil
	}
}

func (t *Tracker) sendPending(p Intent, now time.Time) Task {
	t.orderSent = true
	t.resendAt = now.Add(resendAfter)
	return t.send(rlbengine.Order{Action: p.Action, Name: p.Name, Version: p.Version, Memory: p.Memory})
}

func (t *Tracker) send(o rlbengine.Order) Task {
	o.Fence = t.record.Serial
	o.ID = t.id + "-" + formatSerial(t.record.Serial)
	return t.await(Task{Step: StepSend, Order: o})
}

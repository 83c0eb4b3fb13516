package rlborder

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// resendAfter is how long the tracker waits for the effect of an unanswered order
// before it sends the order again.
const resendAfter = 2 * time.Second

// failurePause is the delay after a failed step.
const failurePause = time.Second

// Step is the kind of an operation that the caller performs for a tracker.
type Step int

// Steps of a tracker.
const (
	StepNone  Step = iota
	StepRead       // read the endpoint's object
	StepWrite      // write the object if it still has the expected version
	StepState      // read the endpoint's state
	StepSend       // send an order if the lease is still held
)

// Task is a step with its parameters.
type Task struct {
	Step      Step
	Value     []byte            // for StepWrite: the value to write
	IfVersion rlbobject.Version // for StepWrite: the expected version of the object
	Order     rlbengine.Order   // for StepSend
}

// Change is a load or unload requested by the placement.
type Change struct {
	Action  rlbengine.Action
	Name    string
	Version string
	Memory  rlbunit.Bytes
}

// Tracker tracks the orders to one endpoint under one fencing number of a lease. At
// most one order is unresolved at a time. It is not safe for concurrent use.
type Tracker struct {
	id             string
	fencing        bool // the endpoint refuses orders with an outdated fencing number
	fence          uint64
	recordKnown    bool
	version        rlbobject.Version
	record         Record
	pendingWrite   *Record // the write whose outcome is not known yet
	awaitingAnswer bool    // the answer to the last step is outstanding
	state          rlbengine.State
	stateFresh     bool      // state was read after the last order
	orderSent      bool      // the pending order was sent by this tracker or may have been sent by an earlier holder
	inDoubt        bool      // a copy of the pending order may still arrive
	confirmedFence uint64    // highest fencing number that the endpoint confirmed
	resendAt       time.Time // when the pending order is sent again if it shows no effect
	lastNext       time.Time // time of the last call of Next
	pausedUntil    time.Time // no step before this time, after a failed one
	change         *Change   // accepted, not recorded yet
	refusals       int       // orders that the endpoint refused
}

// New returns the tracker of an endpoint for the lease holder with a fencing
// number.
func New(id string, fencing bool, fence uint64) *Tracker {
	return &Tracker{id: id, fencing: fencing, fence: fence}
}

// Fence returns the fencing number of the tracker's lease.
func (t *Tracker) Fence() uint64 { return t.fence }

// Record returns the record that was last written or read, updated by the
// endpoint's answers since then.
func (t *Tracker) Record() Record { return t.record }

// State returns the endpoint's state and whether it was read after the last order.
func (t *Tracker) State() (rlbengine.State, bool) { return t.state, t.stateFresh }

// Refusals returns how many orders the endpoint refused.
func (t *Tracker) Refusals() int { return t.refusals }

// Idle reports whether a change can be proposed: the record is written under this
// lease, the state is fresh and nothing is unresolved.
func (t *Tracker) Idle() bool {
	return t.recordKnown && t.adopted() && t.stateFresh && !t.awaitingAnswer && t.pendingWrite == nil && t.record.Pending == nil && t.change == nil
}

// adopted reports whether the record was written under this tracker's lease.
func (t *Tracker) adopted() bool { return t.record.Fence == t.fence }

// Propose accepts a change if the tracker is idle and the change fits the endpoint's
// residents and memory. It reports whether the change was accepted.
func (t *Tracker) Propose(c Change) bool {
	if !t.Idle() || !t.allowed(c) {
		return false
	}
	t.change = &c
	return true
}

// allowed reports whether a change fits the endpoint's residents, its memory and
// the orders in doubt.
func (t *Tracker) allowed(c Change) bool {
	at := findResident(t.state.Residents, c.Name, c.Version)
	if c.Action == rlbengine.ActionUnload {
		return at >= 0
	}
	lateUnload := slices.ContainsFunc(t.record.InDoubt, func(o InDoubtOrder) bool {
		return o.Action == rlbengine.ActionUnload && o.Name == c.Name && o.Version == c.Version
	})
	return at < 0 && !lateUnload && t.fits(c)
}

// fits reports whether the endpoint has memory for the change in addition to its
// residents and to all orders that may still take effect.
func (t *Tracker) fits(c Change) bool {
	after := t.record
	after.InDoubt = append(slices.Clone(t.record.InDoubt), InDoubtOrder(c))
	return Reserved(after, t.state.Residents) <= t.state.Memory
}

// Next returns the task to perform at now; StepNone if there is none.
func (t *Tracker) Next(now time.Time) (Task, error) {
	t.lastNext = now
	switch {
	case t.awaitingAnswer || now.Before(t.pausedUntil):
		return Task{}, nil
	case !t.recordKnown:
		return t.await(Task{Step: StepRead}), nil
	case t.record.Fence > t.fence:
		return Task{}, nil // a later holder has taken over
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

func (t *Tracker) await(task Task) Task {
	t.awaitingAnswer = true
	return task
}

// adoptionRecord returns the record that takes the object over from the previous
// lease holder.
func (t *Tracker) adoptionRecord() Record {
	next := t.record
	next.Fence = t.fence
	next.Serial++
	return next
}

// recordIntent records the accepted change as an intent, before the order is sent.
func (t *Tracker) recordIntent() (Task, error) {
	c := *t.change
	t.change = nil
	if !t.allowed(c) {
		return Task{}, nil // the state has changed since the change was accepted
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
	return t.await(Task{Step: StepWrite, Value: value, IfVersion: t.version}), nil
}

// resolvePending returns the next task towards resolving the pending order.
func (t *Tracker) resolvePending(now time.Time) (Task, error) {
	p := *t.record.Pending
	switch {
	case !t.orderSent:
		return t.sendPending(p, now), nil
	case t.fencing && t.record.Serial == p.Serial:
		// Raise the fencing number above that of the order: after that, the order has
		// either taken effect or never will.
		next := t.record
		next.Serial++
		return t.write(next)
	case t.fencing && t.confirmedFence < t.record.Serial:
		return t.send(rlbengine.Order{Action: rlbengine.ActionFence}), nil
	case !t.stateFresh:
		return t.await(Task{Step: StepState}), nil
	case now.Before(t.resendAt):
		t.stateFresh = false // read the state again
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

func formatSerial(n uint64) string { return strconv.FormatUint(n, 10) }

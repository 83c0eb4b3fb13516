package rlborder

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Kind is the kind of a failure.
type Kind int

// KindEncoding means that a stored value cannot be read or written.
const KindEncoding Kind = 0

// String names the kind.
func (k Kind) String() string { return "bad encoding" }

// Error is this package's error.
type Error = rlberror.Error[Kind]

func formatSerial(n uint64) string { return strconv.FormatUint(n, 10) }

// OnRead takes the endpoint's object; version 0: there is none.
func (t *Tracker) OnRead(version rlbobject.Version, value []byte) error {
	var record Record
	if version != 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return rlberror.New("decode intent", KindEncoding, err)
		}
	}
	t.awaitingAnswer = false
	if version < t.version {
		return nil // a stale read: read again
	}
	pendingWrite := t.pendingWrite
	t.recordKnown, t.pendingWrite = true, nil
	if pendingWrite != nil && reflect.DeepEqual(record, *pendingWrite) {
		t.pendingWrite = pendingWrite
		t.OnWritten(version) // the write whose answer was lost took effect
		return nil
	}
	t.version = version
	t.applyRecord(record)
	return nil
}

// applyRecord makes a record the present one. A pending order that it brings may have
// been sent by whoever wrote it.
func (t *Tracker) applyRecord(record Record) {
	old := t.record.Pending
	t.record = record
	if p := record.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		t.orderSent, t.inDoubt = true, true
		t.stateFresh = false
	}
}

// OnReadFailed notes that the object could not be read.
func (t *Tracker) OnReadFailed() { t.pauseAfterFailure() }

// pauseAfterFailure ends a step that did not work.
func (t *Tracker) pauseAfterFailure() {
	t.awaitingAnswer = false
	t.pausedUntil = t.lastStep.Add(failurePause)
}

// OnWritten notes that the write took effect.
func (t *Tracker) OnWritten(version rlbobject.Version) {
	next := *t.pendingWrite
	t.pendingWrite, t.awaitingAnswer = nil, false
	old := t.record.Pending
	t.version, t.record = version, next
	if p := next.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		t.orderSent, t.inDoubt = false, false // a new intent of this book
	}
}

// OnWriteRefused notes that the write did not take effect.
func (t *Tracker) OnWriteRefused(conflict bool) {
	t.pendingWrite = nil
	if conflict {
		t.recordKnown, t.awaitingAnswer = false, false
		return
	}
	t.pauseAfterFailure()
}

// OnWriteUnanswered notes that the write had no answer: the object must be read again.
func (t *Tracker) OnWriteUnanswered() {
	t.awaitingAnswer = false
	t.recordKnown = false
}

// OnAccepted notes that the endpoint took the order, and its state after that.
func (t *Tracker) OnAccepted(order rlbengine.Order, state rlbengine.State) {
	t.awaitingAnswer = false
	t.confirmedFence = max(t.confirmedFence, order.Fence)
	if order.Action != rlbengine.ActionFence && !t.inDoubt {
		t.record.Pending = nil // the only copy has arrived
	}
	t.applyState(state)
}

// OnRefused notes that the endpoint did not carry the order out.
func (t *Tracker) OnRefused(order rlbengine.Order) {
	t.awaitingAnswer = false
	if order.Action == rlbengine.ActionFence {
		return
	}
	t.refusals++
	t.stateFresh = false
	switch {
	case !t.inDoubt:
		t.record.Pending = nil
	case !t.fencing: // this copy is spent, an earlier one may be late
		t.addInDoubt(t.record.Pending.inDoubt())
		t.record.Pending = nil
	}
}

// OnNotSent notes that no byte of the order left.
func (t *Tracker) OnNotSent(order rlbengine.Order) {
	t.pauseAfterFailure()
	if order.Action != rlbengine.ActionFence && !t.inDoubt {
		t.orderSent = false
	}
}

// OnSendUnanswered notes that the order had no answer: it may take effect, now or later.
func (t *Tracker) OnSendUnanswered(order rlbengine.Order) {
	t.pauseAfterFailure()
	t.stateFresh = false
	if order.Action != rlbengine.ActionFence {
		t.inDoubt = true
	}
}

// OnFenced notes that the endpoint has seen a higher fencing number.
func (t *Tracker) OnFenced() {
	t.awaitingAnswer = false
	t.recordKnown = false
}

// OnStateFailed notes that the endpoint's state could not be read.
func (t *Tracker) OnStateFailed() { t.pauseAfterFailure() }

// OnStateRead takes the endpoint's state.
func (t *Tracker) OnStateRead(state rlbengine.State) {
	t.awaitingAnswer = false
	t.applyState(state)
}

// applyState takes a state that was read after the last order was answered.
func (t *Tracker) applyState(state rlbengine.State) {
	t.state, t.stateFresh = state, true
	if state.Incarnation != t.record.Incarnation {
		t.applyRestart(state)
		return
	}
	p := t.record.Pending
	if p == nil {
		return
	}
	settled := t.fencing && t.confirmedFence > p.Serial // what shows now is all that ever will
	if !settled && !p.effective(state) {
		return
	}
	t.record.Pending = nil
	if t.inDoubt && !t.fencing {
		t.addInDoubt(p.inDoubt())
	}
}

// applyRestart forgets what the endpoint's former life may still have done. An
// order recorded by an earlier holder may yet be sent to the new life.
func (t *Tracker) applyRestart(state rlbengine.State) {
	p := t.record.Pending
	t.record.Incarnation = state.Incarnation
	t.record.InDoubt = nil
	if t.fencing { // the new life knows no fencing number
		t.confirmedFence, t.stateFresh = 0, false
	}
	if p == nil {
		return
	}
	t.record.Pending = nil
	if t.inDoubt && !t.fencing {
		t.addInDoubt(p.inDoubt())
	}
}

func (t *Tracker) addInDoubt(o InDoubtOrder) {
	if !slices.Contains(t.record.InDoubt, o) {
		t.record.InDoubt = append(slices.Clone(t.record.InDoubt), o)
	}
}

// Refresh makes the book read the endpoint's state again, if nothing is open.
func (t *Tracker) Refresh() {
	if t.Idle() {
		t.stateFresh = false
	}
}

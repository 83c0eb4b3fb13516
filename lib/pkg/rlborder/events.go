package rlborder

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// OnRead applies the endpoint's object as read. Version 0 means that the object does
// not exist.
func (t *Tracker) OnRead(version rlbobject.Version, value []byte) error {
	var record Record
	if version != 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return rlberror.New("decode intent", KindEncoding, err)
		}
	}
	t.awaitingAnswer = false
	if version < t.version {
		return nil // stale read; Next requests another
	}
	last := t.pendingWrite
	t.recordKnown, t.pendingWrite = true, nil
	if last != nil && reflect.DeepEqual(record, *last) {
		t.pendingWrite = last
		t.OnWritten(version) // the unanswered write took effect
		return nil
	}
	t.version = version
	t.applyRecord(record)
	return nil
}

// applyRecord replaces the current record. A new pending order in it may already
// have been sent by its writer.
func (t *Tracker) applyRecord(record Record) {
	old := t.record.Pending
	t.record = record
	if p := record.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		t.orderSent, t.inDoubt = true, true
		t.stateFresh = false
	}
}

// OnReadFailed records that the object could not be read.
func (t *Tracker) OnReadFailed() { t.pauseAfterFailure() }

// pauseAfterFailure ends a failed step and delays the next one.
func (t *Tracker) pauseAfterFailure() {
	t.awaitingAnswer = false
	t.pausedUntil = t.lastNext.Add(failurePause)
}

// OnWritten records that the write took effect.
func (t *Tracker) OnWritten(version rlbobject.Version) {
	next := *t.pendingWrite
	t.pendingWrite, t.awaitingAnswer = nil, false
	old := t.record.Pending
	t.version, t.record = version, next
	if p := next.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		t.orderSent, t.inDoubt = false, false // a new intent of this tracker
	}
}

// OnWriteRefused records that the write did not take effect. After a conflict the
// object is read again.
func (t *Tracker) OnWriteRefused(conflict bool) {
	t.pendingWrite = nil
	if conflict {
		t.recordKnown, t.awaitingAnswer = false, false
		return
	}
	t.pauseAfterFailure()
}

// OnWriteUnanswered records that the write was not answered. The object is read
// again to find out whether the write took effect.
func (t *Tracker) OnWriteUnanswered() {
	t.awaitingAnswer = false
	t.recordKnown = false
}

// OnAccepted records that the endpoint accepted the order, and its state after that.
func (t *Tracker) OnAccepted(order rlbengine.Order, state rlbengine.State) {
	t.awaitingAnswer = false
	t.confirmedFence = max(t.confirmedFence, order.Fence)
	if order.Action != rlbengine.ActionFence && !t.inDoubt {
		t.record.Pending = nil // the only copy has arrived
	}
	t.applyState(state)
}

// OnRefused records that the endpoint did not execute the order.
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
	case !t.fencing: // this copy was refused, but an earlier one may still arrive
		t.addInDoubt(t.record.Pending.asInDoubt())
		t.record.Pending = nil
	}
}

// OnNotSent records that no byte of the order was sent.
func (t *Tracker) OnNotSent(order rlbengine.Order) {
	t.pauseAfterFailure()
	if order.Action != rlbengine.ActionFence && !t.inDoubt {
		t.orderSent = false
	}
}

// OnSendUnanswered records that the order was not answered: it may take effect now
// or later.
func (t *Tracker) OnSendUnanswered(order rlbengine.Order) {
	t.pauseAfterFailure()
	t.stateFresh = false
	if order.Action != rlbengine.ActionFence {
		t.inDoubt = true
	}
}

// OnFenced records that the endpoint has received a higher fencing number. The object
// is read again.
func (t *Tracker) OnFenced() {
	t.awaitingAnswer = false
	t.recordKnown = false
}

// OnStateFailed records that the endpoint's state could not be read.
func (t *Tracker) OnStateFailed() { t.pauseAfterFailure() }

// OnStateRead applies the endpoint's state as read.
func (t *Tracker) OnStateRead(state rlbengine.State) {
	t.awaitingAnswer = false
	t.applyState(state)
}

// applyState applies a state that was read after the last order was answered, and
// clears the pending order if the state shows its outcome.
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
	settled := t.fencing && t.confirmedFence > p.Serial // an order below the confirmed fence can no longer take effect
	if !settled && !p.effective(state) {
		return
	}
	t.record.Pending = nil
	if t.inDoubt && !t.fencing {
		t.addInDoubt(p.asInDoubt())
	}
}

// applyRestart discards the orders in doubt of the endpoint's former incarnation.
// An order recorded by an earlier holder may still be sent to the new incarnation.
func (t *Tracker) applyRestart(state rlbengine.State) {
	p := t.record.Pending
	t.record.Incarnation = state.Incarnation
	t.record.InDoubt = nil
	if t.fencing { // the new incarnation has no fencing number yet
		t.confirmedFence, t.stateFresh = 0, false
	}
	if p == nil {
		return
	}
	t.record.Pending = nil
	if t.inDoubt && !t.fencing {
		t.addInDoubt(p.asInDoubt())
	}
}

// addInDoubt records an order in doubt, once.
func (t *Tracker) addInDoubt(o InDoubtOrder) {
	if !slices.Contains(t.record.InDoubt, o) {
		t.record.InDoubt = append(slices.Clone(t.record.InDoubt), o)
	}
}

// Refresh requests a new read of the endpoint's state if the tracker is idle.
func (t *Tracker) Refresh() {
	if t.Idle() {
		t.stateFresh = false
	}
}

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
func (b *Tracker) OnRead(version rlbobject.Version, value []byte) error {
	var record Record
	if version != 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return rlberror.New("decode intent", KindEncoding, err)
		}
	}
	b.waiting = false
	if version < b.version {
		return nil // a stale read: read again
	}
	f := b.flight
	b.known, b.flight = true, nil
	if f != nil && reflect.DeepEqual(record, *f) {
		b.flight = f
		b.OnWritten(version) // the write whose answer was lost took effect
		return nil
	}
	b.version = version
	b.take(record)
	return nil
}

// take makes a record the present one. A pending order that it brings may have
// been sent by whoever wrote it.
func (b *Tracker) take(record Record) {
	old := b.record.Pending
	b.record = record
	if p := record.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		b.sent, b.unsure = true, true
		b.stated = false
	}
}

// OnReadFailed notes that the object could not be read.
func (b *Tracker) OnReadFailed() { b.failed() }

// failed ends a step that did not work.
func (b *Tracker) failed() {
	b.waiting = false
	b.pause = b.now.Add(failedPause)
}

// OnWritten notes that the write took effect.
func (b *Tracker) OnWritten(version rlbobject.Version) {
	next := *b.flight
	b.flight, b.waiting = nil, false
	old := b.record.Pending
	b.version, b.record = version, next
	if p := next.Pending; p != nil && (old == nil || old.Serial != p.Serial) {
		b.sent, b.unsure = false, false // a new intent of this book
	}
}

// OnWriteRefused notes that the write did not take effect.
func (b *Tracker) OnWriteRefused(conflict bool) {
	b.flight = nil
	if conflict {
		b.known, b.waiting = false, false
		return
	}
	b.failed()
}

// OnWriteUnanswered notes that the write had no answer: the object must be read again.
func (b *Tracker) OnWriteUnanswered() {
	b.waiting = false
	b.known = false
}

// OnAccepted notes that the endpoint took the order, and its state after that.
func (b *Tracker) OnAccepted(order rlbengine.Order, state rlbengine.State) {
	b.waiting = false
	b.fenced = max(b.fenced, order.Fence)
	if order.Action != rlbengine.ActionFence && !b.unsure {
		b.record.Pending = nil // the only copy has arrived
	}
	b.observe(state)
}

// OnRefused notes that the endpoint did not carry the order out.
func (b *Tracker) OnRefused(order rlbengine.Order) {
	b.waiting = false
	if order.Action == rlbengine.ActionFence {
		return
	}
	b.refusals++
	b.stated = false
	switch {
	case !b.unsure:
		b.record.Pending = nil
	case !b.fencing: // this copy is spent, an earlier one may be late
		b.haunt(b.record.Pending.ghost())
		b.record.Pending = nil
	}
}

// OnNotSent notes that no byte of the order left.
func (b *Tracker) OnNotSent(order rlbengine.Order) {
	b.failed()
	if order.Action != rlbengine.ActionFence && !b.unsure {
		b.sent = false
	}
}

// OnSendUnanswered notes that the order had no answer: it may take effect, now or later.
func (b *Tracker) OnSendUnanswered(order rlbengine.Order) {
	b.failed()
	b.stated = false
	if order.Action != rlbengine.ActionFence {
		b.unsure = true
	}
}

// OnFenced notes that the endpoint has seen a higher fencing number.
func (b *Tracker) OnFenced() {
	b.waiting = false
	b.known = false
}

// OnStateFailed notes that the endpoint's state could not be read.
func (b *Tracker) OnStateFailed() { b.failed() }

// OnStateRead takes the endpoint's state.
func (b *Tracker) OnStateRead(state rlbengine.State) {
	b.waiting = false
	b.observe(state)
}

// observe takes a state that was read after the last order was answered.
func (b *Tracker) observe(state rlbengine.State) {
	b.state, b.stated = state, true
	if state.Incarnation != b.record.Incarnation {
		b.restarted(state)
		return
	}
	p := b.record.Pending
	if p == nil {
		return
	}
	dead := b.fencing && b.fenced > p.Serial // what shows now is all that ever will
	if !dead && !p.effective(state) {
		return
	}
	b.record.Pending = nil
	if b.unsure && !b.fencing {
		b.haunt(p.ghost())
	}
}

// restarted forgets what the endpoint's former life may still have done. An
// order recorded by an earlier holder may yet be sent to the new life.
func (b *Tracker) restarted(state rlbengine.State) {
	p := b.record.Pending
	b.record.Incarnation = state.Incarnation
	b.record.InDoubt = nil
	if b.fencing { // the new life knows no fencing number
		b.fenced, b.stated = 0, false
	}
	if p == nil {
		return
	}
	b.record.Pending = nil
	if b.unsure && !b.fencing {
		b.haunt(p.ghost())
	}
}

func (b *Tracker) haunt(g InDoubtOrder) {
	if !slices.Contains(b.record.InDoubt, g) {
		b.record.InDoubt = append(slices.Clone(b.record.InDoubt), g)
	}
}

// Refresh makes the book read the endpoint's state again, if nothing is open.
func (b *Tracker) Refresh() {
	if b.Idle() {
		b.stated = false
	}
}

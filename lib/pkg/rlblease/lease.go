// Package rlblease decides who holds a lease, by conditional writes of one
// object. No clock is shared: a contender takes a lease over when the object
// has not changed for the lease's time on the contender's own clock, and a
// holder counts its deadline from before it sent the renewal. It does no I/O.
package rlblease

import (
	"encoding/json"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// renewalsPerTTL is how often a holder renews within the lease's time.
const renewalsPerTTL = 3

// Record is the value of a lease's object.
type Record struct {
	Holder  string `json:"holder"`  // empty: given up
	Fence   uint64 `json:"fence"`   // rises with each change of holder
	Renewal uint64 `json:"renewal"` // number of the holder's write, so that no two writes are equal
}

// Opts are the terms of a lease.
type Opts struct {
	Holder string        // this process, unique to its life
	TTL    time.Duration // after which a lease that is not renewed lapses
	Margin time.Duration // before its deadline at which the holder stops using it
}

// Lease is one lease as one process sees it. It is not safe for concurrent use.
type Lease struct {
	opts           Opts
	record         Record
	version        rlbobject.Version
	known          bool          // record and version were read
	lastChange     time.Time     // when the version was first seen
	deadline       time.Time     // until which this process holds it; zero: it does not
	pendingWrite   *pendingWrite // the latest write, until it is known whether it took effect
	writes         uint64        // begun by this process
	awaitingAnswer bool          // for the answer of flight
	nextStep       time.Time     // of the next step
}

// pendingWrite is a write.
type pendingWrite struct {
	record Record
	sent   time.Time
}

// Step is what a lease wants done.
type Step int

// The steps.
const (
	StepNone Step = iota
	StepRead
	StepWrite
)

// New returns a lease of which nothing is known.
func New(opts Opts) *Lease { return &Lease{opts: opts} }

// Held returns the fencing number if this process may use the lease at now.
func (l *Lease) Held(now time.Time) (fence uint64, held bool) {
	if !now.Before(l.deadline.Add(-l.opts.Margin)) {
		return 0, false
	}
	return l.record.Fence, true
}

// Holder returns who holds the lease by the latest record.
func (l *Lease) Holder() string { return l.record.Holder }

// Next returns the step to do at now. Contend says whether this process wants
// the lease. StepWrite returns the value and the version it replaces.
func (l *Lease) Next(now time.Time, contend bool) (Step, []byte, rlbobject.Version, error) {
	if l.awaitingAnswer || now.Before(l.nextStep) {
		return StepNone, nil, 0, nil
	}
	holding := l.known && l.record.Holder == l.opts.Holder
	switch {
	case !l.known:
		l.nextStep = now.Add(l.opts.TTL / renewalsPerTTL)
		return StepRead, nil, 0, nil
	case holding && contend:
		return l.write(now, Record{Holder: l.opts.Holder, Fence: l.record.Fence})
	case holding:
		return l.write(now, Record{Fence: l.record.Fence})
	case contend && l.expired(now):
		return l.write(now, Record{Holder: l.opts.Holder, Fence: l.record.Fence + 1})
	case contend:
		l.nextStep = now.Add(l.opts.TTL / renewalsPerTTL)
		return StepRead, nil, 0, nil
	default:
		return StepNone, nil, 0, nil
	}
}

// expired reports whether nobody holds the lease any more.
func (l *Lease) expired(now time.Time) bool {
	return l.record.Holder == "" || now.Sub(l.lastChange) >= l.opts.TTL
}

func (l *Lease) write(now time.Time, record Record) (Step, []byte, rlbobject.Version, error) {
	l.writes++
	record.Renewal = l.writes // a write that was lost must not be taken for a later one
	value, err := json.Marshal(record)
	if err != nil {
		return StepNone, nil, 0, rlberror.New("encode lease", KindEncoding, err)
	}
	if record.Holder == "" {
		l.deadline = time.Time{} // given up before others can know of it
	}
	l.pendingWrite, l.awaitingAnswer = &pendingWrite{record, now}, true
	l.nextStep = now.Add(l.opts.TTL / renewalsPerTTL)
	return StepWrite, value, l.version, nil
}

// StepNow makes the next step come at once: the holder is no longer heard of.
func (l *Lease) StepNow() {
	if !l.awaitingAnswer {
		l.nextStep = time.Time{}
	}
}

// OnRead takes the object as read at now; version 0: there is none.
func (l *Lease) OnRead(now time.Time, version rlbobject.Version, value []byte) error {
	var record Record
	if version != 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return rlberror.New("decode lease", KindEncoding, err)
		}
	}
	if version < l.version {
		return nil // a stale read
	}
	if !l.known || version != l.version {
		l.lastChange = now
	}
	if expiry := l.lastChange.Add(l.opts.TTL); expiry.Before(l.nextStep) {
		l.nextStep = expiry // the step that takes it over need not wait for the next read
	}
	w := l.pendingWrite
	l.pendingWrite = nil
	l.record, l.version, l.known = record, version, true
	switch {
	case record.Holder != l.opts.Holder:
		l.deadline = time.Time{}
	case w != nil && record == w.record:
		l.extendDeadline(w)
	}
	return nil
}

// extendDeadline counts the deadline of a write that took effect.
func (l *Lease) extendDeadline(w *pendingWrite) {
	if w.record.Holder == l.opts.Holder {
		l.deadline = w.sent.Add(l.opts.TTL)
	}
}

// OnWritten notes that the write took effect at now.
func (l *Lease) OnWritten(now time.Time, version rlbobject.Version) {
	w := l.pendingWrite
	l.pendingWrite, l.awaitingAnswer = nil, false
	l.record, l.version, l.lastChange = w.record, version, now
	l.extendDeadline(w)
}

// OnWriteRefused notes that the write did not take effect. After a conflict the
// object must be read again.
func (l *Lease) OnWriteRefused(conflict bool) {
	l.pendingWrite, l.awaitingAnswer = nil, false
	if conflict {
		l.scheduleRead()
	}
}

// OnWriteUnanswered notes that the write had no answer: the object must be read again, and
// tells. Until then the old deadline stands.
func (l *Lease) OnWriteUnanswered() {
	l.awaitingAnswer = false
	l.scheduleRead()
}

// scheduleRead makes the next step a read, at once. A flight stays: the read tells
// whether it took effect.
func (l *Lease) scheduleRead() {
	l.nextStep = time.Time{}
	l.known = false
}

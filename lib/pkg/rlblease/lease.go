// Package rlblease decides which process holds a lease, by conditional writes of
// one object. It needs no shared clock: a contender takes the lease over when the
// object has not changed for the lease's TTL on the contender's own clock, and a
// holder counts its deadline from just before it sends a renewal. It does no I/O.
//
// The fencing number of a holder follows the version that its first write replaced, which
// no other write replaces. After a restore of the object API the object does not show who
// held the lease last: nobody may hold it any more by a record of an earlier era, and it is
// taken over after the TTL with a number of the new era, which is higher than all before.
package rlblease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// renewalsPerTTL is how often within the TTL a holder renews the lease and a
// contender reads it.
const renewalsPerTTL = 3

// Record is the value of a lease's object.
type Record struct {
	Holder  string `json:"holder"`  // empty: released
	Fence   uint64 `json:"fence"`   // an rlbobject.Version; increases with each change of holder
	Renewal uint64 `json:"renewal"` // number of the holder's write; makes all writes distinct
}

// Opts are the settings of a lease.
type Opts struct {
	Holder string        // this process, unique per incarnation
	TTL    time.Duration // after which a lease that is not renewed expires
	Margin time.Duration // time before the deadline at which the holder stops using the lease
}

// Lease is the state of a lease in one process. It is not safe for concurrent use.
type Lease struct {
	opts           Opts
	record         Record
	version        rlbobject.Version
	known          bool          // record and version were read
	lastChange     time.Time     // when the version was first read or written
	deadline       time.Time     // until which this process holds the lease; zero if it does not
	fence          uint64        // with which this process holds the lease until deadline
	pendingWrite   *pendingWrite // the last write, until its outcome is known
	writes         uint64        // started by this process
	awaitingAnswer bool          // the answer to pendingWrite is outstanding
	nextStep       time.Time     // earliest time of the next step
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	record Record
	sent   time.Time
}

// Step is an operation that the caller performs for a lease.
type Step int

// Steps of a lease.
const (
	StepNone Step = iota
	StepRead
	StepWrite
)

// New returns a lease whose object has not been read yet.
func New(opts Opts) *Lease { return &Lease{opts: opts} }

// Held returns the fencing number and whether this process may use the lease at now.
func (l *Lease) Held(now time.Time) (fence uint64, held bool) {
	if !now.Before(l.deadline.Add(-l.opts.Margin)) {
		return 0, false
	}
	return l.fence, true
}

// Holder returns the lease holder according to the latest record; empty if there is
// none.
func (l *Lease) Holder() string { return l.record.Holder }

// Next returns the step to perform at now. The argument contend is true if this
// process competes for the lease; a holder that does not contend releases it. For
// StepWrite, Next also returns the value to write and the version that it replaces.
func (l *Lease) Next(now time.Time, contend bool) (Step, []byte, rlbobject.Version, error) {
	if l.awaitingAnswer || now.Before(l.nextStep) {
		return StepNone, nil, 0, nil
	}
	holding := l.known && l.record.Holder == l.opts.Holder && !l.outdated()
	switch {
	case !contend:
		return l.giveUp(now, holding)
	case !l.known:
		return l.read(now)
	case holding:
		return l.write(now, Record{Holder: l.opts.Holder, Fence: l.record.Fence})
	case l.mayTakeOver(now):
		return l.write(now, Record{Holder: l.opts.Holder, Fence: uint64(l.version) + 1})
	default:
		return l.read(now)
	}
}

// giveUp returns the step of a process that does not contend: it releases what it holds, and
// finds out about a write in doubt.
func (l *Lease) giveUp(now time.Time, holding bool) (Step, []byte, rlbobject.Version, error) {
	if holding {
		return l.write(now, Record{Fence: l.record.Fence})
	}
	l.deadline = time.Time{}
	if !l.known && l.pendingWrite != nil {
		return l.read(now)
	}
	return StepNone, nil, 0, nil
}

func (l *Lease) read(now time.Time) (Step, []byte, rlbobject.Version, error) {
	l.nextStep = now.Add(l.opts.TTL / renewalsPerTTL)
	return StepRead, nil, 0, nil
}

// mayTakeOver reports whether no other process can hold the lease.
func (l *Lease) mayTakeOver(now time.Time) bool {
	if l.outdated() && now.Before(l.deadline) {
		return true // this process still holds it from before the restore
	}
	return l.expired(now)
}

// expired reports whether the lease has no holder or its TTL has passed since the
// object last changed.
func (l *Lease) expired(now time.Time) bool {
	return l.record.Holder == "" && !l.outdated() || now.Sub(l.lastChange) >= l.opts.TTL
}

// outdated reports whether the object API was restored since the record was written. The
// lease may have another holder than the record says, until its TTL has passed. So may one
// whose object is missing, unless there was no restore yet.
func (l *Lease) outdated() bool {
	return l.version.Era() > max(rlbobject.Version(l.record.Fence).Era(), rlbobject.FirstEra)
}

func (l *Lease) write(now time.Time, record Record) (Step, []byte, rlbobject.Version, error) {
	l.writes++
	record.Renewal = l.writes // keeps a lost write from being mistaken for a later one
	value, err := json.Marshal(record)
	if err != nil {
		return StepNone, nil, 0, rlberror.New("encode lease", KindEncoding, err)
	}
	if record.Holder == "" {
		l.deadline = time.Time{} // stop using the lease before others can take it over
	}
	l.pendingWrite, l.awaitingAnswer = &pendingWrite{record, now}, true
	l.nextStep = now.Add(l.opts.TTL / renewalsPerTTL)
	return StepWrite, value, l.version, nil
}

// StepNow schedules the next step at once, for instance when the holder's heartbeats
// stop.
func (l *Lease) StepNow() {
	if !l.awaitingAnswer {
		l.nextStep = time.Time{}
	}
}

// unknownHolder is the holder in a record that cannot be decoded.
const unknownHolder = "unknown holder"

// decodeRecord decodes the object of a version. One that cannot be decoded, as another
// writer left it, counts as the lease of an unknown holder, so that it expires like any
// other. No holder has a fencing number higher than the version.
func decodeRecord(version rlbobject.Version, value []byte) (Record, error) {
	var record Record
	if !version.Exists() {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	if err == nil && record.Fence > uint64(version) {
		err = fmt.Errorf("the fencing number %d is higher than the version %d", record.Fence, version)
	}
	if err != nil {
		return Record{Holder: unknownHolder, Fence: uint64(version)}, rlberror.New("decode lease", KindEncoding, err)
	}
	return record, nil
}

// OnRead applies the object as read at now. A version without revision means that the
// object does not exist. It returns an error if the object cannot be decoded; the lease then counts as
// held by someone else.
func (l *Lease) OnRead(now time.Time, version rlbobject.Version, value []byte) error {
	record, err := decodeRecord(version, value)
	if version < l.version {
		return nil // stale read
	}
	if !l.known || version != l.version {
		l.lastChange = now
	}
	if expiry := l.lastChange.Add(l.opts.TTL); expiry.Before(l.nextStep) {
		l.nextStep = expiry // take over on expiry instead of waiting for the next read
	}
	w := l.pendingWrite
	l.pendingWrite = nil
	l.record, l.version, l.known = record, version, true
	switch {
	case l.outdated():
		if now.Before(l.deadline) {
			l.nextStep = time.Time{} // no other process takes the lease over before the deadline
		}
	case record.Holder != l.opts.Holder:
		l.deadline = time.Time{}
	case w != nil && record == w.record:
		l.extendDeadline(w)
	}
	return err
}

// extendDeadline sets the deadline after a write took effect, unless it released the
// lease.
func (l *Lease) extendDeadline(w *pendingWrite) {
	if w.record.Holder == l.opts.Holder {
		l.deadline, l.fence = w.sent.Add(l.opts.TTL), w.record.Fence
	}
}

// OnWritten records that the write took effect at now.
func (l *Lease) OnWritten(now time.Time, version rlbobject.Version) {
	w := l.pendingWrite
	l.pendingWrite, l.awaitingAnswer = nil, false
	l.record, l.version, l.lastChange = w.record, version, now
	l.extendDeadline(w)
}

// OnWriteRefused records that the write did not take effect. After a conflict the
// object is read again.
func (l *Lease) OnWriteRefused(conflict bool) {
	l.pendingWrite, l.awaitingAnswer = nil, false
	if conflict {
		l.scheduleRead()
	}
}

// OnWriteUnanswered records that the write was not answered. The object is read again
// to find out whether the write took effect; until then the old deadline applies.
func (l *Lease) OnWriteUnanswered() {
	l.awaitingAnswer = false
	l.scheduleRead()
}

// scheduleRead makes the next step a read, at once. A pending write is kept: the read
// shows whether it took effect.
func (l *Lease) scheduleRead() {
	l.nextStep = time.Time{}
	l.known = false
}

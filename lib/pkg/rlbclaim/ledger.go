package rlbclaim

import (
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of a shard's head object. The head is the object that holds the shard's
// latest entries.
const (
	maxHeadEntriesBytes = 32 << 10  // size of the entries in bytes; larger heads are sealed into a segment
	maxBatchOperations  = 4096      // operations per write
	maxBatchBytes       = 512 << 10 // a write above this size takes no more operations: with the previous entries it stays below the limit of the object API
	maxEntryBytes       = 128       // size of an entry without its answer, at most
)

// Head is the value of a shard's head object: the latest entries and the names of
// the segments with earlier entries.
type Head struct {
	Writer   string    `msgpack:"w"` // the ledger that wrote it
	Serial   uint64    `msgpack:"n"` // number of the write by this writer
	Entries  []Entry   `msgpack:"e"` // a later entry for a key replaces earlier ones
	Segments []Segment `msgpack:"s"`
}

// Segment refers to a separate object with a sealed list of entries.
type Segment struct {
	Name     string `msgpack:"n"`
	Deadline int64  `msgpack:"d"` // latest deadline of its entries
}

// Write is a write that the caller of a ledger must carry out. The segment, if any,
// must be written before the head. If it already exists, that counts as written.
type Write struct {
	Head             []byte
	IfVersion        rlbobject.Version // expected version of the head
	Segment          *SegmentWrite
	ObsoleteSegments []string // segments that the new head no longer refers to
}

// SegmentWrite is a segment to create.
type SegmentWrite struct {
	Name  string
	Value []byte
}

// Ticket identifies an operation, to match it with its result.
type Ticket uint64

// Completion is the result of a submitted operation.
type Completion struct {
	Ticket Ticket
	Result Result
}

// pendingOperation is an operation that is not written yet.
type pendingOperation struct {
	ticket Ticket
	op     Operation
}

// Ledger is the state of one shard at one controller. It batches operations into
// conditional writes of the head. It is not safe for concurrent use.
type Ledger struct {
	writer         string
	shard          int
	loaded         bool
	version        rlbobject.Version
	head           Head
	index          map[Key]Entry
	queue          []pendingOperation
	inFlight       *inFlightWrite
	serial         uint64
	completions    []Completion
	sizeAfterSweep int // number of entries after the last sweep
}

// inFlightWrite is a write whose answer is outstanding.
type inFlightWrite struct {
	head       Head
	serial     uint64
	operations []pendingOperation
	entries    []Entry
}

// NewLedger returns a ledger, which must be loaded before it writes. Writer must be
// unique to this incarnation of the process.
func NewLedger(writer string, shard int) *Ledger {
	return &Ledger{writer: writer, shard: shard, index: map[Key]Entry{}}
}

// Loaded reports whether the entries of the shard are loaded and current.
func (l *Ledger) Loaded() bool { return l.loaded }

// Pending returns the number of operations that have no result yet.
func (l *Ledger) Pending() int {
	if l.inFlight != nil {
		return len(l.queue) + len(l.inFlight.operations)
	}
	return len(l.queue)
}

// Size returns the number of keys in the ledger.
func (l *Ledger) Size() int { return len(l.index) }

// Load replaces the entries of the ledger by those read from the object API: the head
// (version 0 if there is none) and the entries of its segments. If the answer to a
// write was outstanding, the head shows whether the write took effect.
func (l *Ledger) Load(version rlbobject.Version, head Head, sealed []Entry) {
	l.version, l.head, l.loaded = version, head, true
	l.index = make(map[Key]Entry, len(sealed)+len(head.Entries))
	for _, e := range sealed {
		l.setEntry(e)
	}
	for _, e := range head.Entries {
		l.setEntry(e)
	}
	inFlight := l.inFlight
	if inFlight == nil {
		return
	}
	if head.Writer == l.writer && head.Serial == inFlight.serial {
		l.WriteSucceeded(version)
		return
	}
	l.inFlight = nil
	l.queue = append(inFlight.operations, l.queue...)
}

// setEntry updates the index with an entry.
func (l *Ledger) setEntry(e Entry) {
	if e.Released {
		delete(l.index, e.Key)
		return
	}
	l.index[e.Key] = e
}

// Submit adds an operation. Completions returns its result.
func (l *Ledger) Submit(ticket Ticket, op Operation) {
	l.queue = append(l.queue, pendingOperation{ticket, op})
}

// Completions returns the results of the operations completed since the last call.
func (l *Ledger) Completions() []Completion {
	completions := l.completions
	l.completions = nil
	return completions
}

// complete records the result of an operation.
func (l *Ledger) complete(t Ticket, status Status, entry Entry) {
	l.completions = append(l.completions, Completion{t, Result{status, entry}})
}

// NextWrite returns the next write, or nil if there is nothing to write, the answer to
// a write is outstanding or the ledger must be loaded. If no operation of a batch needs
// a write, they are completed.
func (l *Ledger) NextWrite(now int64) (*Write, error) {
	if !l.loaded || l.inFlight != nil || len(l.queue) == 0 {
		return nil, nil
	}
	l.sweep(now)
	batch := &inFlightWrite{}
	batched := l.batchLen()
	overlay := map[Key]Entry{}
	for _, p := range l.queue[:batched] {
		l.applyOperation(batch, overlay, p)
	}
	l.queue = slices.Clone(l.queue[batched:])
	if len(batch.entries) == 0 {
		for _, p := range batch.operations {
			l.resolve(p)
		}
		return nil, nil
	}
	return l.write(batch, now)
}

// batchLen returns the number of queued operations that fit into the next write.
func (l *Ledger) batchLen() int {
	size := 0
	for i, p := range l.queue {
		if i == maxBatchOperations || size > maxBatchBytes {
			return i
		}
		size += maxEntryBytes + len(p.op.Entry.Answer.Body) + len(p.op.Entry.Answer.ContentType)
	}
	return len(l.queue)
}

// minSweepSize is the number of entries from which a ledger removes expired ones.
const minSweepSize = 1024

// sweep removes expired entries whenever the number of entries has doubled, so that
// the amortized cost per claim is constant.
func (l *Ledger) sweep(now int64) {
	if len(l.index) < max(minSweepSize, 2*l.sizeAfterSweep) {
		return
	}
	for key, e := range l.index {
		if e.Deadline <= now {
			delete(l.index, key)
		}
	}
	l.sizeAfterSweep = len(l.index)
}

// applyOperation adds an operation to the batch. Overlay holds the entries changed by
// the operations before it in the batch.
func (l *Ledger) applyOperation(batch *inFlightWrite, overlay map[Key]Entry, p pendingOperation) {
	e := p.op.Entry
	current, known := overlay[e.Key]
	if !known {
		current, known = l.index[e.Key]
	}
	batch.operations = append(batch.operations, p)
	next, changes := nextEntry(current, known && !current.Released, p.op)
	if changes {
		overlay[e.Key] = next
		batch.entries = append(batch.entries, next)
	}
}

// nextEntry returns the entry after an operation and whether the operation changes it.
func nextEntry(current Entry, known bool, op Operation) (Entry, bool) {
	ownRun := known && current.Run == op.Entry.Run
	switch op.Verb {
	case VerbClaim:
		return op.Entry, !known
	case VerbFinish:
		current.Phase, current.Answer = op.Entry.Phase, op.Entry.Answer
		return current, ownRun
	default: // VerbRelease: a run with a recorded answer was sent, so it is not released
		current.Released = true
		return current, ownRun && current.Phase == Claimed
	}
}

// resolve completes an operation after its batch is written.
func (l *Ledger) resolve(p pendingOperation) {
	e := p.op.Entry
	current, known := l.index[e.Key]
	if p.op.Verb != VerbClaim {
		l.complete(p.ticket, Recorded, current)
		return
	}
	switch {
	case known && current.Run == e.Run:
		l.complete(p.ticket, Granted, current)
	case known && current.Fingerprint != e.Fingerprint:
		l.complete(p.ticket, Mismatch, current)
	case known:
		l.complete(p.ticket, Taken, current)
	default: // claimed and released within the batch
		l.complete(p.ticket, Unavailable, current)
	}
}

// write returns the write of a batch. It seals the entries of the current head into a
// segment if they are too large, and drops expired segments.
func (l *Ledger) write(batch *inFlightWrite, now int64) (*Write, error) {
	l.serial++
	batch.serial = l.serial
	batch.head = Head{Writer: l.writer, Serial: batch.serial}
	w := &Write{IfVersion: l.version}
	for _, s := range l.head.Segments {
		if s.Deadline > now {
			batch.head.Segments = append(batch.head.Segments, s)
		} else {
			w.ObsoleteSegments = append(w.ObsoleteSegments, s.Name)
		}
	}
	entries, err := msgpack.Marshal(l.head.Entries)
	if err != nil {
		return nil, rlberror.New("encode entries", KindEncoding, err)
	}
	if len(entries) > maxHeadEntriesBytes {
		name := fmt.Sprintf("%d-%s-%d", l.shard, l.writer, batch.serial)
		w.Segment = &SegmentWrite{name, entries}
		batch.head.Segments = append(batch.head.Segments, Segment{name, lastDeadline(l.head.Entries)})
	} else {
		batch.head.Entries = append(batch.head.Entries, l.head.Entries...)
	}
	batch.head.Entries = append(batch.head.Entries, batch.entries...)
	if w.Head, err = msgpack.Marshal(batch.head); err != nil {
		return nil, rlberror.New("encode head", KindEncoding, err)
	}
	l.inFlight = batch
	return w, nil
}

// lastDeadline returns the latest deadline of the entries.
func lastDeadline(entries []Entry) int64 {
	var last int64
	for _, e := range entries {
		last = max(last, e.Deadline)
	}
	return last
}

// WriteSucceeded records that the write took effect and created the given version.
func (l *Ledger) WriteSucceeded(version rlbobject.Version) {
	inFlight := l.inFlight
	l.inFlight = nil
	l.version, l.head = version, inFlight.head
	for _, e := range inFlight.entries {
		l.setEntry(e)
	}
	for _, p := range inFlight.operations {
		l.resolve(p)
	}
}

// WriteRefused records that the write did not take effect. After a conflict the ledger
// must be loaded again, and the operations are queued again. Otherwise they end with
// Unavailable.
func (l *Ledger) WriteRefused(conflict bool) {
	inFlight := l.inFlight
	l.inFlight = nil
	if conflict {
		l.loaded = false
		l.queue = append(inFlight.operations, l.queue...)
		return
	}
	for _, p := range inFlight.operations {
		l.complete(p.ticket, Unavailable, Entry{})
	}
}

// WriteUnanswered records that there was no answer to the write. It may have taken
// effect or may still do so. The ledger must be loaded again to find out.
func (l *Ledger) WriteUnanswered() { l.loaded = false }

// AbortPending ends all queued operations with Unavailable, and also those of a write
// after WriteUnanswered. That write may still take effect, but none of its claims is
// granted.
func (l *Ledger) AbortPending() {
	for _, p := range l.queue {
		l.complete(p.ticket, Unavailable, Entry{})
	}
	l.queue = nil
	if l.inFlight != nil && !l.loaded {
		for _, p := range l.inFlight.operations {
			l.complete(p.ticket, Unavailable, Entry{})
		}
		l.inFlight = nil
	}
}

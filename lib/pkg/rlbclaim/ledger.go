package rlbclaim

import (
	"fmt"
	"slices"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of a shard's head object.
const (
	sealBytes  = 32 << 10  // a longer head is sealed into a segment
	maxPerHead = 4096      // operations in one write
	batchBytes = 512 << 10 // after which no more operations join a write: with the head before it, below what the platform takes
	entryBytes = 128       // of an entry besides its answer, at most
)

// Head is the value of a shard's object: the latest entries and the names of
// the segments that hold the earlier ones.
type Head struct {
	Writer   string    `msgpack:"w"` // who wrote it
	Serial   uint64    `msgpack:"n"` // of that writer's write
	Entries  []Entry   `msgpack:"e"` // a later entry of a key replaces earlier ones
	Segments []Segment `msgpack:"s"`
}

// Segment is a sealed list of entries in an object of its own.
type Segment struct {
	Name     string `msgpack:"n"`
	Deadline int64  `msgpack:"d"` // of the last entry to be kept
}

// Write is what a ledger wants written. A segment, if any, must be written
// before the head; that it exists already is as good.
type Write struct {
	Head             []byte
	IfVersion        rlbobject.Version // of the head
	Segment          *SegmentWrite
	ObsoleteSegments []string // segments that the head no longer names
}

// SegmentWrite is a segment to be created.
type SegmentWrite struct {
	Name  string
	Value []byte
}

// Ticket pairs an operation with its result.
type Ticket uint64

// Completion is the result of a submitted operation.
type Completion struct {
	Ticket Ticket
	Result Result
}

// staged is an operation whose effect is not written yet.
type staged struct {
	ticket Ticket
	op     Operation
}

// Ledger is one shard at one controller. It batches operations into
// conditional writes of the head. It is not safe for concurrent use.
type Ledger struct {
	writer  string
	shard   int
	loaded  bool
	version rlbobject.Version
	head    Head
	index   map[Key]Entry
	queue   []staged
	flight  *flight
	serial  uint64
	done    []Completion
	swept   int // entries left by the last sweep
}

// flight is the write that waits for its answer.
type flight struct {
	head    Head
	serial  uint64
	batch   []staged
	entries []Entry
}

// NewLedger returns a ledger that must be loaded before it writes. Writer must
// be unique to this process's life.
func NewLedger(writer string, shard int) *Ledger {
	return &Ledger{writer: writer, shard: shard, index: map[Key]Entry{}}
}

// Loaded reports whether the ledger knows the shard's entries.
func (l *Ledger) Loaded() bool { return l.loaded }

// Pending returns the number of operations without a result.
func (l *Ledger) Pending() int {
	if l.flight != nil {
		return len(l.queue) + len(l.flight.batch)
	}
	return len(l.queue)
}

// Size returns the number of keys known.
func (l *Ledger) Size() int { return len(l.index) }

// Load takes the shard's entries as read: its head (version 0: none) and the
// entries of the segments it names. If a write was waiting for its answer, the
// head tells whether it took effect.
func (l *Ledger) Load(version rlbobject.Version, head Head, sealed []Entry) {
	l.version, l.head, l.loaded = version, head, true
	l.index = make(map[Key]Entry, len(sealed)+len(head.Entries))
	for _, e := range sealed {
		l.put(e)
	}
	for _, e := range head.Entries {
		l.put(e)
	}
	f := l.flight
	if f == nil {
		return
	}
	if head.Writer == l.writer && head.Serial == f.serial {
		l.WriteSucceeded(version)
		return
	}
	l.flight = nil
	l.queue = append(f.batch, l.queue...)
}

func (l *Ledger) put(e Entry) {
	if e.Released {
		delete(l.index, e.Key)
		return
	}
	l.index[e.Key] = e
}

// Submit adds an operation. Its result comes from Results.
func (l *Ledger) Submit(ticket Ticket, op Operation) {
	l.queue = append(l.queue, staged{ticket, op})
}

// Completions returns the results since the last call.
func (l *Ledger) Completions() []Completion {
	done := l.done
	l.done = nil
	return done
}

func (l *Ledger) finish(t Ticket, status Status, entry Entry) {
	l.done = append(l.done, Completion{t, Result{status, entry}})
}

// NextWrite returns the next write, or nil if there is nothing to write or a write
// is waiting for its answer. Operations that need no write get their results.
func (l *Ledger) NextWrite(now int64) (*Write, error) {
	if !l.loaded || l.flight != nil || len(l.queue) == 0 {
		return nil, nil
	}
	l.sweep(now)
	f := &flight{}
	taken := l.batchLen()
	overlay := map[Key]Entry{}
	for _, s := range l.queue[:taken] {
		l.stage(f, overlay, s)
	}
	l.queue = slices.Clone(l.queue[taken:])
	if len(f.entries) == 0 {
		for _, s := range f.batch {
			l.settle(s)
		}
		return nil, nil
	}
	return l.write(f, now)
}

// batchLen returns how many of the waiting operations go into the next write.
func (l *Ledger) batchLen() int {
	size := 0
	for i, s := range l.queue {
		if i == maxPerHead || size > batchBytes {
			return i
		}
		size += entryBytes + len(s.op.Entry.Answer.Body) + len(s.op.Entry.Answer.ContentType)
	}
	return len(l.queue)
}

// minSweep is how many entries a ledger has before it looks for lapsed ones.
const minSweep = 1024

// sweep drops lapsed entries whenever the number of entries has doubled, so that
// its work is a constant for each claim.
func (l *Ledger) sweep(now int64) {
	if len(l.index) < max(minSweep, 2*l.swept) {
		return
	}
	for key, e := range l.index {
		if e.Deadline <= now {
			delete(l.index, key)
		}
	}
	l.swept = len(l.index)
}

// stage decides one operation on top of the batch so far.
func (l *Ledger) stage(f *flight, overlay map[Key]Entry, s staged) {
	e := s.op.Entry
	current, known := overlay[e.Key]
	if !known {
		current, known = l.index[e.Key]
	}
	f.batch = append(f.batch, s)
	next, changes := step(current, known && !current.Released, s.op)
	if changes {
		overlay[e.Key] = next
		f.entries = append(f.entries, next)
	}
}

// step returns the entry after an operation and whether it differs.
func step(current Entry, known bool, op Operation) (Entry, bool) {
	mine := known && current.Run == op.Entry.Run
	switch op.Verb {
	case VerbClaim:
		return op.Entry, !known
	case VerbFinish:
		current.Phase, current.Answer = op.Entry.Phase, op.Entry.Answer
		return current, mine
	default: // a run that was answered was sent: it is not released
		current.Released = true
		return current, mine && current.Phase == Claimed
	}
}

// settle gives an operation its result once the batch is written.
func (l *Ledger) settle(s staged) {
	e := s.op.Entry
	current, known := l.index[e.Key]
	if s.op.Verb != VerbClaim {
		l.finish(s.ticket, Recorded, current)
		return
	}
	switch {
	case known && current.Run == e.Run:
		l.finish(s.ticket, Granted, current)
	case known && current.Fingerprint != e.Fingerprint:
		l.finish(s.ticket, Mismatch, current)
	case known:
		l.finish(s.ticket, Taken, current)
	default: // claimed and released within the batch
		l.finish(s.ticket, Unavailable, current)
	}
}

func (l *Ledger) write(f *flight, now int64) (*Write, error) {
	l.serial++
	f.serial = l.serial
	f.head = Head{Writer: l.writer, Serial: f.serial}
	w := &Write{IfVersion: l.version}
	for _, s := range l.head.Segments {
		if s.Deadline > now {
			f.head.Segments = append(f.head.Segments, s)
		} else {
			w.ObsoleteSegments = append(w.ObsoleteSegments, s.Name)
		}
	}
	entries, err := msgpack.Marshal(l.head.Entries)
	if err != nil {
		return nil, rlberror.New("encode entries", KindEncoding, err)
	}
	if len(entries) > sealBytes {
		name := fmt.Sprintf("%d-%s-%d", l.shard, l.writer, f.serial)
		w.Segment = &SegmentWrite{name, entries}
		f.head.Segments = append(f.head.Segments, Segment{name, lastDeadline(l.head.Entries)})
	} else {
		f.head.Entries = append(f.head.Entries, l.head.Entries...)
	}
	f.head.Entries = append(f.head.Entries, f.entries...)
	if w.Head, err = msgpack.Marshal(f.head); err != nil {
		return nil, rlberror.New("encode head", KindEncoding, err)
	}
	l.flight = f
	return w, nil
}

func lastDeadline(entries []Entry) int64 {
	var last int64
	for _, e := range entries {
		last = max(last, e.Deadline)
	}
	return last
}

// WriteSucceeded notes that the write took effect as the given version.
func (l *Ledger) WriteSucceeded(version rlbobject.Version) {
	f := l.flight
	l.flight = nil
	l.version, l.head = version, f.head
	for _, e := range f.entries {
		l.put(e)
	}
	for _, s := range f.batch {
		l.settle(s)
	}
}

// WriteRefused notes that the write did not take effect and, unless the reason was
// a conflict, gives up its operations. After a conflict the ledger must be
// loaded again; its operations are decided anew.
func (l *Ledger) WriteRefused(conflict bool) {
	f := l.flight
	l.flight = nil
	if conflict {
		l.loaded = false
		l.queue = append(f.batch, l.queue...)
		return
	}
	for _, s := range f.batch {
		l.finish(s.ticket, Unavailable, Entry{})
	}
}

// WriteUnanswered notes that the write had no answer. It may have taken effect and may
// still do so: the ledger must be loaded again, which tells.
func (l *Ledger) WriteUnanswered() { l.loaded = false }

// AbortPending gives up the operations that wait. Those of a write without an answer
// stay undecided in the store; none of them is granted.
func (l *Ledger) AbortPending() {
	for _, s := range l.queue {
		l.finish(s.ticket, Unavailable, Entry{})
	}
	l.queue = nil
	if l.flight != nil && !l.loaded {
		for _, s := range l.flight.batch {
			l.finish(s.ticket, Unavailable, Entry{})
		}
		l.flight = nil
	}
}

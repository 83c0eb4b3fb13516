package rlbclaim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// submitClaims submits claims of the keys from..to-1 and returns the resulting write.
func submitClaims(l *Ledger, from, to int, deadline int64) *Write {
	for n := from; n < to; n++ {
		l.Submit(Ticket(n), Operation{VerbClaim, Entry{Key: HashKey(string(rune(n))), Run: RunID{1, byte(n)}, Deadline: deadline}})
	}
	w, err := l.NextWrite(0)
	So(err, ShouldBeNil)
	return w
}

func TestLedger(t *testing.T) {
	Convey("concurrent claims share one write", t, func() {
		l := NewLedger("w", 0)
		l.Load(0, Head{}, nil)
		w := submitClaims(l, 0, 100, 10)
		So(w.IfVersion, ShouldEqual, 0)
		So(l.Completions(), ShouldBeEmpty)
		l.WriteSucceeded(5)
		results := l.Completions()
		So(results, ShouldHaveLength, 100)
		for _, r := range results {
			So(r.Result.Status, ShouldEqual, Granted)
		}
		So(l.Size(), ShouldEqual, 100)
	})
	Convey("a large head is sealed into a segment, and another ledger loads every key", t, func() {
		l := NewLedger("w", 3)
		l.Load(0, Head{}, nil)
		submitClaims(l, 0, 2000, 10)
		l.WriteSucceeded(1)
		w := submitClaims(l, 2000, 2001, 20)
		So(w.Segment, ShouldNotBeNil)
		l.WriteSucceeded(2)
		var head Head
		var sealed []Entry
		So(rlbmsgpack.Unmarshal(w.Head, &head), ShouldBeNil)
		So(rlbmsgpack.Unmarshal(w.Segment.Value, &sealed), ShouldBeNil)
		So(head.Segments, ShouldHaveLength, 1)
		other := NewLedger("x", 3)
		other.Load(2, head, sealed)
		So(other.Size(), ShouldEqual, 2001)
		Convey("the next write drops an expired segment", func() {
			other.Submit(1, Operation{VerbClaim, Entry{Key: HashKey("new"), Run: RunID{9}, Deadline: 99}})
			w, err := other.NextWrite(15)
			So(err, ShouldBeNil)
			So(w.ObsoleteSegments, ShouldResemble, []string{head.Segments[0].Name})
		})
	})
	Convey("many large answers at once are split into writes within the size limit of the object API", t, func() {
		const answers = 1000
		l := NewLedger("w", 0)
		l.Load(0, Head{}, nil)
		w := submitClaims(l, 0, answers, 10)
		So(len(w.Head), ShouldBeLessThanOrEqualTo, answers*maxEntryBytes)
		l.WriteSucceeded(1)
		l.Completions()
		for n := range answers {
			e := Entry{Key: HashKey(string(rune(n))), Run: RunID{1, byte(n)}, Phase: Answered, Answer: Answer{Kept: true, Body: make([]byte, MaxStoredBody)}}
			l.Submit(Ticket(n), Operation{VerbFinish, e})
		}
		recorded := 0
		for l.Pending() > 0 {
			w, err := l.NextWrite(0)
			So(err, ShouldBeNil)
			So(len(w.Head), ShouldBeLessThanOrEqualTo, int(rlbobject.MaxValueBytes))
			l.WriteSucceeded(w.IfVersion + 1)
			recorded += len(l.Completions())
		}
		So(recorded, ShouldEqual, answers)
	})
	Convey("resends, a reused key and releases", t, func() {
		l := NewLedger("w", 0)
		l.Load(0, Head{}, nil)
		entry := Entry{Key: HashKey("k"), Run: RunID{1}, Fingerprint: 7}
		status := func(verb Verb, run byte, fingerprint uint64) Status {
			e := entry
			e.Run, e.Fingerprint = RunID{run}, fingerprint
			l.Submit(1, Operation{verb, e})
			w, err := l.NextWrite(0)
			So(err, ShouldBeNil)
			if w != nil {
				l.WriteSucceeded(w.IfVersion + 1)
			}
			return l.Completions()[0].Result.Status
		}
		So(status(VerbClaim, 1, 7), ShouldEqual, Granted)
		So(status(VerbClaim, 1, 7), ShouldEqual, Granted) // the same run claims again
		So(status(VerbClaim, 2, 7), ShouldEqual, Taken)
		So(status(VerbClaim, 3, 8), ShouldEqual, Mismatch)
		So(status(VerbRelease, 2, 7), ShouldEqual, Recorded) // another run has claimed the key: no change
		So(status(VerbClaim, 2, 7), ShouldEqual, Taken)
		So(status(VerbRelease, 1, 7), ShouldEqual, Recorded)
		So(status(VerbClaim, 2, 7), ShouldEqual, Granted)
		So(status(VerbFinish, 2, 7), ShouldEqual, Recorded)
		So(status(VerbRelease, 2, 7), ShouldEqual, Recorded)
	})
	Convey("expired entries are removed", t, func() {
		l := NewLedger("w", 0)
		l.Load(0, Head{}, nil)
		for round := range 20 {
			for n := range 500 {
				key := HashKey(string(rune(round)) + "-" + string(rune(n)))
				l.Submit(Ticket(n), Operation{VerbClaim, Entry{Key: key, Run: RunID{byte(n)}, Deadline: int64(round + 1)}})
			}
			w, err := l.NextWrite(int64(round))
			So(err, ShouldBeNil)
			l.WriteSucceeded(w.IfVersion + 1)
			l.Completions()
		}
		So(l.Size(), ShouldBeLessThanOrEqualTo, 2*minSweepSize)
	})
	Convey("only a UUID of version 7 has a creation time", t, func() {
		id, err := uuid.NewV7()
		So(err, ShouldBeNil)
		created, ok := KeyCreatedAt(id.String())
		So(ok, ShouldBeTrue)
		So(time.Since(created), ShouldBeBetween, -time.Minute, time.Minute)
		_, ok = KeyCreatedAt("order-17")
		So(ok, ShouldBeFalse)
	})
}

// FuzzHead decodes and loads arbitrary values, as the object API might return them.
func FuzzHead(f *testing.F) {
	good, err := msgpack.Marshal(Head{Writer: "w", Entries: []Entry{{Key: Key{1}}}, Segments: []Segment{{"s", 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(_ *testing.T, value []byte) {
		var head Head
		if rlbmsgpack.Unmarshal(value, &head) == nil {
			NewLedger("w", 0).Load(1, head, nil) // must not panic
		}
	})
}

package rlbrelay

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random cases, so that each run checks the same ones.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	ownID     = "request-1"
	foreignID = "request-10" // has ownID as a prefix
)

func token(request string, n int) string {
	return fmt.Sprintf("id: %s/%d\ndata: {\"id\":\"%s\",\"t\":%d}\n\n", request, n, request, n)
}

func end(request string, n int) string { return fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", request, n) }

// relay reads one connection after the other, each until its end or a final verdict,
// and returns the bytes sent to the caller.
func relay(tracker *Tracker, connections ...string) string {
	var caller strings.Builder
	for _, c := range connections {
		reader := NewEventReader(iotest.OneByteReader(strings.NewReader(c)))
		for !tracker.Ended() {
			event, err := reader.Next()
			if err != nil {
				break
			}
			verdict := tracker.Check(event)
			if verdict == Forward || verdict == End {
				caller.Write(event.Raw)
			} else if verdict != Skip {
				break
			}
		}
	}
	return caller.String()
}

// TestConnectionFaults draws connections with duplicated, missing, misdelivered and
// cut chunks. In each case the caller must get a prefix of its own answer, each token
// once, and the end marker only after the last token.
func TestConnectionFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(1, 6).Draw(t, "tokens")
		var whole strings.Builder
		for n := range tokens {
			whole.WriteString(token(ownID, n+1))
		}
		whole.WriteString(end(ownID, tokens+1))
		var connections []string
		for range rapid.IntRange(1, 6).Draw(t, "connections") {
			connections = append(connections, drawConnection(t, tokens))
		}
		tracker := NewTracker(ownID)
		got := relay(tracker, connections...)
		if !strings.HasPrefix(whole.String(), got) {
			t.Fatalf("caller got %q, want a prefix of %q", got, whole.String())
		}
		if tracker.Ended() != (got == whole.String()) {
			t.Fatalf("Ended is %t after %q", tracker.Ended(), got)
		}
	})
}

func drawConnection(t *rapid.T, tokens int) string {
	var b strings.Builder
	from := rapid.IntRange(1, tokens+1).Draw(t, "from")
	for n := from; n <= tokens; n++ {
		switch rapid.SampledFrom([]string{"good", "good", "good", "doubled", "missing", "crossed", "inner", "comment"}).Draw(t, "chunk") {
		case "doubled":
			b.WriteString(token(ownID, n) + token(ownID, n))
		case "missing":
		case "crossed":
			b.WriteString(token(foreignID, n))
		case "inner": // document of another request with this request's event id
			b.WriteString(strings.Replace(token(ownID, n), `{"id":"`+ownID, `{"id":"`+foreignID, 1))
		case "comment":
			b.WriteString(": keep-alive\n\n" + token(ownID, n))
		default:
			b.WriteString(token(ownID, n))
		}
	}
	b.WriteString(end(ownID, tokens+1))
	cut := rapid.IntRange(0, b.Len()).Draw(t, "cut")
	if rapid.Bool().Draw(t, "whole") {
		cut = b.Len()
	}
	return b.String()[:cut]
}

var verdicts = []struct {
	name, event string
	want        Verdict
}{
	{"next", token(ownID, 3), Forward},
	{"already sent", token(ownID, 2), Skip},
	{"comment", ": x\n\n", Skip},
	{"gap", token(ownID, 4), Gap},
	{"end after the last token", end(ownID, 3), End},
	{"end too early", end(ownID, 4), Gap},
	{"event of another request", token(foreignID, 3), Foreign},
	{"end of another request", end(foreignID, 3), Foreign},
	{"no id", "data: {}\n\n", Malformed},
	{"no number", "id: " + ownID + "/x\ndata: {}\n\n", Malformed},
	{"huge number", "id: " + ownID + "/9999999999999999999\ndata: {}\n\n", Malformed},
	{"carriage returns", strings.ReplaceAll(token(ownID, 3), "\n", "\r\n"), Forward},
}

func TestTrackerVerdicts(t *testing.T) {
	for _, c := range verdicts {
		Convey(c.name, t, func() {
			tracker := NewTracker(ownID)
			relay(tracker, token(ownID, 1)+token(ownID, 2))
			event, err := NewEventReader(strings.NewReader(c.event)).Next()
			So(err, ShouldBeNil)
			So(tracker.Check(event), ShouldEqual, c.want)
		})
	}
	Convey("a stream resumes after the last token", t, func() {
		tracker := NewTracker(ownID)
		relay(tracker, token(ownID, 1)+token(ownID, 2)+"id: cut")
		So(tracker.LastEventID(), ShouldEqual, ownID+"/2")
	})
}

func TestReader(t *testing.T) {
	Convey("the end of a stream within an event differs from one between events", t, func() {
		r := NewEventReader(strings.NewReader("data: a\n\ndata: b\n"))
		_, err := r.Next()
		So(err, ShouldBeNil)
		_, err = r.Next()
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		r.Reset(strings.NewReader(""), nil)
		_, err = r.Next()
		So(errors.Is(err, io.EOF), ShouldBeTrue)
	})
	Convey("an event larger than the limit is rejected", t, func() {
		_, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEvent))).Next()
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
	})
	Convey("a document must be complete and carry the ID of the request", t, func() {
		So(CheckDocument([]byte(`{"id":"request-1"}`), ownID), ShouldEqual, End)
		So(CheckDocument([]byte(`{"id":"request-10"}`), ownID), ShouldEqual, Foreign)
		So(CheckDocument([]byte(`{"id":"request-1"`), ownID), ShouldEqual, Malformed)
	})
}

func FuzzEventReader(f *testing.F) {
	for _, c := range verdicts {
		f.Add([]byte(c.event))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole := NewEventReader(bytes.NewReader(stream))
		parts := NewEventReader(iotest.OneByteReader(bytes.NewReader(stream)))
		tracker := NewTracker(ownID)
		for {
			a, errA := whole.Next()
			b, errB := parts.Next()
			if !bytes.Equal(a.Raw, b.Raw) || (errA == nil) != (errB == nil) {
				t.Fatalf("%q, %v if read at once; %q, %v if read byte by byte", a.Raw, errA, b.Raw, errB)
			}
			if errA != nil {
				return
			}
			tracker.Check(a)
		}
	})
}

// endlessStream repeats the bytes of a stream endlessly.
type endlessStream struct {
	stream []byte
	at     int
}

func (r *endlessStream) Read(p []byte) (int, error) {
	n := copy(p, r.stream[r.at:])
	r.at = (r.at + n) % len(r.stream)
	return n, nil
}

func BenchmarkEvent(b *testing.B) {
	reader := NewEventReader(&endlessStream{stream: []byte(strings.Repeat(token(ownID, 1), 1000))})
	tracker := NewTracker(ownID)
	b.ReportAllocs()
	for b.Loop() {
		event, err := reader.Next()
		if err != nil {
			b.Fatal(err)
		}
		tracker.Check(event)
	}
}

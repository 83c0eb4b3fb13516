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

// TestMain fixes the seed of the drawn cases, so that each run has the same.
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
	mine   = "request-1"
	others = "request-10" // begins like mine
)

func token(request string, n int) string {
	return fmt.Sprintf("id: %s/%d\ndata: {\"id\":\"%s\",\"t\":%d}\n\n", request, n, request, n)
}

func end(request string, n int) string { return fmt.Sprintf("id: %s/%d\ndata: [DONE]\n\n", request, n) }

// relay reads connections in turn, each until its end or until a verdict ends
// it, and returns what the caller got.
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

// TestInterleavings draws connections with doubled, missing, crossed and cut
// chunks: whatever they bring, the caller gets a beginning of its own answer,
// each token once, and the end marker only after the last token.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(1, 6).Draw(t, "tokens")
		var whole strings.Builder
		for n := range tokens {
			whole.WriteString(token(mine, n+1))
		}
		whole.WriteString(end(mine, tokens+1))
		var connections []string
		for range rapid.IntRange(1, 6).Draw(t, "connections") {
			connections = append(connections, drawConnection(t, tokens))
		}
		tracker := NewTracker(mine)
		got := relay(tracker, connections...)
		if !strings.HasPrefix(whole.String(), got) {
			t.Fatalf("caller got %q of %q", got, whole.String())
		}
		if tracker.Ended() != (got == whole.String()) {
			t.Fatalf("ended %t with %q", tracker.Ended(), got)
		}
	})
}

func drawConnection(t *rapid.T, tokens int) string {
	var b strings.Builder
	from := rapid.IntRange(1, tokens+1).Draw(t, "from")
	for n := from; n <= tokens; n++ {
		switch rapid.SampledFrom([]string{"good", "good", "good", "doubled", "missing", "crossed", "inner", "comment"}).Draw(t, "chunk") {
		case "doubled":
			b.WriteString(token(mine, n) + token(mine, n))
		case "missing":
		case "crossed":
			b.WriteString(token(others, n))
		case "inner": // another's document under this request's event id
			b.WriteString(strings.Replace(token(mine, n), `{"id":"`+mine, `{"id":"`+others, 1))
		case "comment":
			b.WriteString(": keep-alive\n\n" + token(mine, n))
		default:
			b.WriteString(token(mine, n))
		}
	}
	b.WriteString(end(mine, tokens+1))
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
	{"next", token(mine, 3), Forward},
	{"had before", token(mine, 2), Skip},
	{"comment", ": x\n\n", Skip},
	{"gap", token(mine, 4), Gap},
	{"end in place", end(mine, 3), End},
	{"end too early", end(mine, 4), Gap},
	{"another's", token(others, 3), Foreign},
	{"another's end", end(others, 3), Foreign},
	{"no id", "data: {}\n\n", Malformed},
	{"no number", "id: " + mine + "/x\ndata: {}\n\n", Malformed},
	{"huge number", "id: " + mine + "/9999999999999999999\ndata: {}\n\n", Malformed},
	{"carriage returns", strings.ReplaceAll(token(mine, 3), "\n", "\r\n"), Forward},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdicts {
		Convey(c.name, t, func() {
			tracker := NewTracker(mine)
			relay(tracker, token(mine, 1)+token(mine, 2))
			event, err := NewEventReader(strings.NewReader(c.event)).Next()
			So(err, ShouldBeNil)
			So(tracker.Check(event), ShouldEqual, c.want)
		})
	}
	Convey("a resumed stream is asked for after the last token", t, func() {
		tracker := NewTracker(mine)
		relay(tracker, token(mine, 1)+token(mine, 2)+"id: cut")
		So(tracker.LastEventID(), ShouldEqual, mine+"/2")
	})
}

func TestReader(t *testing.T) {
	Convey("a stream that ends within an event is told from one that ends between", t, func() {
		r := NewEventReader(strings.NewReader("data: a\n\ndata: b\n"))
		_, err := r.Next()
		So(err, ShouldBeNil)
		_, err = r.Next()
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		r.Reset(strings.NewReader(""))
		_, err = r.Next()
		So(errors.Is(err, io.EOF), ShouldBeTrue)
	})
	Convey("an event beyond the limit is refused", t, func() {
		_, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEvent))).Next()
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
	})
	Convey("documents", t, func() {
		So(CheckDocument([]byte(`{"id":"request-1"}`), mine), ShouldEqual, End)
		So(CheckDocument([]byte(`{"id":"request-10"}`), mine), ShouldEqual, Foreign)
		So(CheckDocument([]byte(`{"id":"request-1"`), mine), ShouldEqual, Malformed)
	})
}

func FuzzEventReader(f *testing.F) {
	for _, c := range verdicts {
		f.Add([]byte(c.event))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole := NewEventReader(bytes.NewReader(stream))
		parts := NewEventReader(iotest.OneByteReader(bytes.NewReader(stream)))
		tracker := NewTracker(mine)
		for {
			a, errA := whole.Next()
			b, errB := parts.Next()
			if !bytes.Equal(a.Raw, b.Raw) || (errA == nil) != (errB == nil) {
				t.Fatalf("%q %v in one piece, %q %v byte by byte", a.Raw, errA, b.Raw, errB)
			}
			if errA != nil {
				return
			}
			tracker.Check(a)
		}
	})
}

// repeat yields one stream's bytes for ever.
type repeat struct {
	stream []byte
	at     int
}

func (r *repeat) Read(p []byte) (int, error) {
	n := copy(p, r.stream[r.at:])
	r.at = (r.at + n) % len(r.stream)
	return n, nil
}

func BenchmarkEvent(b *testing.B) {
	reader := NewEventReader(&repeat{stream: []byte(strings.Repeat(token(mine, 1), 1000))})
	tracker := NewTracker(mine)
	b.ReportAllocs()
	for b.Loop() {
		event, err := reader.Next()
		if err != nil {
			b.Fatal(err)
		}
		tracker.Check(event)
	}
}

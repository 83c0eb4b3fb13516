package rlbwire

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	. "github.com/smartystreets/goconvey/convey"
)

const idleTimeout = 3 * time.Second

// withPair runs f with both ends of a connection and a fake clock.
func withPair(t *testing.T, f func(a, b *Conn, far net.Conn)) {
	synctest.Test(t, func(*testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		f(NewConn(near, idleTimeout), NewConn(far, idleTimeout), far)
	})
}

func assertKind(err error, kind Kind) {
	So(err, ShouldNotBeNil)
	So(rlberror.Is(err, kind), ShouldBeTrue)
}

func TestConn(t *testing.T) {
	withPair(t, func(a, b *Conn, _ net.Conn) {
		Convey("a message is received as it was sent", t, func() {
			go func() { _ = a.Send(7, 42, []string{"x", "y"}) }()
			frame, err := b.Receive()
			So(err, ShouldBeNil)
			So(frame.Type, ShouldEqual, Type(7))
			So(frame.Call, ShouldEqual, 42)
			var body []string
			So(frame.Decode(&body), ShouldBeNil)
			So(body, ShouldResemble, []string{"x", "y"})
		})
		Convey("receiving from a silent peer fails after exactly the idle timeout", t, func() {
			start := time.Now()
			_, err := b.Receive()
			assertKind(err, KindTimeout)
			So(time.Since(start), ShouldEqual, idleTimeout)
		})
		Convey("sending to a peer that accepts no data fails after the idle timeout", t, func() {
			start := time.Now()
			assertKind(a.Send(1, 0, "x"), KindTimeout)
			So(time.Since(start), ShouldEqual, idleTimeout)
		})
	})
}

var badFrames = []struct {
	name, bytes string
	kind        Kind
}{
	{"truncated length", "\x00\x00", KindClosed},
	{"truncated frame", "\x00\x00\x00\x05ab", KindClosed},
	{"longer than MaxFrameBytes", "\xff\xff\xff\xff", KindTooLarge},
	{"not msgpack", "\x00\x00\x00\x02\xc1\xc1", KindMalformed},
	{"not a frame", "\x00\x00\x00\x01\x01", KindMalformed},
}

func TestBadFrames(t *testing.T) {
	for _, c := range badFrames {
		Convey(c.name, t, func() {
			_, err := ReadFrame(strings.NewReader(c.bytes))
			assertKind(err, c.kind)
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, c := range badFrames {
		f.Add([]byte(c.bytes))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err == nil {
			var body any
			_ = frame.Decode(&body) // must not panic
		}
	})
}

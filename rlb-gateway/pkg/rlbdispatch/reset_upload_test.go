package rlbdispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerAndReset accepts connections until its listener is closed. On each it answers the begin
// of an upload by a part of a body without a length, reads a little more and resets it.
func answerAndReset(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.ReadFull(conn, make([]byte, 1<<10))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
			_, _ = io.ReadFull(conn, make([]byte, 1<<20))
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}()
	}
}

func TestAnswerThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	const uploads, bodyBytes = 30, 16 << 20
	Convey("Given an endpoint that resets the connection of each upload after a part of its answer", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go answerAndReset(listener)
		d, closeDispatcher := New(Opts{Dial: DialTCP(time.Minute), FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Hour})
		defer closeDispatcher()
		Convey("no part is a complete answer", func() {
			body, complete := make([]byte, bodyBytes), 0
			for range uploads {
				in, err := d.Send(t.Context(), listener.Addr().String(), &Outgoing{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: body, Deadline: time.Now().Add(time.Minute), NewConnection: true}, func() {})
				if err != nil {
					continue
				}
				if _, err := in.ReadAll(1 << 20); err == nil {
					complete++
				}
				in.Abort()
			}
			So(complete, ShouldEqual, 0)
		})
	})
}

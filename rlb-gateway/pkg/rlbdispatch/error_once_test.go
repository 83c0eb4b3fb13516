package rlbdispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	. "github.com/smartystreets/goconvey/convey"
)

// peerWindow is how many bytes the peer takes that reads none of them.
const peerWindow = 16 << 10

// errorOnceConn is a connection that breaks after what it brings, as a TCP socket of Linux does:
// the first call after that returns the error, each later read the end of the stream.
type errorOnceConn struct {
	net.Conn
	failure syscall.Errno
	brings  []string // one read each

	mu      sync.Mutex
	broken  bool          // brings was read, and the peer broke the connection
	taken   chan struct{} // closed once a call has returned the error
	writes  chan struct{} // closed once the connection is broken, which ends writes beyond their first bytes
	uploads bool          // a write takes the error
	written int           // bytes
}

func (c *errorOnceConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.brings) > 0 {
		n := copy(p, c.brings[0])
		c.brings = c.brings[1:]
		c.mu.Unlock()
		return n, nil
	}
	if !c.broken {
		c.broken = true
		close(c.writes)
	}
	uploads := c.uploads
	c.mu.Unlock()
	if uploads {
		<-c.taken
	}
	return 0, c.report("read", io.EOF)
}

// Write blocks once the request is larger than what a peer's window takes.
func (c *errorOnceConn) Write(p []byte) (int, error) {
	if c.written += len(p); !c.uploads || c.written <= peerWindow {
		return len(p), nil
	}
	<-c.writes
	return 0, c.report("write", syscall.EPIPE)
}

// report returns the error that broke the connection once, and then what follows it.
func (c *errorOnceConn) report(op string, later error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.taken:
		return later
	default:
	}
	close(c.taken)
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, c.failure)}
}

func (c *errorOnceConn) Close() error                     { return nil }
func (c *errorOnceConn) SetReadDeadline(time.Time) error  { return nil }
func (c *errorOnceConn) SetWriteDeadline(time.Time) error { return nil }

// receive sends a request with a body over a connection that breaks, and reads the answer.
func receive(t *testing.T, c *errorOnceConn, bodyBytes int) (rlbroute.Fault, error) {
	t.Helper()
	c.writes, c.taken = make(chan struct{}), make(chan struct{})
	d, closeDispatcher := New(Opts{
		Dial:             func(context.Context, string) (net.Conn, error) { return c, nil },
		FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Hour,
	})
	defer closeDispatcher()
	in, err := d.Send(t.Context(), "e", &Outgoing{
		Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes),
		Deadline: time.Now().Add(time.Minute), KeepWaiting: func() bool { return true },
	}, func() {})
	if err != nil {
		fault, _ := rlberror.KindOf[rlbroute.Fault](err)
		return fault, err
	}
	defer in.Abort()
	_, err = in.ReadAll(1 << 20)
	fault, _ := rlberror.KindOf[rlbroute.Fault](err)
	return fault, err
}

func TestAnswerOfABrokenConnectionIsIncompleteAlthoughItsErrorIsReportedOnce(t *testing.T) {
	framings := map[string][]string{
		"without a length": {"HTTP/1.1 200 OK\r\n\r\n", "part"},
		"with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "part"},
		"in chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\npart\r\n"},
		"of a head alone":  {"HTTP/1.1 200 OK\r\n"},
	}
	for framing, brings := range framings {
		Convey("An answer "+framing+" is incomplete", t, func() {
			Convey("after keep-alive probes were not answered", func() {
				fault, err := receive(t, &errorOnceConn{failure: syscall.ETIMEDOUT, brings: brings}, 1)
				So(err, ShouldNotBeNil)
				So(fault, ShouldEqual, rlbroute.FaultSilent)
			})
			Convey("after a reset", func() {
				fault, err := receive(t, &errorOnceConn{failure: syscall.ECONNRESET, brings: brings}, 1)
				So(err, ShouldNotBeNil)
				So(fault, ShouldEqual, rlbroute.FaultCut)
			})
		})
	}
}

func TestUploadThatLearnsOfAResetDoesNotMakeTheAnswerComplete(t *testing.T) {
	const upload = 64 << 10
	head, part := "HTTP/1.1 200 OK\r\n\r\n", "part"
	Convey("An answer that ends with its connection while the request is sent", t, func() {
		Convey("is incomplete after a reset", func() {
			fault, err := receive(t, &errorOnceConn{failure: syscall.ECONNRESET, brings: []string{head, part}, uploads: true}, upload)
			So(err, ShouldNotBeNil)
			So(fault, ShouldEqual, rlbroute.FaultCut)
		})
		Convey("is complete if the endpoint had ended it before", func() {
			_, err := receive(t, &errorOnceConn{failure: syscall.EPIPE, brings: []string{head, part}, uploads: true}, upload)
			So(err, ShouldBeNil)
		})
	})
	Convey("The bytes of an answer that was cut off in its head are no answer", t, func() {
		_, err := receive(t, &errorOnceConn{failure: syscall.ECONNRESET, brings: []string{strings.TrimSuffix(head, "\r\n")}, uploads: true}, upload)
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}

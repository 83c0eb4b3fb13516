// Package rlbdispatch sends requests to endpoints and reads their answers. It
// manages the connections itself instead of using net/http's client, so that it can
// determine for each request whether any byte of it can have reached the endpoint.
package rlbdispatch

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const bufferBytes = 16 << 10

// maxBeforeAnswer is the number of bytes that a connection may bring until the head of the
// answer is complete: interim answers, answers to other requests and that head.
const maxBeforeAnswer = 256 << 10

// errNoAnswer is returned by reads beyond maxBeforeAnswer.
var errNoAnswer = errors.New("too many bytes that are no answer to the request")

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	readTimeout time.Duration // of a single read, or of the time without progress
	countsBytes bool          // each read is progress; otherwise progress is recorded by the user of the answer
	progress    time.Time     // of the latest progress, if countsBytes is false
	keepWaiting func() bool   // called after a read timeout; reports whether to repeat the read; nil: never
	deadline    time.Time     // of the whole exchange
	mayHaveSent bool          // a byte of the current request may have been sent
	idleSince   time.Time     // when it was put into the pool
	reused      bool          // the current request is not its first one
	awaitsHead  bool          // the head of the answer is not complete
	beforeHead  int           // bytes read since the request was sent, while awaitsHead
	memory      *Reservation  // of the current answer
	readError   error         // of the latest read
	notReusable bool          // the next bytes on it may belong to another request
	failedIDs   []string      // IDs of requests that were answered on it with an error status

	mu           sync.Mutex
	broken       error         // what ended the connection other than its peer's end of the stream
	writeStopped bool          // nothing more is written
	writeDone    chan struct{} // closed once a body that is written in the background is; nil: there is none
}

// maxFailedIDs is how many requests are answered with an error status on a connection
// until it is closed.
const maxFailedIDs = 16

// recordFailure remembers a request that was answered with an error status. If the same
// request is sent again, it must not use this connection: a copy of that answer would be
// taken for the new one.
func (c *conn) recordFailure(response *http.Response, id string) {
	if response.StatusCode < http.StatusBadRequest {
		return
	}
	c.failedIDs = append(c.failedIDs, id)
	c.notReusable = c.notReusable || len(c.failedIDs) >= maxFailedIDs
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	wrapped.reader = bufio.NewReaderSize(wrapped, bufferBytes)
	return wrapped
}

// Read implements io.Reader. A read that times out is repeated as long as
// keepWaiting returns true and the deadline has not passed. A connection that broke stays
// broken: the kernel reports that to one call only, and the end of the stream to later reads.
func (c *conn) Read(p []byte) (n int, err error) {
	defer func() { c.readError = err }()
	for {
		n, err := c.readOnce(p)
		if err == nil || n > 0 {
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, c.endedBy(err)
		}
		if c.keepWaiting == nil || !time.Now().Before(c.deadline) || !c.keepWaiting() {
			return n, err
		}
		c.progress = time.Now() // to wait as long once more
	}
}

// endedBy returns what ended the connection, given the error of a read.
func (c *conn) endedBy(err error) error {
	if errors.Is(err, io.EOF) {
		c.stopWriting()
	} else {
		c.recordBroken(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.broken, err)
}

// recordBroken remembers the first error that broke the connection. That nothing more can be
// written is no such error: the peer may have ended the stream before.
func (c *conn) recordBroken(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = cmp.Or(c.broken, err)
}

// stopWriting ends a write in the background and waits for its error, which may say that the
// connection broke.
func (c *conn) stopWriting() {
	c.mu.Lock()
	c.writeStopped = true
	_ = c.SetWriteDeadline(time.Now()) // fails on a connection that is closed, where no write blocks
	done := c.writeDone
	c.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (c *conn) readOnce(p []byte) (int, error) {
	deadline := c.progress.Add(c.readTimeout)
	if c.countsBytes {
		deadline = time.Now().Add(c.readTimeout)
	}
	if c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if !c.awaitsHead {
		return c.Conn.Read(p)
	}
	if c.beforeHead >= maxBeforeAnswer {
		return 0, errNoAnswer
	}
	n, err := c.Conn.Read(p)
	c.beforeHead += n
	if beyond := min(n, c.beforeHead-freeHeadBytes); beyond > 0 {
		if err := c.memory.Add(beyond * headWeight); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	if !c.mayHaveSent {
		c.mayHaveSent = true
	}
	if err := c.extendWriteDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordBroken(err)
	}
	return n, err
}

// extendWriteDeadline allows a write until the deadline of the exchange.
func (c *conn) extendWriteDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeStopped {
		return os.ErrDeadlineExceeded
	}
	return c.SetWriteDeadline(c.deadline)
}

// tunnel is a connection that carries that to the endpoint.
type tunnel interface {
	// Alive reports whether the tunnel is idle, given whether a connection is.
	Alive(open func(net.Conn) bool) bool
}

// alive reports whether an idle connection is still open and has no bytes to
// read. Bytes on an idle connection are a late answer to an earlier request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if t, ok := c.Conn.(tunnel); ok {
		return t.Alive(isIdle)
	}
	return isIdle(c.Conn)
}

// isIdle reports whether a connection is open and has no bytes to read.
func isIdle(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return true // an in-memory connection can't be checked
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

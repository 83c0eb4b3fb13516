// Package rlbdispatch sends requests to endpoints and reads their answers over
// connections of its own, so that it knows for each request whether a byte of
// it can have reached the endpoint.
package rlbdispatch

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

const bufferBytes = 16 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	readTimeout time.Duration // longest wait of one read
	keepWaiting func() bool   // whether to go on waiting after that; nil: no
	deadline    time.Time     // deadline of the whole exchange
	mayHaveSent bool          // a byte of the present request may have left
	idleSince   time.Time     // since when it waits in the pool
	reused      bool
	notReusable bool // what comes next on it may belong to another request
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	wrapped.reader = bufio.NewReaderSize(wrapped, bufferBytes)
	return wrapped
}

// Read implements io.Reader. Each read may take silence, and as much again as
// often as wait says so.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.readOnce(p)
		var timeout net.Error
		if err == nil || n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return n, err
		}
		if c.keepWaiting == nil || !time.Now().Before(c.deadline) || !c.keepWaiting() {
			return n, err
		}
	}
}

func (c *conn) readOnce(p []byte) (int, error) {
	deadline := time.Now().Add(c.readTimeout)
	if c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	if !c.mayHaveSent {
		c.mayHaveSent = true
	}
	if err := c.SetWriteDeadline(c.deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// alive reports whether an idle connection is still open and has no bytes to
// read. An idle connection with bytes holds a late answer to an earlier request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // in memory: nothing tells
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

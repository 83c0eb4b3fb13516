package rlbintake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// stream is what the next bytes of a connection belong to.
type stream int

const (
	streamHead   stream = iota
	streamBody          // of a stated length
	streamChunks        // a body in chunks, whose end is found by the HTTP server
	streamFrames        // messages of another protocol
)

// Sizes in bytes.
const (
	writeChunk   = 64 << 10 // written with one deadline
	serverBuffer = 4 << 10  // into which an HTTP server reads
)

// conn is a connection of a listener. Reads are not concurrent with each other, nor are
// the calls that change the stream.
type conn struct {
	net.Conn
	intake  *Intake
	holder  holder
	stream  stream
	scanner headScanner
	left    int64  // of a body of a stated length
	ahead   []byte // read with the head before it, and not passed on yet
	tail    []byte // of a body in chunks: what may belong to the next head
	refused bool   // nothing more is read

	writes  sync.Mutex
	wanted  time.Time // write deadline that the server has set and that ends a stall by itself
	applied time.Time // write deadline in force
}

// errRefused is the error of a read of a request that was refused. The HTTP server gives no
// answer of its own to an error of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}

// Read implements net.Conn. It returns the bytes of a head up to its end at most, so that what
// follows is counted for what it is.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	if c.stream == streamBody && int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := 0, error(nil)
	ahead := c.ahead
	if len(ahead) > 0 {
		n = copy(p, ahead)
		c.ahead = ahead[n:]
	} else if n, err = c.Conn.Read(p); n <= 0 {
		return n, err
	}
	switch c.stream {
	case streamHead:
		length := c.readHead(p[:n], len(p) == 1)
		switch {
		case c.refused:
			return 0, errRefused
		case len(ahead) > 0:
			c.ahead = ahead[length:]
		case length < n:
			c.ahead = bytes.Clone(p[length:n])
		}
		n = length
	case streamBody:
		if c.left -= int64(n); c.left == 0 {
			c.stream = streamHead
		}
	case streamChunks:
		c.keepTail(p[:n], len(p))
	}
	return n, err
}

// readHead counts data of which some or all belongs to a head, and returns how much does. It
// refuses a request that is beyond the limits. The server reads single bytes while it answers
// another request: none is refused then.
func (c *conn) readHead(data []byte, single bool) int {
	length, lines, complete := c.scanner.scan(data)
	held := c.intake.budget.read(c.intake.now(), &c.holder, int64(length)*headByteCost+int64(lines)*headLineCost)
	switch {
	case single:
	case !held:
		c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
	case !complete && c.scanner.lines > c.intake.limits.HeadLines:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	return length
}

// refuse answers a request that is not read to its end.
func (c *conn) refuse(status int, header string) {
	c.refused = true
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), header) // the client may be gone
}

// keepTail keeps what a client may have sent after a body in chunks: the HTTP server reads
// it with the end of the body, which is an empty line. A read of more than the server's
// buffer holds is of the body alone.
func (c *conn) keepTail(data []byte, asked int) {
	if asked > 1 {
		c.tail = c.tail[:0]
	}
	if asked > serverBuffer {
		return
	}
	c.tail = append(c.tail, data...)
	if end := bytes.LastIndex(c.tail, []byte("\r\n\r\n")); end >= 0 {
		c.tail = append(c.tail[:0], c.tail[end+4:]...)
	}
}

// begin records that the head of a request was read. It reports whether the connection is
// still held.
func (c *conn) begin(r *http.Request) bool {
	switch {
	case r.ContentLength > 0:
		c.stream, c.left = streamBody, r.ContentLength
	case r.ContentLength < 0:
		c.stream, c.tail = streamChunks, nil
	default:
		return c.intake.budget.move(c.intake.now(), &c.holder, phaseServing)
	}
	r.Body = &body{r.Body, c}
	return true
}

// finish records that a request was answered.
func (c *conn) finish() {
	c.intake.budget.finish(c.intake.now(), &c.holder)
	if c.stream == streamHead {
		return
	}
	c.stream = streamHead
	c.scanner = headScanner{}
	if len(c.tail) > 0 {
		c.scanner.restart(c.tail)
		c.intake.budget.read(c.intake.now(), &c.holder, int64(c.scanner.bytes)*headByteCost+int64(c.scanner.lines)*headLineCost)
	}
	c.tail = nil
}

// Write implements net.Conn. It fails if the client takes nothing for too long.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeChunk)]
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// extendWriteDeadline applies the deadline of a write, unless the one in force is nearly the
// same.
func (c *conn) extendWriteDeadline() error {
	c.writes.Lock()
	defer c.writes.Unlock()
	if !c.wanted.IsZero() {
		return nil
	}
	stall := c.intake.limits.WriteStall
	deadline := c.intake.now().Add(stall)
	if !c.applied.IsZero() && deadline.Sub(c.applied) < stall/4 {
		return nil
	}
	c.applied = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writes.Lock()
	defer c.writes.Unlock()
	c.wanted, c.applied = time.Time{}, time.Time{}
	if t.IsZero() || t.After(c.intake.now().Add(c.intake.limits.WriteStall)) {
		return c.Conn.SetWriteDeadline(time.Time{}) // the next write sets one
	}
	c.wanted = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.intake.budget.remove(&c.holder)
	return c.Conn.Close()
}

// CloseWrite sends the end of what is written. The HTTP server calls it after a refusal.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that was not sent, as that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// body is the body of a request, which counts for its connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	intake := b.conn.intake
	if !intake.budget.add(intake.now(), &b.conn.holder, int64(n)*bodyByteCost) {
		return 0, ErrNoRoom
	}
	if err == io.EOF && !intake.budget.move(intake.now(), &b.conn.holder, phaseServing) { //nolint:errorlint // readers return it unwrapped
		return 0, ErrNoRoom
	}
	return n, err
}

// Package rlbwire sends msgpack messages over TCP between the processes of
// rhubarblb. Each message is a length of four bytes, big endian, followed by a
// Frame.
package rlbwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the maximum length of a frame.
const MaxFrameBytes = 8 << 20

const (
	lengthBytes = 4
	bufferBytes = 32 << 10
)

// Type is the type of a frame's body.
type Type uint8

// Frame is one message. Call is the number that a call and its response share, or
// 0 for other messages.
type Frame struct {
	Type Type               `msgpack:"t"`
	Call uint64             `msgpack:"c,omitempty"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Decode decodes the body of the frame into v.
func (f Frame) Decode(v any) error {
	if err := rlbmsgpack.Unmarshal(f.Body, v); err != nil {
		return rlberror.New("decode body", KindMalformed, err)
	}
	return nil
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindClosed    Kind = iota // the connection was closed or broke
	KindTimeout               // no whole frame was received or sent within the idle timeout
	KindMalformed             // the data cannot be encoded or decoded
	KindTooLarge              // the frame is longer than MaxFrameBytes
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"connection closed", "connection timed out", "malformed frame", "frame too large"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Account is implemented by connections that limit what their peers make the process hold.
type Account interface {
	// Reserve counts bytes of a message that is being received.
	Reserve(bytes int) error
	// Received records that a whole message was received.
	Received() error
	// Release frees what the messages hold.
	Release()
}

// Conn sends and receives frames. Send is safe for concurrent use; Receive must
// only be called from one goroutine.
type Conn struct {
	conn        net.Conn
	account     Account // nil: the connection limits nothing
	idleTimeout time.Duration
	reader      *bufio.Reader
	mu          sync.Mutex
	writer      *bufio.Writer
	bytesSent   uint64
}

// NewConn returns a Conn over conn. Receive fails if the peer sends no whole frame
// within idleTimeout, and Send fails if the peer does not accept the whole frame
// within idleTimeout.
func NewConn(conn net.Conn, idleTimeout time.Duration) *Conn {
	account, _ := conn.(Account)
	return &Conn{
		conn:        conn,
		account:     account,
		idleTimeout: idleTimeout,
		reader:      bufio.NewReaderSize(conn, bufferBytes),
		writer:      bufio.NewWriterSize(conn, bufferBytes),
	}
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// Sent returns the number of bytes sent, including those of failed writes.
func (c *Conn) Sent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesSent
}

// Send writes one message.
func (c *Conn) Send(t Type, call uint64, body any) error {
	frame, err := Encode(t, call, body)
	if err != nil {
		return err
	}
	return c.Write(frame)
}

// Encode encodes one message for Write, so that it can be sent on many
// connections.
func Encode(t Type, call uint64, body any) ([]byte, error) {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return nil, rlberror.New("encode body", KindMalformed, err)
	}
	frame, err := msgpack.Marshal(&Frame{Type: t, Call: call, Body: encoded})
	if err != nil {
		return nil, rlberror.New("encode frame", KindMalformed, err)
	}
	if len(frame) > MaxFrameBytes {
		return nil, rlberror.Newf("send", KindTooLarge, "%d bytes", len(frame))
	}
	return frame, nil
}

// Write writes one encoded message.
func (c *Conn) Write(frame []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(frame)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesSent += uint64(lengthBytes + len(frame))
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return rlberror.New("send", KindClosed, err)
	}
	_, _ = c.writer.Write(length[:]) // the flush returns the error of a failed write
	_, _ = c.writer.Write(frame)
	if err := c.writer.Flush(); err != nil {
		return rlberror.New("send", kindOf(err), err)
	}
	return nil
}

// Receive reads the next message. What the message before it holds is free then.
func (c *Conn) Receive() (Frame, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return Frame{}, rlberror.New("receive", KindClosed, err)
	}
	if c.account == nil {
		return ReadFrame(c.reader)
	}
	c.account.Release()
	frame, err := ReadFrame(&accountedReader{c.reader, c.account})
	if err != nil {
		return frame, err
	}
	if err := c.account.Received(); err != nil {
		return frame, rlberror.New("receive", KindClosed, err)
	}
	return frame, nil
}

// accountedReader counts what is read from a reader.
type accountedReader struct {
	reader  io.Reader
	account Account
}

// Read implements io.Reader.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		if err := r.account.Reserve(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// ReadFrame reads one frame from r.
func ReadFrame(r io.Reader) (Frame, error) {
	var frame Frame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return frame, rlberror.New("receive", kindOf(err), err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrameBytes {
		return frame, rlberror.Newf("receive", KindTooLarge, "%d bytes", n)
	}
	var buffer bytes.Buffer // grows with the received data, so that a false length does not allocate memory
	if _, err := io.CopyN(&buffer, r, int64(n)); err != nil {
		return frame, rlberror.New("receive", kindOf(err), err)
	}
	if err := rlbmsgpack.Unmarshal(buffer.Bytes(), &frame); err != nil {
		return frame, rlberror.New("receive", KindMalformed, err)
	}
	return frame, nil
}

func kindOf(err error) Kind {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return KindTimeout
	}
	return KindClosed
}

package rlbpeer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
)

// ConnectQuery requests a connection to an endpoint through the receiver. What the sender
// writes after the reply goes to the endpoint; what the endpoint writes comes in pieces.
type ConnectQuery struct {
	Address string `msgpack:"a"`
}

// Kinds of the pieces of a tunnel. How the connection to the endpoint ended is stated: the end of
// that to the other instance says nothing of it.
const (
	pieceData   byte = iota + 1
	pieceEnd         // the endpoint ended its stream
	pieceBroken      // the endpoint broke the connection
	pieceSilent      // the endpoint is no longer reached
)

// Sizes in bytes.
const (
	pieceHeaderBytes = 5 // kind and length
	maxPieceBytes    = 16 << 10
)

// lingerAfterEnd is how long a tunnel stays open for its user once the endpoint has ended it.
const lingerAfterEnd = 5 * time.Second

// lostError is the error of a tunnel on which nothing more comes, for no fault of the endpoint. It
// is a timeout: the endpoint may be at work.
type lostError struct{ cause error }

var _ net.Error = (*lostError)(nil)

// Error implements error.
func (e *lostError) Error() string { return "tunnel to the endpoint lost: " + e.cause.Error() }

// Unwrap returns what was seen of the loss.
func (e *lostError) Unwrap() error { return e.cause }

// Timeout implements net.Error.
func (e *lostError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *lostError) Temporary() bool { return false }

// errNotReached is the cause of a loss behind the other instance.
var errNotReached = errors.New("the other instance no longer reaches it")

// Tunnel opens a connection to the endpoint at address through the instance at peer. It fails
// if that instance does not reach the endpoint.
func Tunnel(ctx context.Context, peer, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tunnelKeepAlive, Interval: tunnelKeepAlive, Count: tunnelKeepAliveCount}}
	raw, err := dialer.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = requestTunnel(raw, address)
	if !stop() || err != nil {
		return nil, errors.Join(err, ctx.Err(), raw.Close())
	}
	return &tunnelConn{Conn: raw}, nil
}

// Keep-alive of tunnels, which detects that the instance in between is gone.
const (
	tunnelKeepAlive      = time.Second
	tunnelKeepAliveCount = 3
)

func requestTunnel(raw net.Conn, address string) error {
	if err := rlbwire.NewConn(raw, queryTimeout).Send(frameQuery, 1, Query{Connect: &ConnectQuery{Address: address}}); err != nil {
		return err
	}
	if err := raw.SetReadDeadline(time.Now().Add(queryTimeout)); err != nil {
		return err
	}
	frame, err := rlbwire.ReadFrame(raw) // unbuffered: what follows is read as pieces
	if err != nil {
		return err
	}
	var reply Reply
	if err := frame.Decode(&reply); err != nil {
		return err
	}
	if !reply.Connected {
		return fmt.Errorf("the instance does not reach the endpoint: %s", reply.Reason)
	}
	return nil
}

// tunnelConn is the connection to an endpoint through another instance.
type tunnelConn struct {
	net.Conn
	header     [pieceHeaderBytes]byte
	headerRead int
	left       int // of the current piece
	ended      error
}

// Read implements net.Conn. A read that times out can be repeated.
func (t *tunnelConn) Read(p []byte) (int, error) {
	for t.left == 0 {
		if t.ended != nil {
			return 0, t.ended
		}
		if err := t.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := t.Conn.Read(p[:min(len(p), t.left)])
	t.left -= n
	if n > 0 || err == nil {
		return n, nil
	}
	return 0, t.lost(err)
}

// readHeader reads the header of the next piece.
func (t *tunnelConn) readHeader() error {
	for t.headerRead < pieceHeaderBytes {
		n, err := t.Conn.Read(t.header[t.headerRead:])
		t.headerRead += n
		if n == 0 && err != nil {
			return t.lost(err)
		}
	}
	t.headerRead = 0
	length := binary.BigEndian.Uint32(t.header[1:])
	switch {
	case t.header[0] == pieceData && length > 0 && length <= maxPieceBytes:
		t.left = int(length)
	case t.header[0] == pieceEnd:
		t.ended = io.EOF
	case t.header[0] == pieceSilent:
		t.ended = &lostError{errNotReached}
	default:
		t.ended = &net.OpError{Op: "read", Net: "tunnel", Err: syscall.ECONNRESET}
	}
	return nil
}

// Write implements net.Conn.
func (t *tunnelConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		err = &lostError{err}
	}
	return n, err
}

// lost returns the error of a read that the connection to the other instance caused.
func (t *tunnelConn) lost(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the end of the tunnel is not that of the endpoint's stream
	}
	if t.ended == nil {
		t.ended = &lostError{err}
	}
	return t.ended
}

// Alive reports whether the connection is open and has nothing to read, as far as is known.
func (t *tunnelConn) Alive(open func(net.Conn) bool) bool {
	return t.ended == nil && t.left == 0 && t.headerRead == 0 && open(t.Conn)
}

// serveTunnel connects another instance to an endpoint until one of the two ends that.
func (l *Link) serveTunnel(ctx context.Context, raw net.Conn, conn *rlbwire.Conn, call uint64, q ConnectQuery) {
	count := l.tunnels.Add(1)
	defer l.tunnels.Add(-1)
	endpoint, err := l.connectFor(ctx, count, q.Address)
	if err != nil {
		_ = conn.Send(frameReply, call, Reply{Reason: err.Error()}) // the other instance asks another one if it gets none
		return
	}
	defer func() { _ = endpoint.Close() }()
	if err := conn.Send(frameReply, call, Reply{Connected: true}); err != nil {
		return
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return
	}
	userGone := make(chan struct{})
	go func() {
		defer close(userGone)
		_, _ = io.Copy(endpoint, raw)
		_ = endpoint.Close() // the user has ended the tunnel, or is gone
	}()
	if sendPieces(raw, endpoint) {
		_ = raw.SetReadDeadline(time.Now().Add(lingerAfterEnd)) // fails once it is closed
		<-userGone
	}
}

// connectFor connects to an endpoint for another instance, given how many tunnels that makes.
func (l *Link) connectFor(ctx context.Context, tunnels int64, address string) (net.Conn, error) {
	if l.connect == nil || tunnels > l.maxTunnels {
		return nil, errors.New("the instance opens no further connections for others")
	}
	return l.connect(ctx, address)
}

// sendPieces sends what comes from an endpoint as pieces, until it ends. It reports whether the
// receiver was told how it ended.
func sendPieces(to io.Writer, endpoint io.Reader) bool {
	buffer := make([]byte, pieceHeaderBytes+maxPieceBytes)
	for {
		n, err := endpoint.Read(buffer[pieceHeaderBytes:])
		if n > 0 {
			if !sendPiece(to, buffer, pieceData, n) {
				return false
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return sendPiece(to, buffer, pieceEnd, 0)
		case isTimeout(err):
			return sendPiece(to, buffer, pieceSilent, 0)
		case err != nil:
			return sendPiece(to, buffer, pieceBroken, 0)
		}
	}
}

// sendPiece sends a piece whose n bytes lie in the buffer after the header.
func sendPiece(to io.Writer, buffer []byte, kind byte, n int) bool {
	buffer[0] = kind
	binary.BigEndian.PutUint32(buffer[1:], uint32(n))
	_, err := to.Write(buffer[:pieceHeaderBytes+n])
	return err == nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

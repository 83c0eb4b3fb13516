package rlblink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	minBackoff             = 50 * time.Millisecond
	maxBackoff             = 2 * time.Second
	preferredCheckInterval = 5 * time.Second // between two tries of a better server
	dialTimeout            = time.Second
	maxPendingCalls        = 65536
	preferredPosition      = 0
)

// Dial opens a connection to a control address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens plain TCP connections.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// ClientOpts are the parts of a client.
type ClientOpts struct {
	Log            *log.Entry
	Dial           Dial
	Node           rlbfleetstate.NodeKey
	Scope          rlbfleetstate.Scope
	Addresses      func() []string            // servers, the preferred one first
	ApplyUpdate    func(rlbfleetstate.Update) // takes an update
	BuildReport    func() rlbfleetstate.Update
	ReportInterval time.Duration // between two reports
	IdleTimeout    time.Duration
	OnLinkChange   func(address string, linked bool) // may be nil
}

// Client keeps a link to the first server that can be reached.
type Client struct {
	opts     ClientOpts
	mu       sync.Mutex
	conn     *rlbwire.Conn
	lastCall uint64
	pending  map[uint64]chan rlbwire.Frame
}

// NewClient returns a client that links until the clean-up function is called.
func NewClient(ctx context.Context, opts ClientOpts) (*Client, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Client{opts: opts, pending: map[uint64]chan rlbwire.Frame{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	return c, func() {
		cancel()
		<-done
	}
}

// run links again and again, with full jitter between failed rounds so that
// clients that lost the same server do not return in step.
func (c *Client) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if c.tryServers(ctx) {
			backoff = minBackoff
			continue
		}
		wait := rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// tryServers tries each server in turn and reports whether one answered. A frozen
// server still takes connections, so that only a message counts as an answer.
func (c *Client) tryServers(ctx context.Context) bool {
	for position, address := range c.opts.Addresses() {
		conn, err := c.opts.Dial(ctx, address)
		if err != nil {
			continue
		}
		if c.runLink(ctx, conn, address, position) {
			return true
		}
	}
	return false
}

// runLink serves one connection until it ends, and reports whether the server
// ever answered.
func (c *Client) runLink(ctx context.Context, netConn net.Conn, address string, position int) (answered bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := rlbwire.NewConn(netConn, c.opts.IdleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.Send(TypeHello, 0, Hello{Protocol, c.opts.Node, c.opts.Scope}); err != nil {
		return false
	}
	c.attach(conn, address)
	defer c.detach(address)
	go c.sendReports(ctx, conn)
	if position != preferredPosition {
		go c.returnToPreferred(ctx, conn)
	}
	for {
		frame, err := conn.Receive()
		if err != nil {
			c.opts.Log.WithError(err).WithField("address", address).Debug("link ended")
			return answered
		}
		if !c.handleFrame(frame) {
			return answered
		}
		answered = true
	}
}

func (c *Client) attach(conn *rlbwire.Conn, address string) {
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	if c.opts.OnLinkChange != nil {
		c.opts.OnLinkChange(address, true)
	}
}

// detach ends the open calls: their outcome is unknown.
func (c *Client) detach(address string) {
	c.mu.Lock()
	c.conn = nil
	for number, response := range c.pending {
		close(response)
		delete(c.pending, number)
	}
	c.mu.Unlock()
	if c.opts.OnLinkChange != nil {
		c.opts.OnLinkChange(address, false)
	}
}

func (c *Client) sendReports(ctx context.Context, conn *rlbwire.Conn) {
	ticker := time.NewTicker(c.opts.ReportInterval)
	defer ticker.Stop()
	for {
		if err := conn.Send(TypeReport, 0, c.opts.BuildReport()); err != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// returnToPreferred ends a link to a server that is not the preferred one as soon as
// that one answers.
func (c *Client) returnToPreferred(ctx context.Context, conn *rlbwire.Conn) {
	ticker := time.NewTicker(preferredCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		addresses := c.opts.Addresses()
		if len(addresses) == 0 {
			continue
		}
		if c.sendsUpdates(ctx, addresses[preferredPosition]) {
			_ = conn.Close()
			return
		}
	}
}

// sendsUpdates reports whether a server sends an update.
func (c *Client) sendsUpdates(ctx context.Context, address string) bool {
	netConn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return false
	}
	conn := rlbwire.NewConn(netConn, c.opts.IdleTimeout)
	defer func() { _ = conn.Close() }()
	if err := conn.Send(TypeHello, 0, Hello{Protocol, c.opts.Node, rlbfleetstate.ScopeOtherDomain}); err != nil {
		return false
	}
	_, err = conn.Receive()
	return err == nil
}

func (c *Client) handleFrame(frame rlbwire.Frame) bool {
	switch frame.Type {
	case TypeUpdate:
		var update rlbfleetstate.Update
		if err := frame.Decode(&update); err != nil {
			c.opts.Log.WithError(err).Warn("malformed update")
			return false
		}
		c.opts.ApplyUpdate(update)
	case TypeResponse, TypeError:
		c.mu.Lock()
		response, pending := c.pending[frame.Call]
		delete(c.pending, frame.Call)
		c.mu.Unlock()
		if pending { // else the caller gave up before
			response <- frame
		}
	}
	return true
}

// SendReport reports at once, outside the fixed period.
func (c *Client) SendReport(update rlbfleetstate.Update) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return rlberror.New("push", KindNoLink, nil)
	}
	return conn.Send(TypeReport, 0, update)
}

// Call asks the linked server and decodes its answer into out.
func (c *Client) Call(ctx context.Context, method Method, in, out any) error {
	op := "call " + string(method)
	body, err := msgpack.Marshal(in)
	if err != nil {
		return rlberror.New(op, KindEncoding, err)
	}
	conn, number, response := c.addCall()
	if conn == nil {
		return rlberror.New(op, KindNoLink, nil)
	}
	defer c.removeCall(number)
	if err := conn.Send(TypeCall, number, Call{method, body}); err != nil {
		return rlberror.New(op, KindUnknown, err)
	}
	select {
	case <-ctx.Done():
		return rlberror.New(op, KindUnknown, ctx.Err())
	case frame, open := <-response:
		if !open {
			return rlberror.New(op, KindUnknown, errors.New("the link ended"))
		}
		return decodeResponse(op, frame, out)
	}
}

func (c *Client) addCall() (*rlbwire.Conn, uint64, chan rlbwire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || len(c.pending) >= maxPendingCalls {
		return nil, 0, nil
	}
	c.lastCall++
	response := make(chan rlbwire.Frame, 1)
	c.pending[c.lastCall] = response
	return c.conn, c.lastCall, response
}

func (c *Client) removeCall(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func decodeResponse(op string, frame rlbwire.Frame, out any) error {
	if frame.Type == TypeError {
		var response ErrorResponse
		if err := frame.Decode(&response); err != nil {
			return rlberror.New(op, KindUnknown, err)
		}
		return rlberror.Newf(op, KindRefused, "%s", response.Message)
	}
	var body []byte
	if err := frame.Decode(&body); err != nil {
		return rlberror.New(op, KindUnknown, err)
	}
	if err := rlbmsgpack.Unmarshal(body, out); err != nil {
		return rlberror.New(op, KindUnknown, err)
	}
	return nil
}

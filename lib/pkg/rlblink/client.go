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
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 2 * time.Second
	returnPeriod  = 5 * time.Second // between two tries of a better server
	dialTimeout   = time.Second
	maxOpenCalls  = 65536
	firstPosition = 0
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
	opts  ClientOpts
	mu    sync.Mutex
	wire  *rlbwire.Conn
	next  uint64
	calls map[uint64]chan rlbwire.Frame
}

// NewClient returns a client that links until the clean-up function is called.
func NewClient(ctx context.Context, opts ClientOpts) (*Client, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Client{opts: opts, calls: map[uint64]chan rlbwire.Frame{}}
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
		if c.round(ctx) {
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

// round tries each server in turn and reports whether one answered. A frozen
// server still takes connections, so that only a message counts as an answer.
func (c *Client) round(ctx context.Context) bool {
	for position, address := range c.opts.Addresses() {
		conn, err := c.opts.Dial(ctx, address)
		if err != nil {
			continue
		}
		if c.link(ctx, conn, address, position) {
			return true
		}
	}
	return false
}

// link serves one connection until it ends, and reports whether the server
// ever answered.
func (c *Client) link(ctx context.Context, conn net.Conn, address string, position int) (answered bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wire := rlbwire.NewConn(conn, c.opts.IdleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = wire.Close() })
	defer stop()
	defer func() { _ = wire.Close() }()
	if err := wire.Send(TypeHello, 0, Hello{Protocol, c.opts.Node, c.opts.Scope}); err != nil {
		return false
	}
	c.attach(wire, address)
	defer c.detach(address)
	go c.reports(ctx, wire)
	if position != firstPosition {
		go c.comeBack(ctx, wire)
	}
	for {
		frame, err := wire.Receive()
		if err != nil {
			c.opts.Log.WithError(err).WithField("address", address).Debug("link ended")
			return answered
		}
		if !c.take(frame) {
			return answered
		}
		answered = true
	}
}

func (c *Client) attach(wire *rlbwire.Conn, address string) {
	c.mu.Lock()
	c.wire = wire
	c.mu.Unlock()
	if c.opts.OnLinkChange != nil {
		c.opts.OnLinkChange(address, true)
	}
}

// detach ends the open calls: their outcome is unknown.
func (c *Client) detach(address string) {
	c.mu.Lock()
	c.wire = nil
	for number, answer := range c.calls {
		close(answer)
		delete(c.calls, number)
	}
	c.mu.Unlock()
	if c.opts.OnLinkChange != nil {
		c.opts.OnLinkChange(address, false)
	}
}

func (c *Client) reports(ctx context.Context, wire *rlbwire.Conn) {
	ticker := time.NewTicker(c.opts.ReportInterval)
	defer ticker.Stop()
	for {
		if err := wire.Send(TypeReport, 0, c.opts.BuildReport()); err != nil {
			_ = wire.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// comeBack ends a link to a server that is not the preferred one as soon as
// that one answers.
func (c *Client) comeBack(ctx context.Context, wire *rlbwire.Conn) {
	ticker := time.NewTicker(returnPeriod)
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
		if c.answers(ctx, addresses[firstPosition]) {
			_ = wire.Close()
			return
		}
	}
}

// answers reports whether a server sends an update.
func (c *Client) answers(ctx context.Context, address string) bool {
	conn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return false
	}
	wire := rlbwire.NewConn(conn, c.opts.IdleTimeout)
	defer func() { _ = wire.Close() }()
	if err := wire.Send(TypeHello, 0, Hello{Protocol, c.opts.Node, rlbfleetstate.ScopeOtherDomain}); err != nil {
		return false
	}
	_, err = wire.Receive()
	return err == nil
}

func (c *Client) take(frame rlbwire.Frame) bool {
	switch frame.Type {
	case TypeUpdate:
		var update rlbfleetstate.Update
		if err := frame.Decode(&update); err != nil {
			c.opts.Log.WithError(err).Warn("malformed update")
			return false
		}
		c.opts.ApplyUpdate(update)
	case TypeAnswer, TypeError:
		c.mu.Lock()
		answer, open := c.calls[frame.Call]
		delete(c.calls, frame.Call)
		c.mu.Unlock()
		if open { // else the caller gave up before
			answer <- frame
		}
	}
	return true
}

// SendReport reports at once, outside the fixed period.
func (c *Client) SendReport(update rlbfleetstate.Update) error {
	c.mu.Lock()
	wire := c.wire
	c.mu.Unlock()
	if wire == nil {
		return rlberror.New("push", KindNoLink, nil)
	}
	return wire.Send(TypeReport, 0, update)
}

// Call asks the linked server and decodes its answer into out.
func (c *Client) Call(ctx context.Context, method Method, in, out any) error {
	op := "call " + string(method)
	body, err := msgpack.Marshal(in)
	if err != nil {
		return rlberror.New(op, KindEncoding, err)
	}
	wire, number, answer := c.open()
	if wire == nil {
		return rlberror.New(op, KindNoLink, nil)
	}
	defer c.forget(number)
	if err := wire.Send(TypeCall, number, Call{method, body}); err != nil {
		return rlberror.New(op, KindUnknown, err)
	}
	select {
	case <-ctx.Done():
		return rlberror.New(op, KindUnknown, ctx.Err())
	case frame, open := <-answer:
		if !open {
			return rlberror.New(op, KindUnknown, errors.New("the link ended"))
		}
		return decodeAnswer(op, frame, out)
	}
}

func (c *Client) open() (*rlbwire.Conn, uint64, chan rlbwire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wire == nil || len(c.calls) >= maxOpenCalls {
		return nil, 0, nil
	}
	c.next++
	answer := make(chan rlbwire.Frame, 1)
	c.calls[c.next] = answer
	return c.wire, c.next, answer
}

func (c *Client) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

func decodeAnswer(op string, frame rlbwire.Frame, out any) error {
	if frame.Type == TypeError {
		var refusal Refusal
		if err := frame.Decode(&refusal); err != nil {
			return rlberror.New(op, KindUnknown, err)
		}
		return rlberror.Newf(op, KindRefused, "%s", refusal.Message)
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

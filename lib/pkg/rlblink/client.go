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
	preferredCheckInterval = 5 * time.Second // between two checks whether the preferred server responds
	dialTimeout            = time.Second
	maxPendingCalls        = 65536
	preferredPosition      = 0
)

// Dial opens a connection to the control address of a server.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens plain TCP connections.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// ClientOpts are the options of a client.
type ClientOpts struct {
	Log            *log.Entry
	Dial           Dial
	Process        rlbfleetstate.ProcessKey // this client
	Scope          rlbfleetstate.Scope
	Addresses      func() []string                   // servers, the preferred one first
	ApplyUpdate    func(rlbfleetstate.Update)        // called for each received update
	BuildReport    func() rlbfleetstate.Update       // called for each periodic report
	ReportInterval time.Duration                     // between two periodic reports
	IdleTimeout    time.Duration                     // after which a link without messages is closed
	OnLinkChange   func(address string, linked bool) // may be nil
}

// Client keeps a link to the first server that responds.
type Client struct {
	opts     ClientOpts
	mu       sync.Mutex
	conn     *rlbwire.Conn
	lastCall uint64
	pending  map[uint64]chan rlbwire.Frame
}

// NewClient returns a client that keeps a link until the clean-up function is
// called.
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

// run reconnects until ctx ends, with exponential backoff between failed rounds.
// Full jitter prevents clients of the same failed server from reconnecting at the
// same time.
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

// tryServers links to each server in turn until one responds, and returns true when
// the link to that server has ended, or false if no server responded. A hung server
// still accepts connections, so only a received message counts as a response.
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

// runLink runs the protocol on one connection until it ends, and reports whether
// the server sent any valid message.
func (c *Client) runLink(ctx context.Context, netConn net.Conn, address string, position int) (responded bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := rlbwire.NewConn(netConn, c.opts.IdleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.Send(TypeHello, 0, Hello{Protocol, c.opts.Process, c.opts.Scope}); err != nil {
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
			c.opts.Log.WithError(err).WithField("address", address).Debug("link closed")
			return responded
		}
		if !c.handleFrame(frame) {
			return responded
		}
		responded = true
	}
}

// attach makes conn the current link.
func (c *Client) attach(conn *rlbwire.Conn, address string) {
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	if c.opts.OnLinkChange != nil {
		c.opts.OnLinkChange(address, true)
	}
}

// detach removes the current link and ends its pending calls, whose outcome is
// then unknown.
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

// sendReports sends a report each ReportInterval until ctx ends or sending fails.
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

// returnToPreferred closes the link to another server as soon as the preferred
// one responds, so that the client reconnects to the preferred one.
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
		if c.responds(ctx, addresses[preferredPosition]) {
			_ = conn.Close()
			return
		}
	}
}

// responds reports whether the server at address sends a message on a new link.
func (c *Client) responds(ctx context.Context, address string) bool {
	netConn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return false
	}
	conn := rlbwire.NewConn(netConn, c.opts.IdleTimeout)
	defer func() { _ = conn.Close() }()
	if err := conn.Send(TypeHello, 0, Hello{Protocol, c.opts.Process, rlbfleetstate.ScopeOtherDomain}); err != nil {
		return false
	}
	_, err = conn.Receive()
	return err == nil
}

// handleFrame processes one message. It returns false if the link must be closed.
func (c *Client) handleFrame(frame rlbwire.Frame) bool {
	switch frame.Type {
	case TypeUpdate:
		var update rlbfleetstate.Update
		if err := frame.Decode(&update); err != nil {
			c.opts.Log.WithError(err).Warn("failed to decode an update; closing the link")
			return false
		}
		c.opts.ApplyUpdate(update)
	case TypeResponse, TypeError:
		c.mu.Lock()
		response, found := c.pending[frame.Call]
		delete(c.pending, frame.Call)
		c.mu.Unlock()
		if found { // otherwise Call has already returned
			response <- frame
		}
	}
	return true
}

// SendReport sends update immediately, in addition to the periodic reports.
func (c *Client) SendReport(update rlbfleetstate.Update) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return rlberror.New("push", KindNoLink, nil)
	}
	return conn.Send(TypeReport, 0, update)
}

// Call calls a method of the linked server and decodes the response into out.
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
			return rlberror.New(op, KindUnknown, errors.New("the link was closed"))
		}
		return decodeResponse(op, frame, out)
	}
}

// addCall registers a pending call. It returns a nil connection if there is no link
// or too many calls are pending.
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

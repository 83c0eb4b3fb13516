package rlbfake

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network is an in-memory network for tests with a fake clock. Connections are
// unbuffered pipes, which tests can close or silence permanently.
type Network struct {
	mu              sync.Mutex
	listeners       map[string]*listener
	conns           map[string][]*connection // by listening address
	dials           map[string]int
	silentAddresses map[string]bool // whether new connections to an address are silent
}

// NewNetwork returns a Network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[string][]*connection{}, dials: map[string]int{}, silentAddresses: map[string]bool{}}
}

// Listen returns a listener on address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to address. It fails with ECONNREFUSED if nothing listens there.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if !found {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	c := &connection{client: client, server: server}
	select {
	case l.accepted <- &connEnd{server, c}:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], c)
	c.setSilent(n.silentAddresses[address])
	return &connEnd{client, c}, nil
}

// Dials returns the number of calls of Dial for address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Cut closes all connections to address, as a crash of the process does.
func (n *Network) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	delete(n.conns, address)
}

// Kill closes all connections to address and the listener, so that new connections
// are refused.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	l, found := n.listeners[address]
	delete(n.listeners, address)
	n.mu.Unlock()
	if found {
		_ = l.Close()
	}
	n.Cut(address)
}

// Silence makes the open connections to address drop all further writes without
// an error at either end. New connections work unless future is set.
func (n *Network) Silence(address string, future bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.setSilent(true)
	}
	n.silentAddresses[address] = future
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// connection is a pair of connected ends.
type connection struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func (l *connection) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

func (l *connection) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// connEnd is one end of a connection.
type connEnd struct {
	net.Conn
	connection *connection
}

// Write implements net.Conn. On a silent connection it accepts the data and drops
// it; the writer sees no error, as with the send buffer of a kernel.
func (e *connEnd) Write(p []byte) (int, error) {
	if e.connection.isSilent() {
		return len(p), nil
	}
	return e.Conn.Write(p)
}

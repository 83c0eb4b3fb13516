package rlbfake

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network is an in-memory network for tests with a fake clock. Connections are
// pipes without buffers; they can be cut, or made silent for good.
type Network struct {
	mu              sync.Mutex
	listeners       map[string]*listener
	conns           map[string][]*connection // by listening address
	dials           map[string]int
	silentAddresses map[string]bool // new connections to these addresses are silent
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[string][]*connection{}, dials: map[string]int{}, silentAddresses: map[string]bool{}}
}

// Listen returns a listener at address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to address, or is refused if nothing listens there.
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

// Dials returns how often address was dialled.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Cut ends all connections to address, as when its process dies.
func (n *Network) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	delete(n.conns, address)
}

// Kill ends all connections to address and refuses new ones.
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

// Silence makes the open connections to address silent for good: what is
// written is lost, nothing arrives, neither end is told. New ones work unless
// future is set.
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

// connection is one connection.
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

// connEnd is one end of a link.
type connEnd struct {
	net.Conn
	connection *connection
}

// Write implements net.Conn. On a silent link it takes everything and delivers
// nothing, as a kernel's send buffer does.
func (e *connEnd) Write(p []byte) (int, error) {
	if e.connection.isSilent() {
		return len(p), nil
	}
	return e.Conn.Write(p)
}

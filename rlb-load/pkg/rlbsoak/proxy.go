package rlbsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes and timing of a proxy.
const (
	copyBuffer       = 16 << 10 // bytes
	heldPollInterval = 5 * time.Millisecond
	dialTimeout      = time.Second
	maxDatagram      = 64 << 10 // bytes
)

// linkFault is a fault that a proxy applies to its traffic.
type linkFault struct {
	delay          time.Duration // after each read
	holdToTarget   bool          // bytes to the target are held back
	holdFromTarget bool          // bytes from the target are held back
	refuse         bool          // new connections are reset
}

// proxy forwards connections, and optionally datagrams, to one address on loopback,
// and injects link faults.
type proxy struct {
	target    string
	listener  net.Listener
	datagrams net.PacketConn // nil: no datagrams are forwarded

	mu    sync.Mutex
	fault linkFault
	pairs map[*connPair]struct{}
}

// connPair is a connection accepted by the proxy and the matching one to its target.
type connPair struct {
	caller, target net.Conn
	silenced       chan struct{} // closed: no more bytes are forwarded, and neither end is notified
	silenceOnce    sync.Once
}

// newProxy forwards address to target until its clean-up function is called.
func newProxy(address, target string, datagrams bool) (*proxy, func(), error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: listener, pairs: map[*connPair]struct{}{}}
	if datagrams {
		if p.datagrams, err = net.ListenPacket("udp4", address); err != nil {
			return nil, nil, errors.Join(err, listener.Close())
		}
		go p.forwardDatagrams()
	}
	go p.accept()
	return p, func() {
		_ = listener.Close()
		if p.datagrams != nil {
			_ = p.datagrams.Close()
		}
		p.resetConns(1)
	}, nil
}

// setFault injects a link fault; the zero value ends it.
func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns resets one in oneOf of the open connections.
func (p *proxy) resetConns(oneOf int) {
	p.eachPair(oneOf, func(pair *connPair) { pair.close(true) })
}

// silenceConns permanently stops forwarding on one in oneOf of the open
// connections; new connections are unaffected.
func (p *proxy) silenceConns(oneOf int) {
	p.eachPair(oneOf, func(pair *connPair) { pair.silenceOnce.Do(func() { close(pair.silenced) }) })
}

func (p *proxy) eachPair(oneOf int, do func(*connPair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for pair := range p.pairs {
		if n++; n%oneOf == 0 {
			do(pair)
		}
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	if p.currentFault().refuse {
		resetConn(conn)
		return
	}
	target, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil {
		resetConn(conn) // the target is not listening
		return
	}
	pair := &connPair{caller: conn, target: target, silenced: make(chan struct{})}
	p.mu.Lock()
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(pair, target, conn, func(h linkFault) bool { return h.holdToTarget }) })
	both.Go(func() { p.copy(pair, conn, target, func(h linkFault) bool { return h.holdFromTarget }) })
	both.Wait()
	pair.close(false)
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// copy forwards bytes in one direction unless held reports that the current fault
// holds them back.
func (p *proxy) copy(pair *connPair, to, from net.Conn, held func(linkFault) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if !p.waitToPass(pair, held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				pair.close(true)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			pair.close(true)
			return
		}
	}
}

// waitToPass waits until bytes may be forwarded; it returns false once the
// connection is silenced.
func (p *proxy) waitToPass(pair *connPair, held func(linkFault) bool) bool {
	for {
		fault := p.currentFault()
		wait, blocked := fault.delay, held(fault)
		if blocked {
			wait = heldPollInterval
		}
		if pair.waitSilenced(wait) {
			_, _ = io.Copy(io.Discard, pair.caller) // until the caller disconnects
			return false
		}
		if !blocked {
			return true
		}
	}
}

// waitSilenced waits for the given time or until the connection is silenced; it
// reports whether it is silenced.
func (pair *connPair) waitSilenced(wait time.Duration) bool {
	select {
	case <-pair.silenced:
		return true
	case <-time.After(wait):
	}
	select {
	case <-pair.silenced:
		return true
	default:
		return false
	}
}

func (pair *connPair) close(reset bool) {
	for _, conn := range []net.Conn{pair.caller, pair.target} {
		if reset {
			resetConn(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// forwardDatagrams forwards datagrams to the target, delayed or dropped according to the current fault.
func (p *proxy) forwardDatagrams() {
	target, err := net.Dial("udp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.datagrams.ReadFrom(buffer)
		if err != nil {
			return // closed
		}
		fault := p.currentFault()
		if fault.holdToTarget {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(fault.delay, func() { _, _ = target.Write(datagram) }) // datagrams may be lost anyway
	}
}

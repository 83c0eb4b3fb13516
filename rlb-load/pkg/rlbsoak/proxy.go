package rlbsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Terms of a proxy.
const (
	copyBuffer       = 16 << 10 // bytes read at once
	heldPollInterval = 5 * time.Millisecond
	dialTimeout      = time.Second
	maxDatagram      = 64 << 10 // bytes
)

// linkFault is what a proxy does to what passes.
type linkFault struct {
	delay          time.Duration // of each read
	holdToTarget   bool          // bytes to the target are held
	holdFromTarget bool          // bytes from the target are held
	refuse         bool          // new connections are reset
}

// proxy stands before one address on loopback: connections, and datagrams if it
// was asked for them, pass through it.
type proxy struct {
	target    string
	listener  net.Listener
	datagrams net.PacketConn // nil: it passes no datagrams

	mu    sync.Mutex
	fault linkFault
	pairs map[*connPair]struct{}
}

// connPair is a connection to the proxy and the one that it made for it.
type connPair struct {
	caller, target net.Conn
	silenced       chan struct{} // closed: nothing passes any more, and nobody is told
	silenceOnce    sync.Once
}

// newProxy serves address until its clean-up function is called.
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

// setFault makes the proxy harm what passes; the zero value ends that.
func (p *proxy) setFault(h linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = h
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns resets one of so many of the open connections.
func (p *proxy) resetConns(oneOf int) {
	p.eachPair(oneOf, func(pair *connPair) { pair.close(true) })
}

// silenceConns makes one of so many of the open connections go silent for good, while
// new ones work.
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
		resetConn(conn) // nobody listens there
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

// copy passes bytes on in one direction while held says that they may pass.
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

// waitToPass waits until bytes may pass; it reports false once the connection is silent
// for good.
func (p *proxy) waitToPass(pair *connPair, held func(linkFault) bool) bool {
	for {
		now := p.currentFault()
		wait, blocked := now.delay, held(now)
		if blocked {
			wait = heldPollInterval
		}
		if pair.waitSilenced(wait) {
			_, _ = io.Copy(io.Discard, pair.caller) // until the caller leaves
			return false
		}
		if !blocked {
			return true
		}
	}
}

// waitSilenced waits; it reports whether the connection is silent for good.
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

func (pair *connPair) close(hard bool) {
	for _, conn := range []net.Conn{pair.caller, pair.target} {
		if hard {
			resetConn(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// resetConn ends a connection so that the other end sees a reset.
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

// forwardDatagrams passes datagrams to the target, late or not at all if harmed.
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
		now := p.currentFault()
		if now.holdToTarget {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(now.delay, func() { _, _ = target.Write(datagram) }) // may be lost, as any datagram
	}
}

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
	copyBuffer  = 16 << 10 // bytes read at once
	gateLook    = 5 * time.Millisecond
	dialTimeout = time.Second
	maxDatagram = 64 << 10 // bytes
)

// harm is what a proxy does to what passes.
type harm struct {
	delay  time.Duration // of each read
	noTo   bool          // bytes to the target are held
	noFrom bool          // bytes from the target are held
	refuse bool          // new connections are reset
}

// proxy stands before one address on loopback: connections, and datagrams if it
// was asked for them, pass through it.
type proxy struct {
	target   string
	listener net.Listener
	packets  net.PacketConn // nil: it passes no datagrams

	mu    sync.Mutex
	now   harm
	pairs map[*pair]struct{}
}

// pair is a connection to the proxy and the one that it made for it.
type pair struct {
	caller, target net.Conn
	mute           chan struct{} // closed: nothing passes any more, and nobody is told
	muted          sync.Once
}

// newProxy serves address until its clean-up function is called.
func newProxy(address, target string, datagrams bool) (*proxy, func(), error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: listener, pairs: map[*pair]struct{}{}}
	if datagrams {
		if p.packets, err = net.ListenPacket("udp4", address); err != nil {
			return nil, nil, errors.Join(err, listener.Close())
		}
		go p.passPackets()
	}
	go p.accept()
	return p, func() {
		_ = listener.Close()
		if p.packets != nil {
			_ = p.packets.Close()
		}
		p.reset(1)
	}, nil
}

// harm makes the proxy harm what passes; the zero value ends that.
func (p *proxy) harm(h harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = h
}

func (p *proxy) harmed() harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// reset resets one of so many of the open connections.
func (p *proxy) reset(oneOf int) {
	p.each(oneOf, func(x *pair) { x.close(true) })
}

// silence makes one of so many of the open connections go silent for good, while
// new ones work.
func (p *proxy) silence(oneOf int) {
	p.each(oneOf, func(x *pair) { x.muted.Do(func() { close(x.mute) }) })
}

func (p *proxy) each(oneOf int, do func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for x := range p.pairs {
		if n++; n%oneOf == 0 {
			do(x)
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
	if p.harmed().refuse {
		resetConn(conn)
		return
	}
	target, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil {
		resetConn(conn) // nobody listens there
		return
	}
	x := &pair{caller: conn, target: target, mute: make(chan struct{})}
	p.mu.Lock()
	p.pairs[x] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(x, target, conn, func(h harm) bool { return h.noTo }) })
	both.Go(func() { p.copy(x, conn, target, func(h harm) bool { return h.noFrom }) })
	both.Wait()
	x.close(false)
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

// copy passes bytes on in one direction while held says that they may pass.
func (p *proxy) copy(x *pair, to, from net.Conn, held func(harm) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if !p.pass(x, held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				x.close(true)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			x.close(true)
			return
		}
	}
}

// pass waits until bytes may pass; it reports false once the connection is silent
// for good.
func (p *proxy) pass(x *pair, held func(harm) bool) bool {
	for {
		now := p.harmed()
		wait, blocked := now.delay, held(now)
		if blocked {
			wait = gateLook
		}
		if x.silent(wait) {
			_, _ = io.Copy(io.Discard, x.caller) // until the caller leaves
			return false
		}
		if !blocked {
			return true
		}
	}
}

// silent waits; it reports whether the connection is silent for good.
func (x *pair) silent(wait time.Duration) bool {
	select {
	case <-x.mute:
		return true
	case <-time.After(wait):
	}
	select {
	case <-x.mute:
		return true
	default:
		return false
	}
}

func (x *pair) close(hard bool) {
	for _, conn := range []net.Conn{x.caller, x.target} {
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

// passPackets passes datagrams to the target, late or not at all if harmed.
func (p *proxy) passPackets() {
	target, err := net.Dial("udp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.packets.ReadFrom(buffer)
		if err != nil {
			return // closed
		}
		now := p.harmed()
		if now.noTo {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(now.delay, func() { _, _ = target.Write(datagram) }) // may be lost, as any datagram
	}
}

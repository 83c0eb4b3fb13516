package rlbdispatch

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits of the pool of idle connections.
const (
	maxIdleTime       = 4 * time.Second // after longer idle times, middleboxes may have dropped the connection's state
	maxIdlePerAddress = 512
)

// Settings of TCP keep-alive, which detects connections whose peer is unreachable.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// pool holds idle connections by address, the most recently used last.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool() *pool { return &pool{idle: map[string][]*conn{}} }

// get returns an idle connection that the request of an ID can use, or nil. It prefers
// the most recently used.
func (p *pool) get(address, id string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < maxIdleTime && c.alive() && !slices.Contains(c.failedIDs, id) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *pool) put(address string, c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// sweep closes connections that have been idle for maxIdleTime.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < maxIdleTime {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// drop closes all idle connections to an address, after one to it went silent.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// close closes all idle connections. The pool can be used further.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// DialTCP returns a Dial that opens TCP connections within timeout.
func DialTCP(timeout time.Duration) Dial {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

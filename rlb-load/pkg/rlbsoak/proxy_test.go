package rlbsoak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newEcho returns a proxy in front of an echo server.
func newEcho(t *testing.T) *proxy {
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, closeProxy, err := newProxy("127.0.0.1:0", server.Addr().String(), false)
	So(err, ShouldBeNil)
	t.Cleanup(closeProxy)
	return p
}

func dial(p *proxy) net.Conn {
	conn, err := net.Dial("tcp4", p.listener.Addr().String())
	So(err, ShouldBeNil)
	return conn
}

// echo sends a byte and waits for its echo; it returns the error, if any.
func echo(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	return err
}

func shouldBeSilent(err error) { So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue) }

const (
	longWait  = 10 * time.Second // expires only if the test fails
	shortWait = 50 * time.Millisecond
)

func TestProxy(t *testing.T) {
	Convey("Given a connection through a proxy", t, func() {
		p := newEcho(t)
		conn := dial(p)
		defer func() { _ = conn.Close() }()
		So(echo(conn, longWait), ShouldBeNil)
		for name, h := range map[string]linkFault{"to": {holdToTarget: true}, "from": {holdFromTarget: true}, "both": {holdToTarget: true, holdFromTarget: true}} {
			Convey("a cut, "+name+", holds bytes back until it ends", func() {
				p.setFault(h)
				shouldBeSilent(echo(conn, shortWait))
				p.setFault(linkFault{})
				So(echo(conn, longWait), ShouldBeNil)
			})
		}
		Convey("a silenced connection stays silent, and new ones work", func() {
			p.silenceConns(1)
			shouldBeSilent(echo(conn, shortWait))
			other := dial(p)
			defer func() { _ = other.Close() }()
			So(echo(other, longWait), ShouldBeNil)
		})
		Convey("a reset reaches the caller", func() {
			p.resetConns(1)
			_ = conn.SetReadDeadline(time.Now().Add(longWait))
			_, err := conn.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("a refuse fault resets new connections and leaves open ones alone", func() {
			p.setFault(linkFault{refuse: true})
			other, err := net.Dial("tcp4", p.listener.Addr().String())
			if err == nil { // the reset may arrive during the connect
				err = echo(other, longWait)
			}
			So(err, ShouldNotBeNil)
			So(echo(conn, longWait), ShouldBeNil)
		})
	})
}

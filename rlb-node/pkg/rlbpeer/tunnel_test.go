package rlbpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"
)

// tunnelFixture is an endpoint that an instance reaches for others.
type tunnelFixture struct {
	link     *Link
	peer     string
	endpoint net.Listener
	accepted chan net.Conn
}

func newTunnelFixture(t *testing.T) *tunnelFixture {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	endpoint, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	f := &tunnelFixture{peer: listener.Addr().String(), endpoint: endpoint, accepted: make(chan net.Conn, 1)}
	f.link = &Link{
		log: &log.Logger{Handler: discard.New()}, listener: listener, maxTunnels: 1,
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			if address != endpoint.Addr().String() {
				return nil, errors.New("no endpoint has the address")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
	}
	go f.link.serve()
	go func() {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = endpoint.Close()
	})
	return f
}

// open opens a tunnel and returns its two ends.
func (f *tunnelFixture) open() (user net.Conn, endpoint *net.TCPConn) {
	user, err := Tunnel(context.Background(), f.peer, f.endpoint.Addr().String())
	So(err, ShouldBeNil)
	endpoint, ok := (<-f.accepted).(*net.TCPConn)
	So(ok, ShouldBeTrue)
	return user, endpoint
}

// closedWithin waits until the user's end of the tunnel is closed for the endpoint.
func closedWithin(conn net.Conn, timeout time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestTunnelCarriesAConnectionAndHowItEnds(t *testing.T) {
	Convey("Given a tunnel to an endpoint", t, func() {
		f := newTunnelFixture(t)
		user, endpoint := f.open()
		defer func() { _ = user.Close() }()
		defer func() { _ = endpoint.Close() }()
		So(f.link.Tunnels(), ShouldEqual, 1)
		Convey("bytes arrive in both directions, and the end of the endpoint's stream", func() {
			long := strings.Repeat("ab", 3*maxPieceBytes)
			go func() { _, _ = io.WriteString(user, long) }()
			got := make([]byte, len(long))
			_, err := io.ReadFull(endpoint, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, long)
			go func() {
				_, _ = io.WriteString(endpoint, long)
				_ = endpoint.Close()
			}()
			got, err = io.ReadAll(user)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, long)
		})
		Convey("a reset by the endpoint is one for the user, after what came before", func() {
			_, _ = io.WriteString(endpoint, "part")
			got := make([]byte, 4)
			_, err := io.ReadFull(user, got)
			So(err, ShouldBeNil)
			So(endpoint.SetLinger(0), ShouldBeNil)
			So(endpoint.Close(), ShouldBeNil)
			_, err = user.Read(got)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("a read that times out loses nothing", func() {
			got := make([]byte, 4)
			So(user.SetReadDeadline(time.Now()), ShouldBeNil)
			_, err := user.Read(got)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(user.SetReadDeadline(time.Time{}), ShouldBeNil)
			_, _ = io.WriteString(endpoint, "next")
			_, err = io.ReadFull(user, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, "next")
		})
		Convey("no more are opened than the limit, until one is closed", func() {
			_, err := Tunnel(context.Background(), f.peer, f.endpoint.Addr().String())
			So(err, ShouldNotBeNil)
			So(user.Close(), ShouldBeNil)
			So(closedWithin(endpoint, 5*time.Second), ShouldBeTrue)
			So(f.link.Tunnels(), ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("the endpoint sees that the user has closed it", func() {
			So(user.Close(), ShouldBeNil)
			So(closedWithin(endpoint, 5*time.Second), ShouldBeTrue)
		})
	})
	Convey("No tunnel is opened to an address that is no endpoint's", t, func() {
		f := newTunnelFixture(t)
		_, err := Tunnel(context.Background(), f.peer, "127.0.0.1:1")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "no endpoint has the address")
	})
}

func TestLossOfTheInstanceInBetweenIsNoEndOfTheAnswer(t *testing.T) {
	Convey("A tunnel whose instance is gone", t, func() {
		near, far := net.Pipe()
		user := &tunnelConn{Conn: near}
		for name, sent := range map[string][]byte{
			"between pieces":             {pieceData, 0, 0, 0, 1, 'a'},
			"inside a piece":             {pieceData, 0, 0, 0, 2, 'a'},
			"inside a header":            {pieceData, 0, 0, 0, 1, 'a', pieceData, 0},
			"that lost the endpoint too": {pieceData, 0, 0, 0, 1, 'a', pieceSilent, 0, 0, 0, 0},
		} {
			Convey(name+" times out, once and for all", func() {
				go func() {
					_, _ = far.Write(sent)
					_ = far.Close()
				}()
				got, err := io.ReadAll(user)
				So(string(got), ShouldEqual, "a")
				So(isTimeout(err), ShouldBeTrue)
				So(errors.Is(err, io.EOF), ShouldBeFalse)
				_, again := user.Read(got)
				So(again, ShouldEqual, err)
			})
		}
	})
}

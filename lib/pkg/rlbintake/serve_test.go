package rlbintake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	. "github.com/smartystreets/goconvey/convey"
)

const address = "10.0.0.1:80"

// server is an HTTP server behind an intake, on a network and a clock that are not real.
type server struct {
	network *rlbfake.Network
	intake  *Intake
	http    *http.Server
	// answer replaces the answer, which is the body of the request, if it is not nil.
	answer http.HandlerFunc
	bodies []string // of the requests, as read
}

// withServer runs a test of a name.
func withServer(t *testing.T, name string, limits Limits, connections int, f func(s *server)) {
	run := func() {
		s := &server{network: rlbfake.NewNetwork()}
		s.intake = New(Opts{Limits: limits, Log: &log.Logger{Handler: discard.Default, Level: log.FatalLevel}, Metrics: metrics.NewRegistry(), Now: time.Now})
		s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.intake.Serve(s.http, s.network.Listen(address), connections) }()
		synctest.Wait()
		f(s)
		_ = s.http.Close()
		synctest.Wait()
		So(s.intake.budget.snapshot().Bytes, ShouldEqual, 0)
		So(s.intake.budget.snapshot().Connections, ShouldEqual, 0)
	}
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { Convey(name, t, run) })
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, ErrNoRoom) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		return
	}
	s.bodies = append(s.bodies, string(body))
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	_, _ = w.Write(body)
}

// open opens a connection; the clean-up closes it.
func (s *server) open() (net.Conn, func()) {
	conn, err := s.network.Dial(context.Background(), address)
	So(err, ShouldBeNil)
	return conn, func() {
		_ = conn.Close()
		synctest.Wait()
	}
}

// send sends text in parts of a size, while it reads what comes back.
func send(conn net.Conn, text string, size int) {
	go func() {
		for text != "" {
			n := min(size, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
}

const limitBytes = 8 << 20

var wide = Limits{Bytes: limitBytes, HeadLines: 1000, WriteStall: 10 * time.Second}

const (
	get     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post    = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n\n\n\n\n5"
	chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n\r\n\r\r\n1\r\n5\r\n0\r\n\r\n"
)

// TestRequestsOfOneConnection guards against a count that takes a body or the next request
// for a head, or changes what is served.
func TestRequestsOfOneConnection(t *testing.T) {
	for _, size := range []int{1, 3, 7, 50, 5000} {
		withServer(t, fmt.Sprintf("requests one after another, sent in parts of %d, are served as they are", size), wide, 10, func(s *server) {
			conn, closeConn := s.open()
			defer closeConn()
			send(conn, get+post+chunked+post+post+chunked+get+chunked+chunked+get, size)
			answers := bufio.NewReader(conn)
			want := []string{"", "\n\n\n\n5", "\n\r\n\r5", "\n\n\n\n5", "\n\n\n\n5", "\n\r\n\r5", "", "\n\r\n\r5", "\n\r\n\r5", ""}
			for _, body := range want {
				response, err := http.ReadResponse(answers, nil)
				So(err, ShouldBeNil)
				got, err := io.ReadAll(response.Body)
				So(err, ShouldBeNil)
				So(string(got), ShouldEqual, body)
			}
			synctest.Wait()
			So(s.bodies, ShouldResemble, want)
			So(s.intake.budget.snapshot().Bytes, ShouldEqual, connectionCost)
		})
	}
}

// TestHeadOfManyLines guards against heads of legal size that take many times their bytes.
func TestHeadOfManyLines(t *testing.T) {
	for _, before := range []string{"", get, post, chunked} {
		withServer(t, fmt.Sprintf("a head of too many lines after %.40q is refused before its end", before), wide, 10, func(s *server) {
			conn, closeConn := s.open()
			defer closeConn()
			send(conn, before+"GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", 2000), 5000)
			answers := bufio.NewReader(conn)
			if before != "" {
				response, err := http.ReadResponse(answers, nil)
				So(err, ShouldBeNil)
				_, _ = io.Copy(io.Discard, response.Body)
			}
			response, err := http.ReadResponse(answers, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			synctest.Wait()
			So(s.intake.budget.snapshot().Connections, ShouldEqual, 0)
		})
	}
}

// TestNoRoom guards against refusals of requests for which there is no room that are not true.
func TestNoRoom(t *testing.T) {
	little := Limits{Bytes: 256 << 10, HeadLines: 1000, WriteStall: 10 * time.Second}
	withServer(t, "a head for which there is no room is refused as not run", little, 10, func(s *server) {
		conn, closeConn := s.open()
		defer closeConn()
		send(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", 900), 5000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get("Retry-After"), ShouldEqual, "1")
	})
	withServer(t, "a body for which there is no room is refused by its handler", little, 10, func(s *server) {
		conn, closeConn := s.open()
		defer closeConn()
		send(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("b", 300000), 5000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(s.bodies, ShouldBeEmpty)
	})
	withServer(t, "a request whose connection gave way is not passed on", wide, 1, func(s *server) {
		held, closeHeld := s.open()
		defer closeHeld()
		send(held, post[:len(post)-1], 5000)
		synctest.Wait()
		conn, closeConn := s.open()
		defer closeConn()
		send(conn, get, 5000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		synctest.Wait()
		So(s.bodies, ShouldResemble, []string{""})
	})
}

// cannedConn delivers the same request again and again.
type cannedConn struct {
	net.Conn
	request string
}

// Read implements net.Conn.
func (c *cannedConn) Read(p []byte) (int, error) { return copy(p, c.request), nil }

// BenchmarkRequest measures what the limits cost a request of ordinary size.
func BenchmarkRequest(b *testing.B) {
	i := New(Opts{Limits: wide, Log: &log.Logger{Handler: discard.Default, Level: log.FatalLevel}, Metrics: metrics.NewRegistry(), Now: time.Now})
	request := "POST /a/b HTTP/1.1\r\n" + strings.Repeat("X-Some-Header: and its value\r\n", 15) + "Content-Length: 500\r\n\r\n" + strings.Repeat("b", 500)
	c := &conn{Conn: &cannedConn{request: request}, intake: i}
	c.holder = holder{group: i.budget.newGroup(1), close: func() {}}
	i.budget.admit(time.Now(), &c.holder)
	buffer := make([]byte, serverBuffer)
	r := &http.Request{ContentLength: 500}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Read(buffer)
		r.Body = http.NoBody
		c.begin(r)
		_, _ = c.Read(buffer)
		_, _ = r.Body.Read(buffer) // its end
		c.finish()
	}
}

// TestAnswerNotRead guards against clients that hold connections by not reading answers.
func TestAnswerNotRead(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Hour} {
		withServer(t, fmt.Sprintf("the connection of an answer that is not read is closed, with a write deadline of %v", deadline), wide, 10, func(s *server) {
			var failed time.Duration
			s.answer = func(w http.ResponseWriter, _ *http.Request) {
				if deadline > 0 {
					_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(deadline))
				}
				begin := time.Now()
				_, _ = w.Write(make([]byte, 3*writeChunk))
				failed = time.Since(begin)
			}
			conn, closeConn := s.open()
			defer closeConn()
			send(conn, get, 5000)
			time.Sleep(time.Minute) // of the clock that is not real
			synctest.Wait()
			So(failed, ShouldEqual, wide.WriteStall)
			So(s.intake.budget.snapshot().Connections, ShouldEqual, 0)
		})
	}
	withServer(t, "one that is read slowly is sent to its end", wide, 10, func(s *server) {
		s.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 3*writeChunk)) }
		conn, closeConn := s.open()
		defer closeConn()
		send(conn, get, 5000)
		read, buffer := 0, make([]byte, 16<<10)
		for read < 3*writeChunk {
			time.Sleep(time.Second) // of the clock that is not real
			n, err := conn.Read(buffer)
			So(err, ShouldBeNil)
			read += n
		}
	})
}

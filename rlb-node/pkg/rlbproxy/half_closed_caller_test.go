package rlbproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// halfClose sends a prompt, reads the answer until it holds begun, ends its own side of the
// connection and returns all that comes, and whether that is a complete answer.
func halfClose(f *fixture, path, begun string) (got string, complete bool) {
	address, err := net.ResolveTCPAddr("tcp", strings.TrimPrefix(f.proxy.URL, "http://"))
	So(err, ShouldBeNil)
	conn, err := net.DialTCP("tcp", nil, address)
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Token-Count: 10,4\r\nContent-Length: 1\r\n\r\nb", path)
	So(err, ShouldBeNil)
	var head strings.Builder
	for b := make([]byte, 1); !strings.Contains(head.String(), begun); {
		_, err := conn.Read(b)
		So(err, ShouldBeNil)
		head.Write(b)
	}
	So(conn.CloseWrite(), ShouldBeNil)
	answer, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head.String()), conn)), nil)
	if err != nil {
		return head.String(), false
	}
	body, err := io.ReadAll(answer.Body)
	return string(body), err == nil
}

func TestCallerThatClosesItsSideDoesNotGetAPartAsTheWholeAnswer(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	Convey("Given an engine that never ends its stream", t, func() {
		f := newFixture(t)
		events := ""
		f.add(t, "e1", "llm", "a").Intercept = func(w http.ResponseWriter, q *http.Request, _ int) bool {
			if events != "" {
				w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
				w.Header().Set("X-Server-Stamp", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, events)
				_ = http.NewResponseController(w).Flush()
			}
			<-q.Context().Done()
			return true
		}
		for _, path := range []string{"/plan/x", "/talk/x"} {
			Convey("its begin is no whole answer on "+path, func() {
				events = first
				got, complete := halfClose(f, path, first)
				So(got, ShouldStartWith, first)
				So(complete, ShouldBeFalse)
			})
			Convey("no answer is no success on "+path, func() {
				_, complete := halfClose(f, path, "")
				So(complete, ShouldBeFalse)
			})
		}
	})
}

func TestCallerWithoutChunksSeesThatAStreamBroke(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	Convey("Given an engine whose stream breaks and a caller that speaks HTTP/1.0", t, func() {
		f := newFixture(t)
		f.add(t, "e1", "llm", "a").Intercept = answerUnframed("text/event-stream", first+"id: 2\n", false)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.proxy.URL, "http://"))
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "POST /plan/x HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Token-Count: 10,4\r\nContent-Length: 1\r\n\r\nb")
		So(err, ShouldBeNil)
		Convey("its connection is reset", func() {
			_, err := io.ReadAll(conn)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
	})
}

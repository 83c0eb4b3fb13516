package rlbdispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	. "github.com/smartystreets/goconvey/convey"
)

// scriptedEndpoint answers the n-th request on each connection with the n-th of its
// scripts.
type scriptedEndpoint struct {
	scripts     []string
	connections atomic.Int32
}

func (e *scriptedEndpoint) dial(context.Context, string) (net.Conn, error) {
	e.connections.Add(1)
	client, server := net.Pipe()
	go func() {
		reader := bufio.NewReader(server)
		for _, script := range e.scripts {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := server.Write([]byte(script)); err != nil {
				return
			}
		}
	}()
	return client, nil
}

func answerTo(id string, status int) string {
	header := ""
	if id != "" {
		header = "X-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 2\r\n\r\nok", status, header)
}

// dispatch sends a request and returns the status of its answer.
func dispatch(d *Dispatcher, id string) (int, error) {
	in, err := d.Send(context.Background(), "e", &Outgoing{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(time.Minute), ID: id}, func() {})
	if err != nil {
		return 0, err
	}
	if _, err := in.ReadAll(100); err != nil {
		in.Abort()
		return 0, err
	}
	in.Done()
	return in.StatusCode, nil
}

func newDispatcher(t *testing.T, e *scriptedEndpoint, requireID bool) *Dispatcher {
	t.Helper()
	d, closeDispatcher := New(Opts{
		Dial: e.dial, IDHeader: "X-Request-Id", RequireID: requireID,
		FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Minute,
	})
	t.Cleanup(closeDispatcher)
	return d
}

func shouldBeStatus(status int, err error, want int) {
	So(err, ShouldBeNil)
	So(status, ShouldEqual, want)
}

func TestRefusalWrittenTwiceIsNotBelievedForTheSameRequestSentAgain(t *testing.T) {
	Convey("A request that was refused is sent again on a connection that did not bring the refusal", t, func() {
		e := &scriptedEndpoint{scripts: []string{answerTo("a", http.StatusServiceUnavailable), answerTo("a", http.StatusServiceUnavailable) + answerTo("a", http.StatusOK)}}
		d := newDispatcher(t, e, true)
		status, err := dispatch(d, "a")
		shouldBeStatus(status, err, http.StatusServiceUnavailable)
		e.scripts = []string{answerTo("a", http.StatusOK)}
		status, err = dispatch(d, "a")
		shouldBeStatus(status, err, http.StatusOK)
		So(e.connections.Load(), ShouldEqual, 2)
	})
	Convey("A connection is closed after some failures, as it remembers the IDs of only so many", t, func() {
		e := &scriptedEndpoint{}
		for n := range maxFailedIDs {
			e.scripts = append(e.scripts, answerTo(fmt.Sprint(n), http.StatusTooManyRequests))
		}
		d := newDispatcher(t, e, true)
		for n := range maxFailedIDs {
			status, err := dispatch(d, fmt.Sprint(n))
			shouldBeStatus(status, err, http.StatusTooManyRequests)
		}
		So(e.connections.Load(), ShouldEqual, 1)
		_, err := dispatch(d, "0")
		So(err, ShouldBeNil)
		So(e.connections.Load(), ShouldEqual, 2)
	})
}

func TestLateCopiesOfOtherAnswersAreDropped(t *testing.T) {
	for name, late := range map[string]string{
		"a refusal":                    answerTo("a", http.StatusServiceUnavailable),
		"a whole answer":               answerTo("a", http.StatusOK),
		"an answer that names nothing": answerTo("", http.StatusServiceUnavailable),
		"interim answers":              "HTTP/1.1 103 x\r\nX-Request-Id: a\r\n\r\nHTTP/1.1 100 x\r\n\r\n",
		"a chunked answer":             "HTTP/1.1 200 x\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		Convey("Late, "+name+" is not taken for the answer to the next request", t, func() {
			e := &scriptedEndpoint{scripts: []string{answerTo("a", http.StatusOK), late + answerTo("b", http.StatusOK)}}
			d := newDispatcher(t, e, false)
			status, err := dispatch(d, "a")
			shouldBeStatus(status, err, http.StatusOK)
			status, err = dispatch(d, "b")
			shouldBeStatus(status, err, http.StatusOK)
			So(e.connections.Load(), ShouldEqual, 1)
		})
	}
	Convey("The head of an earlier answer without its body breaks the connection", t, func() {
		e := &scriptedEndpoint{scripts: []string{answerTo("a", http.StatusOK), "HTTP/1.1 200 x\r\nX-Request-Id: a\r\nContent-Length: 9\r\n\r\n" + answerTo("b", http.StatusOK)}}
		d := newDispatcher(t, e, true)
		status, err := dispatch(d, "a")
		shouldBeStatus(status, err, http.StatusOK)
		_, err = dispatch(d, "b")
		So(err, ShouldNotBeNil)
	})
}

func TestAnswersThatNameNoRequest(t *testing.T) {
	Convey("An endpoint whose answers name no request gets each one on a new connection", t, func() {
		e := &scriptedEndpoint{scripts: []string{answerTo("", http.StatusOK), answerTo("", http.StatusOK)}}
		d := newDispatcher(t, e, false)
		for range 3 {
			status, err := dispatch(d, "a")
			shouldBeStatus(status, err, http.StatusOK)
		}
		So(e.connections.Load(), ShouldEqual, 3)
	})
	Convey("Where answers must name it, that is the answer to another request", t, func() {
		d := newDispatcher(t, &scriptedEndpoint{scripts: []string{answerTo("", http.StatusOK)}}, true)
		_, err := dispatch(d, "a")
		kind, _ := rlberror.KindOf[rlbroute.Fault](err)
		So(kind, ShouldEqual, rlbroute.FaultForeign)
	})
}

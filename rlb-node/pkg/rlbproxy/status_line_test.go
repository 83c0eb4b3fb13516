package rlbproxy

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// framings are the ways in which a head says where its body ends, with a body each.
var framings = map[string]struct{ header, body string }{
	"no body":          {"Content-Length: 0\r\n", ""},
	"a length":         {"Content-Length: 4\r\n", "body"},
	"chunks":           {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
	"neither":          {"", "body"},
	"a stated refusal": {"Content-Length: 0\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n", ""},
	"a stream":         {"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"},
}

// answerOf returns the bytes of an answer to a request.
func answerOf(q *http.Request, status, header, body string) string {
	return "HTTP/1.1 " + status + " Text\r\nX-Request-Id: " + q.Header.Get("X-Request-Id") + "\r\nX-Server-Stamp: raw\r\n" + header + "\r\n" + body
}

// following returns what follows an answer on its connection, by name.
var following = map[string]func(q *http.Request) string{
	"nothing": func(*http.Request) string { return "" },
	"a complete answer": func(q *http.Request) string {
		return answerOf(q, "200", "Content-Length: 2\r\n", "ok")
	},
	"another such head": func(q *http.Request) string { return answerOf(q, "000", "", "") },
	"bytes":             func(*http.Request) string { return "\x00\r\n\r\nHTTP" },
}

// writeRaw answers with bytes, and closes the connection or leaves it to the caller to do so.
func writeRaw(replica *rlbfakedeployment.Replica, bytes func(q *http.Request) string, closes bool) {
	replica.Intercept = func(w http.ResponseWriter, q *http.Request, _ int) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte(bytes(q)))
		if closes {
			_ = conn.Close()
			return true
		}
		go func() { // the caller ends it
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}()
		return true
	}
}

// TestStatusLineOfNoFinalAnswerReachesNoCaller guards against callers that get, as an answer, what
// an endpoint in trouble sent with a status such as 000, or what followed it on the connection.
func TestStatusLineOfNoFinalAnswerReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for framing, head := range framings {
			for next, follows := range following {
				for _, closes := range []bool{false, true} {
					t.Run(strings.Join([]string{status, framing, next, strconv.FormatBool(closes)}, " "), func(t *testing.T) {
						assertNoAnswer(t, func(q *http.Request) string { return answerOf(q, status, head.header, head.body) + follows(q) }, closes)
					})
				}
			}
		}
	}
}

// TestInterimAnswerWithABodyReachesNoCaller guards against the body of an interim answer, which
// can have none, that is taken for the final one.
func TestInterimAnswerWithABodyReachesNoCaller(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		for _, framing := range []string{"a length", "chunks"} {
			for next, follows := range following {
				t.Run(strings.Join([]string{status, framing, next}, " "), func(t *testing.T) {
					head := framings[framing]
					assertNoAnswer(t, func(q *http.Request) string {
						return answerOf(q, status, head.header, "") + follows(q) // as the body
					}, true)
				})
			}
		}
	}
}

// assertNoAnswer checks on each kind of route that the caller gets nothing of what the first
// endpoint sends, and that only a request that may run twice is sent to the second one.
func assertNoAnswer(t *testing.T, bytes func(q *http.Request) string, closes bool) {
	t.Helper()
	for path, service := range map[string]string{"/read/x": "plain", "/write/x": "plain", "/talk/x": "llm", "/plan/x": "llm"} {
		f := newFixture(t)
		writeRaw(f.add(t, "first", service, "a"), bytes, closes)
		second := f.add(t, "second", service, "b")
		var got callerResult
		if service == "llm" {
			got = f.sendPrompt(path)
		} else {
			got = f.send(http.MethodPost, path, "b", nil)
		}
		mayRepeat := path == "/read/x" || path == "/talk/x"
		stamp := got.header.Get("X-Server-Stamp")
		switch {
		case mayRepeat && (got.status != http.StatusOK || !strings.HasPrefix(stamp, "second.") || got.err != nil):
			t.Errorf("%s: status %d, stamp %q, error %v; want the answer of the second endpoint", path, got.status, stamp, got.err)
		case !mayRepeat && (got.status != http.StatusBadGateway || stamp != ""):
			t.Errorf("%s: status %d, stamp %q; want 502 without a stamp", path, got.status, stamp)
		case !mayRepeat && len(second.Runs()) > 0:
			t.Errorf("%s: the request was sent to a second endpoint", path)
		}
	}
}

// TestFinalAnswerAfterInterimOnesIsRelayed checks that interim answers as they should be are
// skipped.
func TestFinalAnswerAfterInterimOnesIsRelayed(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		t.Run(status, func(t *testing.T) {
			f := newFixture(t)
			writeRaw(f.add(t, "first", "plain", "a"), func(q *http.Request) string {
				interim := "HTTP/1.1 " + status + " Text\r\nX-Not-Executed: 1\r\n\r\n"
				return interim + interim + answerOf(q, "200", "Content-Length: 2\r\n", "ok")
			}, true)
			if got := f.send(http.MethodPost, "/write/x", "b", nil); got.status != http.StatusOK || got.body != "ok" {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

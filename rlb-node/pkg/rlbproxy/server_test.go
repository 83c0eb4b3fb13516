package rlbproxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func encodeEntry(replica *rlbfakedeployment.Replica) []byte {
	raw, err := json.Marshal(replica.Entry("ready"))
	if err != nil {
		panic(err) // the entry consists of plain values
	}
	return raw
}

func shouldHaveRun(replica *rlbfakedeployment.Replica, times int) {
	So(replica.Runs(), ShouldHaveLength, times)
}

func cutConnection(http.ResponseWriter, *http.Request, int) bool { panic(http.ErrAbortHandler) }

func notRun(status int) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return true
	}
}

func TestPlainRequests(t *testing.T) {
	Convey("Given two endpoints of a plain service", t, func() {
		f := newFixture(t)
		first, second := f.add(t, "e1", "plain", "a"), f.add(t, "e2", "plain", "b")
		Convey("method, path, query, body and answer are forwarded unchanged", func() {
			got := f.send(http.MethodPost, "/write/a%2Fb?x=%20y", "twelve bytes", nil)
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "POST /write/a%2Fb?x=%20y 12")
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "e1.1")
		})
		Convey("a non-idempotent request whose connection breaks is neither retried nor reported as not run", func() {
			first.Intercept = cutConnection
			got := f.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			shouldHaveRun(first, 1)
			shouldHaveRun(second, 0)
		})
		Convey("a request that the endpoint reports as not run is retried at the other", func() {
			first.Intercept = notRun(http.StatusServiceUnavailable)
			got := f.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusOK)
			shouldHaveRun(second, 1)
		})
		Convey("a request refused by both endpoints is reported as not run, with Retry-After", func() {
			first.Intercept, second.Intercept = notRun(503), notRun(503)
			got := f.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("an idempotent request whose connection breaks is retried at the other", func() {
			first.Intercept = cutConnection
			So(f.send(http.MethodGet, "/read/x", "", nil).status, ShouldEqual, http.StatusOK)
		})
		Convey("the server error is relayed unchanged if both endpoints fail", func() {
			failed := func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "failed")
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			first.Intercept, second.Intercept = failed, failed
			got := f.send(http.MethodGet, "/read/x", "", nil)
			So(got.status, ShouldEqual, http.StatusInternalServerError)
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "failed")
		})
		Convey("a request gets 504 at its deadline if the endpoint has not answered", func() {
			first.Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool { <-q.Context().Done(); return true }
			So(f.send(http.MethodPost, "/brief/x", "b", nil).status, ShouldEqual, http.StatusGatewayTimeout)
		})
	})
}

func TestInvalidAnswers(t *testing.T) {
	changes := map[string]func(http.ResponseWriter){
		"without a server stamp":          func(w http.ResponseWriter) { w.Header().Del("X-Server-Stamp") },
		"with a content encoding":         func(w http.ResponseWriter) { w.Header().Set("Content-Encoding", "gzip") },
		"to another request":              func(w http.ResponseWriter) { w.Header().Set("X-Request-Id", "other") },
		"shorter than its Content-Length": func(w http.ResponseWriter) { w.Header().Set("Content-Length", "99") },
	}
	for name, change := range changes {
		Convey("An answer "+name+" is not relayed as a success", t, func() {
			f := newFixture(t)
			f.add(t, "e1", "plain", "a").Intercept = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				change(w)
				_, _ = w.Write([]byte("body"))
				return true
			}
			So(f.send(http.MethodPost, "/write/x", "b", nil).status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

func TestHeaders(t *testing.T) {
	Convey("Internal headers of a caller are removed or replaced, its other headers are forwarded", t, func() {
		f := newFixture(t)
		var seen http.Header
		f.add(t, "e1", "llm", "a").Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			seen = q.Header.Clone()
			return false
		}
		f.send(http.MethodPost, "/talk/x", "b", map[string]string{
			"X-Model": "m", "X-Token-Count": "10,1", "X-Hold": "h", "X-Pin-Ms": "1", "X-Kv-Backup": "1.2.3.4:5", "Kv-From": "1.2.3.4:5/x",
			"X-Expect-Instance": "forged", "X-Request-Priority": "0", "X-Prompt-Prefix": "5c:8", "Connection": "X-Own", "X-Own": "1", "X-Other": "2",
		})
		for _, name := range []string{"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Own"} {
			So(seen.Get(name), ShouldBeEmpty)
		}
		So(seen.Get("X-Expect-Instance"), ShouldEqual, "e1")
		So(seen.Get("X-Other"), ShouldEqual, "2")
		So(seen.Get("X-Prompt-Prefix"), ShouldEqual, "5c:8")
		left, err := strconv.Atoi(seen.Get("X-Request-Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 1, 60000)
	})
}

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: 9c41d07be2a35f68 token %d\n\n", n, n)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	Convey("Given two endpoints with the model", t, func() {
		f := newFixture(t)
		first, second := f.add(t, "e1", "llm", "a"), f.add(t, "e2", "llm", "b")
		stopAt := func(n int) func(http.ResponseWriter, *http.Request, int) bool {
			return func(w http.ResponseWriter, q *http.Request, _ int) bool { first.Stream(w, q, n); return true }
		}
		Convey("every event arrives once, in order", func() {
			got := f.sendPrompt("/talk/x")
			So(got.err, ShouldBeNil)
			So(got.body, ShouldEqual, events(1, 4))
		})
		Convey("a resumable stream that breaks is resumed at the other endpoint within the same answer", func() {
			first.Intercept = stopAt(3)
			got := f.sendPrompt("/talk/x")
			So(got.err, ShouldBeNil)
			So(got.body, ShouldEqual, events(1, 4))
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "e1.1")
			shouldHaveRun(second, 1)
		})
		Convey("a stream that is not resumable is aborted, so that the caller sees it is incomplete", func() {
			first.Intercept = stopAt(3)
			got := f.sendPrompt("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 2))
			shouldHaveRun(second, 0)
		})
		Convey("an incomplete event is never relayed", func() {
			first.Intercept = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				_, _ = w.Write([]byte(events(1, 1) + "id: 2\nda"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			got := f.sendPrompt("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 1))
		})
		Convey("a stream with a missing event is aborted before the gap", func() {
			first.Intercept = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				_, _ = w.Write([]byte(events(1, 1) + events(3, 4)))
				return true
			}
			got := f.sendPrompt("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 1))
		})
	})
}

func TestSilentStreams(t *testing.T) {
	Convey("Given a stream that has started at one of two endpoints", t, func() {
		f := newFixture(t)
		f.add(t, "e1", "llm", "a")
		f.add(t, "e2", "llm", "b")
		req := &request{route: &rlbdeployment.Route{Kind: rlbdeployment.KindStream, Resumable: true, MaxAttempts: 2}, service: "llm", model: "m", tried: []string{"e1"}, started: true}
		Convey("the stream stays at an endpoint that is only slow", func() {
			So(f.server.canFailOver(req), ShouldBeFalse)
		})
		Convey("it may move from an endpoint where other requests failed", func() {
			e := f.view.Snapshot().ByID["e1"]
			f.server.Balancer.Begin(e, rlbbalancer.RequestLoad{})
			f.server.Balancer.End(f.server.Now(), e, rlbbalancer.RequestLoad{}, rlbbalancer.OutcomeFailed, 0)
			So(f.server.canFailOver(req), ShouldBeTrue)
		})
		Convey("it may move from an endpoint that was removed, unless there is no attempt left", func() {
			req.tried = []string{"gone"}
			So(f.server.canFailOver(req), ShouldBeTrue)
			req.route.MaxAttempts = 1
			So(f.server.canFailOver(req), ShouldBeFalse)
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Without a config requests are refused with 503, not 404", t, func() {
		f := newFixture(t)
		So(f.send(http.MethodGet, "/read/x", "", nil).status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("Given one endpoint with the model", t, func() {
		f := newFixture(t)
		first := f.add(t, "e1", "llm", "a")
		Convey("a path without a route, a body that is too long and an unknown model are refused", func() {
			So(f.send(http.MethodGet, "/none/x", "", nil).status, ShouldEqual, http.StatusNotFound)
			So(f.send(http.MethodPost, "/talk/x", strings.Repeat("x", 1<<17), nil).status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(f.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": "absent"}).status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(first, 0)
		})
		Convey("models and adapters that are not listed are refused and do not count as demand", func() {
			for _, name := range []string{"absent", "m/a9"} {
				got := f.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": name})
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			}
			So(f.server.Demand().Read(), ShouldBeEmpty)
		})
		Convey("a request for an adapter that no endpoint can load is refused as not run", func() {
			got := f.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": "m/a2"})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(first, 0)
		})
		Convey("a request that crashed three endpoints is not sent again", func() {
			first.Intercept = cutConnection
			for range 3 {
				So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusBadGateway)
			}
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(first, 3)
		})
		Convey("crashes recorded by other instances count, and its own are published", func() {
			first.Intercept = cutConnection
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusBadGateway)
			published := f.server.Crashes.Report()
			So(published, ShouldHaveLength, 1)
			So(published[0].Crashes, ShouldHaveLength, 1)
			elsewhere := rlbcrash.Record{Property: published[0].Property, Crashes: []rlbcrash.Crash{{ID: 1, Endpoint: 1, At: f.now().Add(-2 * time.Second)}, {ID: 2, Endpoint: 2, At: f.now().Add(-time.Second)}}}
			f.server.Crashes.Merge([]rlbcrash.Record{elsewhere})
			So(f.sendPrompt("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(first, 1)
		})
		Convey("a draining instance is not ready but serves requests until it is closed", func() {
			f.server.Drain(f.now().Add(2 * time.Minute))
			So(f.server.Ready(), ShouldBeFalse)
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusOK)
			f.server.Close()
			So(f.sendPrompt("/talk/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldHaveRun(first, 1)
		})
	})
}

func TestCallerDisconnects(t *testing.T) {
	Convey("A caller that disconnects cancels its request at the endpoint", t, func() {
		f := newFixture(t)
		freed := make(chan struct{})
		var begun atomic.Bool
		began := make(chan struct{})
		f.add(t, "e1", "llm", "a").Intercept = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			if begun.CompareAndSwap(false, true) {
				close(began)
			}
			<-q.Context().Done()
			close(freed)
			return true
		}
		q, err := http.NewRequest(http.MethodPost, f.proxy.URL+"/plan/x", strings.NewReader("b"))
		So(err, ShouldBeNil)
		q.Host = "h.example"
		q.Header.Set("X-Model", "m")
		q.Header.Set("X-Request-Id", "1")
		done := make(chan struct{})
		client := &http.Transport{}
		go func() {
			_, _ = client.RoundTrip(q.WithContext(t.Context()))
			close(done)
		}()
		<-began
		f.proxy.CloseClientConnections()
		<-freed
		<-done
		So(f.server.InFlight(), ShouldBeLessThanOrEqualTo, int64(1))
	})
}

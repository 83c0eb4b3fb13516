package rlbproxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakesite"
	. "github.com/smartystreets/goconvey/convey"
)

func entry(replica *rlbfakesite.Replica) []byte {
	raw, err := json.Marshal(replica.Entry("ready"))
	So(err, ShouldBeNil)
	return raw
}

func shouldRun(replica *rlbfakesite.Replica, times int) { So(replica.Runs(), ShouldHaveLength, times) }

func cut(http.ResponseWriter, *http.Request, int) bool { panic(http.ErrAbortHandler) }

func notRun(status int) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return true
	}
}

func TestPlainRequests(t *testing.T) {
	Convey("Given two endpoints of a plain service", t, func() {
		r := newRig(t)
		first, second := r.add(t, "e1", "plain", "a"), r.add(t, "e2", "plain", "b")
		Convey("method, path, query and body arrive unchanged, and the answer too", func() {
			got := r.send(http.MethodPost, "/write/a%2Fb?x=%20y", "twelve bytes", nil)
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "POST /write/a%2Fb?x=%20y 12")
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "e1.1")
		})
		Convey("a request that runs once and is cut off is not sent again, and not called not run", func() {
			first.Answer = cut
			got := r.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			shouldRun(first, 1)
			shouldRun(second, 0)
		})
		Convey("one that the endpoint says it did not run goes to the other", func() {
			first.Answer = notRun(http.StatusServiceUnavailable)
			got := r.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusOK)
			shouldRun(second, 1)
		})
		Convey("refused by both, it is told as not run, with a time to come back", func() {
			first.Answer, second.Answer = notRun(503), notRun(503)
			got := r.send(http.MethodPost, "/write/x", "b", nil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("an idempotent request that is cut off is sent to the other", func() {
			first.Answer = cut
			So(r.send(http.MethodGet, "/read/x", "", nil).status, ShouldEqual, http.StatusOK)
		})
		Convey("a failure of both endpoints is passed on as it is", func() {
			failed := func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "failed")
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			first.Answer, second.Answer = failed, failed
			got := r.send(http.MethodGet, "/read/x", "", nil)
			So(got.status, ShouldEqual, http.StatusInternalServerError)
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "failed")
		})
		Convey("an answer of an endpoint at the time limit is not awaited for longer", func() {
			first.Answer = func(_ http.ResponseWriter, q *http.Request, _ int) bool { <-q.Context().Done(); return true }
			So(r.send(http.MethodPost, "/brief/x", "b", nil).status, ShouldEqual, http.StatusGatewayTimeout)
		})
	})
}

func TestForeignAnswers(t *testing.T) {
	spoiled := map[string]func(http.ResponseWriter){
		"without proof":        func(w http.ResponseWriter) { w.Header().Del("X-Server-Stamp") },
		"with an encoding":     func(w http.ResponseWriter) { w.Header().Set("Content-Encoding", "gzip") },
		"of another request":   func(w http.ResponseWriter) { w.Header().Set("X-Request-Id", "other") },
		"shorter than it says": func(w http.ResponseWriter) { w.Header().Set("Content-Length", "99") },
	}
	for name, spoil := range spoiled {
		Convey("An answer "+name+" is not a success", t, func() {
			r := newRig(t)
			r.add(t, "e1", "plain", "a").Answer = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				spoil(w)
				_, _ = w.Write([]byte("body"))
				return true
			}
			So(r.send(http.MethodPost, "/write/x", "b", nil).status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

func TestHeaders(t *testing.T) {
	Convey("Headers that the system sets are its own, others are the caller's", t, func() {
		r := newRig(t)
		var seen http.Header
		r.add(t, "e1", "llm", "a").Answer = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			seen = q.Header.Clone()
			return false
		}
		r.send(http.MethodPost, "/talk/x", "b", map[string]string{
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
		r := newRig(t)
		first, second := r.add(t, "e1", "llm", "a"), r.add(t, "e2", "llm", "b")
		stopAt := func(n int) func(http.ResponseWriter, *http.Request, int) bool {
			return func(w http.ResponseWriter, q *http.Request, _ int) bool { first.Stream(w, q, n); return true }
		}
		Convey("every event arrives once, in order", func() {
			got := r.talk("/talk/x")
			So(got.err, ShouldBeNil)
			So(got.body, ShouldEqual, events(1, 4))
		})
		Convey("a resumable stream that breaks goes on at the other endpoint, within one answer", func() {
			first.Answer = stopAt(3)
			got := r.talk("/talk/x")
			So(got.err, ShouldBeNil)
			So(got.body, ShouldEqual, events(1, 4))
			So(got.header.Get("X-Server-Stamp"), ShouldEqual, "e1.1")
			shouldRun(second, 1)
		})
		Convey("one that may not be resumed ends visibly incomplete", func() {
			first.Answer = stopAt(3)
			got := r.talk("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 2))
			shouldRun(second, 0)
		})
		Convey("half an event is never passed on", func() {
			first.Answer = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				_, _ = w.Write([]byte(events(1, 1) + "id: 2\nda"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			got := r.talk("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 1))
		})
		Convey("a missing event is not passed over", func() {
			first.Answer = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				w.Header().Set("X-Server-Stamp", "e1.1")
				_, _ = w.Write([]byte(events(1, 1) + events(3, 4)))
				return true
			}
			got := r.talk("/plan/x")
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldEqual, events(1, 1))
		})
	})
}

func TestSilentStreams(t *testing.T) {
	Convey("Given a stream that has begun at one of two endpoints", t, func() {
		r := newRig(t)
		r.add(t, "e1", "llm", "a")
		r.add(t, "e2", "llm", "b")
		x := &request{route: &rlbdeployment.Route{Kind: rlbdeployment.KindStream, Resumable: true, MaxAttempts: 2}, service: "llm", model: "m", tried: []string{"e1"}, started: true}
		Convey("an endpoint that is only slow keeps it", func() {
			So(r.server.mayMove(x), ShouldBeFalse)
		})
		Convey("one where other requests failed does not", func() {
			e := r.view.Snapshot().ByID["e1"]
			r.server.Loads.Begin(e, rlbbalancer.RequestLoad{})
			r.server.Loads.End(r.server.Now(), e, rlbbalancer.RequestLoad{}, rlbbalancer.OutcomeFailed, 0)
			So(r.server.mayMove(x), ShouldBeTrue)
		})
		Convey("nor does one that is gone, unless there is no attempt left", func() {
			x.tried = []string{"gone"}
			So(r.server.mayMove(x), ShouldBeTrue)
			x.route.MaxAttempts = 1
			So(r.server.mayMove(x), ShouldBeFalse)
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Without a config nothing is called unknown", t, func() {
		r := newRig(t)
		So(r.send(http.MethodGet, "/read/x", "", nil).status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("Given one endpoint with the model", t, func() {
		r := newRig(t)
		first := r.add(t, "e1", "llm", "a")
		Convey("a path without a route, a long body and a missing model are refused", func() {
			So(r.send(http.MethodGet, "/none/x", "", nil).status, ShouldEqual, http.StatusNotFound)
			So(r.send(http.MethodPost, "/talk/x", strings.Repeat("x", 1<<17), nil).status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(r.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": "absent"}).status, ShouldEqual, http.StatusServiceUnavailable)
			shouldRun(first, 0)
		})
		Convey("models and adapters that are not listed are refused, and leave no trace in what others are told", func() {
			for _, name := range []string{"absent", "m/a9"} {
				got := r.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": name})
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			}
			So(r.server.Demand().Read(), ShouldBeEmpty)
		})
		Convey("an adapter that nobody can provide is refused as not run", func() {
			got := r.send(http.MethodPost, "/talk/x", "b", map[string]string{"X-Model": "m/a2"})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			shouldRun(first, 0)
		})
		Convey("a request that crashed three endpoints is not sent any more", func() {
			first.Answer = cut
			for range 3 {
				So(r.talk("/plan/x").status, ShouldEqual, http.StatusBadGateway)
			}
			So(r.talk("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldRun(first, 3)
		})
		Convey("crashes at other instances count, and its own are told", func() {
			first.Answer = cut
			r.elsewhere = 2
			So(r.talk("/plan/x").status, ShouldEqual, http.StatusBadGateway)
			So(r.talk("/plan/x").status, ShouldEqual, http.StatusServiceUnavailable)
			So(r.server.Crashes(), ShouldHaveLength, 1)
			shouldRun(first, 1)
		})
		Convey("a stopping instance serves, ends connections, and refuses once it is closed", func() {
			r.server.Leave()
			So(r.server.Ready(), ShouldBeFalse)
			So(r.talk("/talk/x").status, ShouldEqual, http.StatusOK)
			r.server.Close()
			So(r.talk("/talk/x").status, ShouldEqual, http.StatusServiceUnavailable)
			shouldRun(first, 1)
		})
	})
}

func TestCallerLeaves(t *testing.T) {
	Convey("A caller that leaves frees its endpoint", t, func() {
		r := newRig(t)
		freed := make(chan struct{})
		var begun atomic.Bool
		began := make(chan struct{})
		r.add(t, "e1", "llm", "a").Answer = func(_ http.ResponseWriter, q *http.Request, _ int) bool {
			if begun.CompareAndSwap(false, true) {
				close(began)
			}
			<-q.Context().Done()
			close(freed)
			return true
		}
		q, err := http.NewRequest(http.MethodPost, r.front.URL+"/plan/x", strings.NewReader("b"))
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
		r.front.CloseClientConnections()
		<-freed
		<-done
		So(r.server.Active(), ShouldBeLessThanOrEqualTo, int64(1))
	})
}

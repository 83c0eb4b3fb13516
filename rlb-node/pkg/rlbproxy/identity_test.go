package rlbproxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeQuotas admits requests until a workspace has used its budget. The zero value admits all.
type fakeQuotas struct {
	mu      sync.Mutex
	budget  float64 // of each workspace; 0: no limit
	used    map[string]float64
	refunds int
}

func (q *fakeQuotas) Admit(workspace string, _ rlbdeployment.Quota, cost float64) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.budget > 0 && q.used[workspace]+cost > q.budget {
		return false, 1500 * time.Millisecond
	}
	if q.used == nil {
		q.used = map[string]float64{}
	}
	q.used[workspace] += cost
	return true, 0
}

func (q *fakeQuotas) Refund(workspace string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used[workspace] -= cost
	q.refunds++
}

func (q *fakeQuotas) usedBy(workspace string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used[workspace]
}

const redAndBlue = `[{"Name":"red","ApiKeys":["red-1","red-2"],"Priority":0,"Unit":"tokens","PlainTokens":200,"RatePerS":1000,"Burst":1000},{"Name":"blue","ApiKeys":["blue-1"]}]`

// withWorkspaces returns the config of the fixture with a version and workspaces, in which
// reading is open to all.
func withWorkspaces(version int, workspaces string) []byte {
	changed := strings.Replace(config, `{"Version":3,`, fmt.Sprintf(`{"Version":%d,"Tenants":%s,`, version, workspaces), 1)
	return []byte(strings.Replace(changed, `"Name":"read",`, `"Name":"read","PublicAccess":true,`, 1))
}

// headersSeen records the headers of the requests that a replica runs.
type headersSeen struct {
	mu  sync.Mutex
	all []http.Header
}

func (h *headersSeen) intercept(_ http.ResponseWriter, r *http.Request, _ int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, r.Header.Clone())
	return false
}

func (h *headersSeen) last() http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[len(h.all)-1]
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

func TestCallersAreIdentifiedByTheirKeys(t *testing.T) {
	Convey("Given workspaces red and blue, and a route that is open to all", t, func() {
		f := newFixture(t)
		seen := &headersSeen{}
		plain := f.add(t, "p1", "plain", "a")
		plain.Intercept = seen.intercept
		engine := f.add(t, "e1", "llm", "a")
		engine.Intercept = seen.intercept
		f.view.ApplyConfig(withWorkspaces(4, redAndBlue), "test")
		shouldAnswer := func(path string, header map[string]string, status int) callerResult {
			got := f.send(http.MethodPost, path, "body", header)
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, status)
			return got
		}
		Convey("a known key is served; the endpoint gets the workspace that it names, and not the key", func() {
			for key, workspace := range map[string]string{"red-1": "red", "red-2": "red", "blue-1": "blue"} {
				header := bearer(key)
				header["X-Tenant"] = "green"
				shouldAnswer("/write/x", header, http.StatusOK)
				So(seen.last().Values("X-Tenant"), ShouldResemble, []string{workspace})
				So(seen.last().Values("Authorization"), ShouldBeEmpty)
			}
		})
		Convey("an unknown or a missing key is refused with 401 and reaches no endpoint", func() {
			for _, header := range []map[string]string{bearer("green-1"), bearer(""), {"Authorization": "red-1"}, {"X-Tenant": "red"}, nil} {
				got := shouldAnswer("/write/x", header, http.StatusUnauthorized)
				So(got.header.Get("WWW-Authenticate"), ShouldEqual, "Bearer")
				So(got.header.Get("Retry-After"), ShouldBeEmpty)
			}
			So(plain.Runs(), ShouldBeEmpty)
		})
		Convey("a public route serves all; only a known key names a workspace", func() {
			for key, workspace := range map[string][]string{"red-1": {"red"}, "green-1": nil} {
				header := bearer(key)
				header["X-Tenant"] = "green"
				shouldAnswer("/read/x", header, http.StatusOK)
				So(seen.last()["X-Tenant"], ShouldResemble, workspace)
				So(seen.last().Values("Authorization"), ShouldBeEmpty)
			}
		})
		Convey("a workspace's priority goes before that of the route", func() {
			f.view.ApplyConfig(withWorkspaces(5, `[{"Name":"red","ApiKeys":["red-1"],"Priority":0},{"Name":"blue","ApiKeys":["blue-1"],"Priority":3}]`), "test")
			for key, priority := range map[string]string{"red-1": "0", "blue-1": "3"} {
				header := bearer(key)
				header["X-Model"] = "m"
				shouldAnswer("/plan/x", header, http.StatusOK)
				So(seen.last().Get("X-Request-Priority"), ShouldEqual, priority)
			}
		})
		Convey("a withdrawn key is refused on a kept connection, and a new one is served", func() {
			f.view.ApplyConfig(withWorkspaces(5, `[{"Name":"red","ApiKeys":["red-2","red-3"]}]`), "test")
			shouldAnswer("/write/x", bearer("red-1"), http.StatusUnauthorized)
			shouldAnswer("/write/x", bearer("red-3"), http.StatusOK)
		})
		Convey("a malformed config changes nothing", func() {
			f.view.ApplyConfig(withWorkspaces(5, `[{"Name":"green","ApiKeys":["green-1","green-1"]}]`), "test")
			shouldAnswer("/write/x", bearer("green-1"), http.StatusUnauthorized)
			shouldAnswer("/write/x", bearer("red-1"), http.StatusOK)
		})
		Convey("while a newer config is known to exist, an unknown key is refused with 503 in place of 401", func() {
			f.outdated.Store(true)
			got := shouldAnswer("/write/x", bearer("green-1"), http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldEqual, "0.3")
			shouldAnswer("/write/x", bearer("red-1"), http.StatusOK)
		})
		Convey("no key is in a log, a metric or an answer", func() {
			logged := &memory.Handler{}
			f.server.Log = &log.Logger{Handler: logged, Level: log.DebugLevel}
			bodies := shouldAnswer("/write/x", bearer("red-1"), http.StatusOK).body +
				shouldAnswer("/write/x", bearer("green-1"), http.StatusUnauthorized).body
			text, err := json.Marshal(logged.Entries)
			So(err, ShouldBeNil)
			So(string(text), ShouldContainSubstring, `"workspace":"red"`)
			counted, err := json.Marshal(f.server.Metrics.GetAll())
			So(err, ShouldBeNil)
			for _, shown := range []string{bodies, string(text), string(counted)} {
				So(shown, ShouldNotContainSubstring, "red-1")
				So(shown, ShouldNotContainSubstring, "green-1")
			}
		})
	})
	Convey("Before the first config, a request is refused with 503, whatever its key", t, func() {
		f := newFixture(t)
		So(f.send(http.MethodPost, "/write/x", "body", bearer("red-1")).status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("Without workspaces, headers pass as they are", t, func() {
		f := newFixture(t)
		seen := &headersSeen{}
		f.add(t, "p1", "plain", "a").Intercept = seen.intercept
		So(f.send(http.MethodPost, "/write/x", "body", map[string]string{"Authorization": "Bearer k", "X-Tenant": "green"}).status, ShouldEqual, http.StatusOK)
		So(seen.last().Get("Authorization"), ShouldEqual, "Bearer k")
		So(seen.last().Get("X-Tenant"), ShouldEqual, "green")
	})
}

func TestRefusedCallerIsAnsweredBeforeItsBodyArrives(t *testing.T) {
	Convey("An unknown key is refused although nothing of the body was sent", t, func() {
		f := newFixture(t)
		f.add(t, "p1", "plain", "a")
		f.view.ApplyConfig(withWorkspaces(4, redAndBlue), "test")
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.proxy.URL, "http://"))
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nContent-Length: 4\r\n\r\n")
		So(err, ShouldBeNil)
		reader := bufio.NewReader(conn)
		answer, err := http.ReadResponse(reader, nil)
		So(err, ShouldBeNil)
		So(answer.StatusCode, ShouldEqual, http.StatusUnauthorized)
		_, err = io.Copy(io.Discard, answer.Body)
		So(err, ShouldBeNil)
		Convey("and the connection serves the next request after it", func() {
			_, err = fmt.Fprint(conn, "bodyGET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f69\r\n\r\n")
			So(err, ShouldBeNil)
			next, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(next.StatusCode, ShouldEqual, http.StatusOK)
		})
		Convey("and a body that ends early does not become the next request", func() {
			_, err = fmt.Fprint(conn, "bod")
			So(err, ShouldBeNil)
			So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_, err = http.ReadResponse(reader, nil)
			So(err, ShouldNotBeNil)
		})
	})
}

func TestQuotasOfWorkspaces(t *testing.T) {
	Convey("Given a workspace with a quota of tokens", t, func() {
		f := newFixture(t)
		engine := f.add(t, "e1", "llm", "a")
		f.view.ApplyConfig(withWorkspaces(4, redAndBlue), "test")
		ask := func(key, model, tokens string) callerResult {
			header := bearer(key)
			header["X-Model"], header["X-Token-Count"] = model, tokens
			return f.send(http.MethodPost, "/plan/x", "prompt", header)
		}
		counted := func(name string) int64 { return metrics.GetOrRegisterCounter(name, f.server.Metrics).Count() }
		Convey("each request costs its tokens; what is beyond the quota is refused with 429 and does not run", func() {
			f.quotas.budget = 100
			So(ask("red-1", "m", "50,30").status, ShouldEqual, http.StatusOK)
			got := ask("red-2", "m", "20,1")
			So(got.status, ShouldEqual, http.StatusTooManyRequests)
			So(got.header.Get("Retry-After"), ShouldEqual, "1.5")
			So(ask("red-1", "m", "19,1").status, ShouldEqual, http.StatusOK)
			So(f.quotas.usedBy("red"), ShouldEqual, 100)
			So(len(engine.Runs()), ShouldEqual, 2)
			So(counted("workspace_asked_red"), ShouldEqual, 3)
			So(counted("workspace_admitted_red"), ShouldEqual, 2)
			So(counted("workspace_over_quota_red"), ShouldEqual, 1)
		})
		Convey("a request that did not run gives its tokens back, once", func() {
			So(ask("red-1", "unlisted", "50,30").status, ShouldEqual, http.StatusServiceUnavailable)
			engine.Refuse("1")
			So(ask("red-1", "m", "50,30").status, ShouldEqual, http.StatusServiceUnavailable)
			So(f.quotas.usedBy("red"), ShouldEqual, 0)
			So(f.quotas.refunds, ShouldEqual, 2)
			So(counted("workspace_not_run_red"), ShouldEqual, 2)
		})
		Convey("a request whose tokens are not stated counts as the quota says", func() {
			So(ask("red-1", "m", "").status, ShouldEqual, http.StatusOK)
			So(f.quotas.usedBy("red"), ShouldEqual, 200)
		})
		Convey("a workspace without a quota is not asked for", func() {
			So(ask("blue-1", "m", "50,30").status, ShouldEqual, http.StatusOK)
			So(f.quotas.used, ShouldBeEmpty)
		})
	})
}

func TestMetricsOfWorkspacesAreBounded(t *testing.T) {
	Convey("Beyond a number of workspaces, the others share their metrics", t, func() {
		registry := metrics.NewRegistry()
		m := newWorkspaceMetrics(registry)
		for n := range 2 * maxMeteredWorkspaces {
			m.of(&request{workspace: rlbdeployment.NewWorkspace(fmt.Sprint("w", n), nil, rlbdeployment.Quota{})}).asked.Inc(1)
		}
		So(len(m.byName), ShouldEqual, maxMeteredWorkspaces+1)
		So(m.byName[otherWorkspaces].asked.Count(), ShouldEqual, maxMeteredWorkspaces)
	})
}

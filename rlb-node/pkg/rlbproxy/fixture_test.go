package rlbproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

const config = `{"Version":3,"Routes":[
{"Name":"read","Host":"h.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":60000,"TargetLatencyMs":60000,"Priority":2,"Service":"plain","MaxAttempts":2},
{"Name":"write","Host":"h.example","PathPrefix":"/write/","Kind":"unsafe","TimeoutMs":60000,"TargetLatencyMs":60000,"Priority":2,"Service":"plain","MaxAttempts":2},
{"Name":"brief","Host":"h.example","PathPrefix":"/brief/","Kind":"unsafe","TimeoutMs":20,"TargetLatencyMs":10,"Priority":2,"Service":"plain","MaxAttempts":1},
{"Name":"talk","Host":"h.example","PathPrefix":"/talk/","Kind":"streaming","TimeoutMs":60000,"TargetLatencyMs":60000,"Priority":0,"Service":"llm","MaxAttempts":2,"Resumable":true,"GapAimMs":60000},
{"Name":"plan","Host":"h.example","PathPrefix":"/plan/","Kind":"streaming","TimeoutMs":60000,"TargetLatencyMs":60000,"Priority":1,"Service":"llm","MaxAttempts":1,"GapAimMs":60000}],
"Services":[{"Name":"plain","HealthPath":"/health","MaxConns":96},
{"Name":"llm","HealthPath":"/health","MaxConns":360,"Engine":{"Slots":4,"KvTokens":1000,"Stride":1,"WeightsMb":100,"AdapterSlots":2,"LoadsPerS":1,"Models":[{"Name":"m","WeightsMb":40,"LoadS":1,"Adapters":2,"AdapterMb":1}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

type decoder struct{}

func (decoder) Config(v []byte) (*rlbdeployment.Config, error) { return rlbplatform.DecodeConfig(v) }
func (decoder) Endpoint(id string, v []byte) (*rlbdeployment.Endpoint, error) {
	return rlbplatform.DecodeEndpoint(id, v)
}

// fakeAdapters is a fake of Adapters: endpoint IDs by SERVICE/MODEL/ADAPTER.
type fakeAdapters map[string][]string

func (a fakeAdapters) Find(_ context.Context, service, model, adapter string, avoid []string) ([]string, string) {
	var ids []string
	for _, id := range a[service+"/"+model+"/"+adapter] {
		if !strings.Contains(strings.Join(avoid, " "), id) {
			ids = append(ids, id)
		}
	}
	return ids, "no endpoint in the fake"
}

// fakeOrigins knows the origins of the streams that the server relays. Streams may begin at
// all versions but those that are not stored yet.
type fakeOrigins struct {
	*rlborigin.Registry
	notStored string
}

func (o *fakeOrigins) MayBegin(origin rlborigin.Origin) bool {
	return o.notStored == "" || origin.Version != o.notStored
}

func (o *fakeOrigins) Find(_ context.Context, service, request string) (string, rlborigin.Verdict) {
	return o.Check(service, request)
}

// noRecordsElsewhere makes it known that no instance has stored an origin.
func (o *fakeOrigins) noRecordsElsewhere() { So(o.Merge(nil, 0, time.Minute), ShouldBeNil) }

// fixture runs a server between a caller and replicas on loopback.
type fixture struct {
	server     *Server
	proxy      *httptest.Server
	view       *rlbdiscovery.View
	replicas   map[string]*rlbfakedeployment.Replica
	listeners  map[string]net.Listener // of the replicas
	entries    []rlbobject.Object
	changes    rlbpeer.ModelChanges
	origins    *fakeOrigins
	quotas     fakeQuotas
	outdated   atomic.Bool  // a newer config is known to exist
	clockAhead atomic.Int64 // nanoseconds that the server's clock is ahead of the process clock
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	f := &fixture{replicas: map[string]*rlbfakedeployment.Replica{}, listeners: map[string]net.Listener{}}
	f.view = rlbdiscovery.New(quiet, decoder{}, f.now, time.Second)
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		IDHeader: rlbplatform.HeaderRequestID, RequireID: true,
		Dial: rlbdispatch.DialTCP(time.Minute), FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Minute,
	})
	t.Cleanup(closeDispatcher)
	f.origins = &fakeOrigins{Registry: rlborigin.New(f.now)}
	f.server = New(Opts{
		Log: quiet, Domain: "a", View: f.view, Balancer: rlbbalancer.New(), PeerLoad: func(string) rlbbalancer.Load { return rlbbalancer.Load{} },
		Crashes: rlbcrash.New(rlbcrash.Opts{Instance: "i1", Now: f.now}), Instances: func() int { return 1 }, Dispatcher: dispatcher, Origins: f.origins, Adapters: fakeAdapters{"llm/m/a1": {"e1"}},
		Limiter: rlbratelimit.New(rlbratelimit.Opts{
			Now: f.now, Random: func() float64 { return 0 }, Peers: func(string) rlbratelimit.Peers { return rlbratelimit.Peers{} },
		}),
		ModelChanges: func() rlbpeer.ModelChanges { return f.changes },
		RetryBudget:  rlbretrybudget.Limits{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second},
		Quotas:       &f.quotas, ConfigCurrent: func() bool { return !f.outdated.Load() },
		Metrics: metrics.NewRegistry(), Now: f.now,
	})
	f.proxy = httptest.NewServer(f.server)
	t.Cleanup(f.proxy.Close)
	return f
}

func (f *fixture) now() time.Time { return time.Now().Add(time.Duration(f.clockAhead.Load())) }

// advance sets the server's clock ahead.
func (f *fixture) advance(d time.Duration) { f.clockAhead.Add(int64(d)) }

// add starts a replica. A replica in the server's domain (a) is preferred.
func (f *fixture) add(t *testing.T, id, service, domain string) *rlbfakedeployment.Replica {
	t.Helper()
	return f.addVersion(t, id, service, domain, "")
}

// addVersion starts a replica with a version of its software.
func (f *fixture) addVersion(t *testing.T, id, service, domain, version string) *rlbfakedeployment.Replica {
	t.Helper()
	var replica *rlbfakedeployment.Replica
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { replica.ServeHTTP(w, q) }))
	t.Cleanup(server.Close)
	replica = rlbfakedeployment.NewReplica(rlbfakedeployment.ReplicaOpts{
		ID: id, Service: service, Domain: domain, Slots: 4, Adapters: 2, Loaded: []string{"m"}, Version: version,
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	f.replicas[id], f.listeners[id] = replica, server.Listener
	store := rlbfakedeployment.NewStore()
	store.Set("servers", id, replica.Entry("ready"))
	f.entries = append(f.entries, rlbobject.Object{Name: id, Version: rlbobject.Version(len(f.entries) + 1), Value: encodeEntry(replica)})
	f.view.ApplyConfig([]byte(config), "test")
	f.view.ApplyList(f.entries, 9, false)
	return replica
}

// drain marks the entry of a replica as draining.
func (f *fixture) drain(id string) {
	raw, err := json.Marshal(f.replicas[id].Entry("draining"))
	if err != nil {
		panic(err) // the entry consists of plain values
	}
	for i, o := range f.entries {
		if o.Name == id {
			f.entries[i] = rlbobject.Object{Name: id, Version: rlbobject.Version(len(f.entries)) + o.Version, Value: raw}
		}
	}
	f.view.ApplyList(f.entries, rlbobject.Version(2*len(f.entries)), false)
}

// refreshEntry applies the entry that a replica writes now, as after a restart.
func (f *fixture) refreshEntry(id string) {
	for i, o := range f.entries {
		if o.Name == id {
			f.entries[i] = rlbobject.Object{Name: id, Version: 2*rlbobject.Version(len(f.entries)) + o.Version, Value: encodeEntry(f.replicas[id])}
		}
	}
	f.view.ApplyList(f.entries, rlbobject.Version(4*len(f.entries)), false)
}

// callerResult is the answer that the caller got.
type callerResult struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (f *fixture) send(method, path, body string, header map[string]string) callerResult {
	q, err := http.NewRequest(method, f.proxy.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResult{err: err}
	}
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", "9c41d07be2a35f68")
	q.Header.Set("X-Request-Deadline", "60000")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	answer, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return callerResult{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	return callerResult{answer.StatusCode, answer.Header, string(got), err}
}

func (f *fixture) sendPrompt(path string) callerResult {
	return f.send(http.MethodPost, path, "prompt", map[string]string{"X-Model": "m", "X-Token-Count": "10,4"})
}

// sendRaw sends a request with a target as it is, which a client might encode, and returns
// the status line of the answer.
func (f *fixture) sendRaw(target string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.proxy.URL, "http://"))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb", target)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

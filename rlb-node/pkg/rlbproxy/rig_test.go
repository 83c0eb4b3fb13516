package rlbproxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbretrybudget"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakesite"
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

// adapters is a strict fake of Adapters.
type adapters map[string][]string

func (a adapters) Find(_ context.Context, service, model, adapter string, avoid []string) ([]string, string) {
	var ids []string
	for _, id := range a[service+"/"+model+"/"+adapter] {
		if !strings.Contains(strings.Join(avoid, " "), id) {
			ids = append(ids, id)
		}
	}
	return ids, "the fake knows none"
}

// rig is a server between a caller and replicas on loopback.
type rig struct {
	server    *Server
	front     *httptest.Server
	view      *rlbdiscovery.View
	replicas  map[string]*rlbfakesite.Replica
	entries   []rlbobject.Object
	elsewhere int // crashes that other instances saw
}

func newRig(t *testing.T) *rig {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	r := &rig{view: rlbdiscovery.New(quiet, decoder{}, time.Now), replicas: map[string]*rlbfakesite.Replica{}}
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		Dial: rlbdispatch.DialTCP(time.Minute), FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Minute,
	})
	t.Cleanup(closeDispatcher)
	r.server = New(Opts{
		Log: quiet, Domain: "a", View: r.view, Loads: rlbbalancer.New(), Others: func(string) rlbbalancer.Load { return rlbbalancer.Load{} },
		Crashes:   func(uint64) int { return r.elsewhere },
		Instances: func() int { return 1 }, Dispatcher: dispatcher, Adapters: adapters{"llm/m/a1": {"e1"}},
		Budget:  rlbretrybudget.Limits{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second},
		Metrics: metrics.NewRegistry(), Now: time.Now,
	})
	r.front = httptest.NewServer(r.server)
	t.Cleanup(r.front.Close)
	return r
}

// add starts a replica. The first one added in a domain is preferred.
func (r *rig) add(t *testing.T, id, service, domain string) *rlbfakesite.Replica {
	t.Helper()
	var replica *rlbfakesite.Replica
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { replica.ServeHTTP(w, q) }))
	t.Cleanup(server.Close)
	replica = rlbfakesite.NewReplica(rlbfakesite.ReplicaOpts{
		ID: id, Service: service, Domain: domain, Slots: 4, Adapters: 2, Holds: []string{"m"},
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	r.replicas[id] = replica
	store := rlbfakesite.NewStore()
	store.Set("servers", id, replica.Entry("ready"))
	r.entries = append(r.entries, rlbobject.Object{Name: id, Version: rlbobject.Version(len(r.entries) + 1), Value: entry(replica)})
	r.view.ApplyConfig([]byte(config), "test")
	r.view.ApplyList(r.entries, 9, false)
	return replica
}

// outcome is what the caller saw.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r *rig) send(method, path, body string, header map[string]string) outcome {
	q, err := http.NewRequest(method, r.front.URL+path, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", "9c41d07be2a35f68")
	q.Header.Set("X-Request-Deadline", "60000")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	answer, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	return outcome{answer.StatusCode, answer.Header, string(got), err}
}

func (r *rig) talk(path string) outcome {
	return r.send(http.MethodPost, path, "prompt", map[string]string{"X-Model": "m", "X-Token-Count": "10,4"})
}

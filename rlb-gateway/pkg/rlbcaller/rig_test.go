package rlbcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbfleet"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeservice"
)

const (
	testModel          = "draft"
	nonIdempotentModel = "reassign"
	testVersion        = "v1"
	testTokens         = 8
)

// rig is a test setup of one or more gateways with stand-in endpoints, on an in-memory
// network and a fake clock.
type rig struct {
	network  *rlbfake.Network
	engines  []*rlbfakeengine.Engine
	services []*rlbfakeservice.Service
	fleets   []*rlbfleet.Fleet
	servers  []*Server
	fleet    *rlbfleet.Fleet // of the first gateway
	server   *Server         // the first gateway
	client   *http.Client
	claims   *memoryClaims
	update   rlbfleetstate.Update
	closers  []func()

	fetching, maxFetching atomic.Int64 // adapter fetches in flight: the current and the largest number
}

// maxConcurrentFetches returns the largest number of concurrent adapter fetches.
func (r *rig) maxConcurrentFetches() int { return int(r.maxFetching.Load()) }

// withRig runs f with one gateway in a synctest bubble, which has a fake clock.
func withRig(t *testing.T, engines int, f func(r *rig)) {
	t.Helper()
	withGateways(t, 1, engines, f)
}

// withGateways is withRig with several gateways.
func withGateways(t *testing.T, gateways, engines int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, gateways, engines)
		defer r.close()
		f(r)
	})
}

// newCommon returns the default settings of a gateway and a logger that discards its
// output.
func newCommon(t testing.TB) *rlbcommon.Common {
	settings, err := rlbsettings.Parse("test", nil, rlbsettings.ForGateway)
	if err != nil {
		t.Fatal(err)
	}
	common, err := rlbcommon.New(io.Discard, settings)
	if err != nil {
		t.Fatal(err)
	}
	return common
}

func newRig(t *testing.T, gateways, engines int) *rig {
	common := newCommon(t)
	r := &rig{network: rlbfake.NewNetwork(), claims: newMemoryClaims()}
	for i := range gateways {
		r.addGateway(common, fmt.Sprint("gateway", i))
	}
	r.fleet, r.server = r.fleets[0], r.servers[0]
	r.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return r.network.Dial(ctx, strings.TrimSuffix(address, ":80"))
	}}}
	r.publish(engines)
	return r
}

// addGateway adds a gateway. Crash records from each gateway go to all of them after
// crashPublishDelay, in place of controllers.
func (r *rig) addGateway(common *rlbcommon.Common, address string) {
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		IDHeader: rlbrelay.HeaderRequestID,
		Dial:     r.network.Dial, FirstByteTimeout: 10 * time.Second, ReusedFirstByteTimeout: 2 * time.Second, IdleTimeout: 3 * time.Second, SweepInterval: time.Second,
	})
	seed := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	policy, err := rlbroute.NewPolicy[*rlbroute.Endpoint]("cost", func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return seed.Uint64()
	})
	if err != nil {
		panic(err)
	}
	fleet := rlbfleet.New("here", time.Now)
	server := New(Opts{
		Common: common, Fleet: fleet, Dispatcher: dispatcher, Policy: policy, Claims: r.claims,
		ReportCrashes: r.publishCrashes, Metrics: metrics.NewRegistry(),
	})
	r.fleets, r.servers = append(r.fleets, fleet), append(r.servers, server)
	r.closers = append(r.closers, closeDispatcher)
	r.serve(address, server.Handler())
}

// crashPublishDelay is how long a crash record takes from one gateway to all.
const crashPublishDelay = 20 * time.Millisecond

func (r *rig) publishCrashes(crashes []rlbfleetstate.Crash) {
	go func() {
		time.Sleep(crashPublishDelay)
		r.applyCrashes(crashes)
	}()
}

// applyCrashes adds crash records at all gateways, with the records of answered parts
// that gateways send with their reports.
func (r *rig) applyCrashes(crashes []rlbfleetstate.Crash) {
	for _, f := range r.fleets {
		crashes = append(crashes, f.TakeAnsweredParts()...)
	}
	for _, f := range r.fleets {
		f.ApplyUpdate(rlbfleetstate.Update{Crashes: crashes})
	}
}

func (r *rig) close() {
	r.client.CloseIdleConnections()
	for _, c := range r.closers {
		c()
	}
	for _, server := range r.servers {
		server.Wait()
	}
	time.Sleep(2 * crashPublishDelay)
}

func (r *rig) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler, MaxHeaderBytes: 32 << 10}
	go func() { _ = server.Serve(r.network.Listen(address)) }()
	r.closers = append(r.closers, func() { _ = server.Close() })
	synctest.Wait()
}

// publish puts a note with two models and two services in force and adds endpoints
// that have them ready.
func (r *rig) publish(engines int) {
	state, err := rlbnote.State{}.Apply(rlbnote.Note{ID: "test", Add: rlbnote.Items{
		Models: []rlbnote.Model{{Name: testModel, Version: testVersion}, {Name: nonIdempotentModel, Version: testVersion, NonIdempotent: true}},
		Services: []rlbnote.Service{
			{Name: "book", Prefix: "/book/", Idempotent: []string{"GET"}},
			{Name: "list", Prefix: "/list/", Idempotent: []string{"GET", "POST"}},
		},
	}}, time.Now())
	if err != nil {
		panic(err)
	}
	r.update.Note = &state
	for i := range engines {
		r.addEngine(fmt.Sprintf("engine%d", i))
	}
	for i, name := range []string{"book", "list", "list"} {
		id := fmt.Sprintf("%s%d", name, i)
		service := rlbfakeservice.New(id, nil)
		r.services = append(r.services, service)
		r.serve(id, service.Handler())
		r.update.Instances = append(r.update.Instances, rlbfleetstate.Instance{Revision: 1, Instance: rlbinstance.Instance{ID: id, Type: rlbinstance.TypeService, Address: id, Role: name}})
	}
	for _, f := range r.fleets {
		f.ApplyUpdate(r.update)
	}
}

func (r *rig) addEngine(id string) {
	none := func(context.Context, string, string) error { return nil }
	fetch := func(context.Context, string, string) error {
		n := r.fetching.Add(1)
		defer r.fetching.Add(-1)
		r.maxFetching.Store(max(r.maxFetching.Load(), n))
		time.Sleep(12 * time.Millisecond)
		return nil
	}
	engine := rlbfakeengine.New(rlbfakeengine.Opts{
		ID: id, Incarnation: 1, Memory: 10 * rlbunit.GiB, Slots: 8, PrefillRate: 1 << 20, Step: 10 * time.Millisecond,
		MaxAdapters: 4, Fetch: none, FetchAdapter: fetch, Crash: func() {
			r.network.Kill(id)
			panic(http.ErrAbortHandler)
		},
	})
	for _, model := range []string{testModel, nonIdempotentModel} {
		if _, err := engine.Apply(rlbengine.Order{Action: rlbengine.ActionLoad, Name: model, Version: testVersion, Memory: rlbunit.GiB}); err != nil {
			panic(err)
		}
	}
	r.serve(id, engine.Handler())
	r.engines = append(r.engines, engine)
	state := engine.State()
	r.update.Instances = append(r.update.Instances, rlbfleetstate.Instance{Revision: 1, Instance: rlbinstance.Instance{ID: id, Type: rlbinstance.TypeEngine, Address: id}})
	r.update.Engines = append(r.update.Engines, rlbfleetstate.Engine{ID: id, Incarnation: 1, Sequence: state.Sequence, Memory: state.Memory, Residents: state.Residents})
}

// reply is an answer as the caller received it.
type reply struct {
	status  int
	outcome string
	code    Code
	id      string
	body    string
	tokens  []string
	done    bool // received the end marker
	failed  bool // received an error event
}

// completion sends a model request and reads the answer to its end.
func (r *rig) completion(model string, stream bool, header ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, model, stream, testTokens)
	return r.send("POST", "/v1/chat/completions", body, header...)
}

func (r *rig) send(method, path, body string, header ...string) reply {
	return r.sendTo(0, method, path, body, header...)
}

// sendTo sends a request to one of the gateways.
func (r *rig) sendTo(gateway int, method, path, body string, header ...string) reply {
	request, err := http.NewRequest(method, fmt.Sprintf("http://gateway%d%s", gateway, path), strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := r.client.Do(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, outcome: response.Header.Get(HeaderOutcome), id: response.Header.Get("X-Request-Id"), body: string(data)}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		got.readEvents(data)
		return got
	}
	var document errorDocument
	if json.Unmarshal(data, &document) == nil {
		got.code = document.Error.Code
	}
	got.readText(data)
	return got
}

func (r *reply) readText(data []byte) {
	var document struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(data, &document) == nil && len(document.Choices) > 0 {
		r.tokens = strings.Fields(document.Choices[0].Message.Content)
		r.done = true
	}
}

func (r *reply) readEvents(data []byte) {
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   *Refusal
		}
		switch {
		case !found:
		case text == "[DONE]":
			r.done = true
		case json.Unmarshal([]byte(text), &chunk) != nil:
			r.tokens = append(r.tokens, "unreadable")
		case chunk.Error != nil:
			r.failed, r.outcome, r.code = true, string(chunk.Error.Outcome), chunk.Error.Code
		default:
			r.tokens = append(r.tokens, strings.TrimSpace(chunk.Choices[0].Delta.Content))
		}
	}
}

// started returns how many runs the engines began.
func (r *rig) started() int {
	n := 0
	for _, e := range r.engines {
		for _, count := range e.Record().Runs {
			n += count.Started
		}
	}
	return n
}

// runs returns how many requests the plain services ran.
func (r *rig) runs() int {
	n := 0
	for _, s := range r.services {
		n += len(s.Runs())
	}
	return n
}

// memoryClaims is an in-memory claim service that uses the real ledger.
type memoryClaims struct {
	mu            sync.Mutex
	ledger        *rlbclaim.Ledger
	unavailable   bool
	answersToLose int // operations still to fail after they took effect
}

func newMemoryClaims() *memoryClaims {
	m := &memoryClaims{ledger: rlbclaim.NewLedger("test", 0)}
	m.ledger.Load(0, rlbclaim.Head{}, nil)
	return m
}

// setFaults sets the faults once all goroutines are idle.
func (m *memoryClaims) setFaults(unavailable bool, answersToLose int) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable, m.answersToLose = unavailable, answersToLose
}

// Do implements Claims.
func (m *memoryClaims) Do(_ context.Context, op rlbclaim.Operation) (rlbclaim.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return rlbclaim.Result{Status: rlbclaim.Unavailable}, nil
	}
	m.ledger.Submit(1, op)
	if w, err := m.ledger.NextWrite(time.Now().Unix()); err != nil {
		return rlbclaim.Result{}, err
	} else if w != nil {
		m.ledger.WriteSucceeded(w.IfVersion + 1)
	}
	if m.answersToLose > 0 {
		m.answersToLose--
		return rlbclaim.Result{}, io.ErrUnexpectedEOF
	}
	return m.ledger.Completions()[0].Result, nil
}

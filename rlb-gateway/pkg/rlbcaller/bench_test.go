package rlbcaller

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbfleet"
)

// The benchmarks measure requests through a gateway to one endpoint over loopback TCP,
// all in one process, and the same requests sent to the endpoint directly. The
// endpoint writes prepared answers, so that it takes little of the time.

// cannedAnswer answers model requests with a prepared stream.
func cannedAnswer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(rlbrelay.HeaderRequestID)
	var in struct {
		Tokens int `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in) // the benchmarks send valid bodies
	w.Header().Set(rlbrelay.HeaderRequestID, id)
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[]}`, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	var b strings.Builder
	for n := 1; n <= in.Tokens; n++ {
		fmt.Fprintf(&b, "id: %s/%d\ndata: {\"id\":\"%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":null}]}\n\n", id, n, id)
	}
	fmt.Fprintf(&b, "id: %s/%d\ndata: [DONE]\n\n", id, in.Tokens+1)
	_, _ = io.WriteString(w, b.String())
}

// benchGateway starts a gateway and an endpoint and returns their addresses.
func benchGateway(b *testing.B) (gateway, endpoint string) {
	engine := httptest.NewServer(http.HandlerFunc(cannedAnswer))
	b.Cleanup(engine.Close)
	endpoint = strings.TrimPrefix(engine.URL, "http://")
	dispatcher, closeDispatcher := rlbdispatch.New(rlbdispatch.Opts{
		IDHeader: rlbrelay.HeaderRequestID,
		Dial:     rlbdispatch.DialTCP(time.Second), FirstByteTimeout: time.Minute, ReusedFirstByteTimeout: time.Minute, IdleTimeout: time.Minute, SweepInterval: time.Second,
	})
	b.Cleanup(closeDispatcher)
	policy, err := rlbroute.NewPolicy[*rlbroute.Endpoint]("cost", func() uint64 { return 1 })
	if err != nil {
		b.Fatal(err)
	}
	fleet := rlbfleet.New("here", time.Now)
	state, err := rlbnote.State{}.Apply(rlbnote.Note{ID: "bench", Add: rlbnote.Items{Models: []rlbnote.Model{{Name: "m", Version: "v"}}}}, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	fleet.ApplyUpdate(rlbfleetstate.Update{
		Note:      &state,
		Instances: []rlbfleetstate.Instance{{Revision: 1, Instance: rlbinstance.Instance{ID: "e", Type: rlbinstance.TypeEngine, Address: endpoint}}},
		Engines: []rlbfleetstate.Engine{{ID: "e", Incarnation: 1, Memory: rlbunit.GiB, Residents: []rlbengine.Resident{
			{Name: "m", Version: "v", Phase: rlbengine.PhaseReady}}}},
	})
	server := New(Opts{
		Common: newCommon(b), Fleet: fleet, Dispatcher: dispatcher, Policy: policy, Claims: newMemoryClaims(),
		ReportCrashes: func([]rlbfleetstate.Crash) {}, Metrics: metrics.NewRegistry(),
	})
	gatewayServer := httptest.NewServer(server.Handler())
	b.Cleanup(gatewayServer.Close)
	return strings.TrimPrefix(gatewayServer.URL, "http://"), endpoint
}

// post sends one request and reads the answer to its end.
func post(b *testing.B, address, path, body string) int64 {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set(rlbrelay.HeaderRequestID, "direct")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(response.StatusCode, err)
	}
	return n
}

func BenchmarkRequest(b *testing.B) {
	gateway, endpoint := benchGateway(b)
	for name, address := range map[string]string{"direct": endpoint, "gateway": gateway} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				post(b, address, "/v1/chat/completions", `{"model":"m","messages":[]}`)
			}
		})
	}
}

func BenchmarkRelay(b *testing.B) {
	gateway, endpoint := benchGateway(b)
	for name, address := range map[string]string{"direct": endpoint, "gateway": gateway} {
		for _, tokens := range []int{2_000, 20_000} {
			b.Run(fmt.Sprintf("%s/tokens=%d", name, tokens), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					post(b, address, "/v1/completions", fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d}`, tokens))
				}
				b.ReportMetric(float64(tokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
			})
		}
	}
}

// discardWriter is a ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardWriter) WriteHeader(int)               {}
func (*discardWriter) Flush()                        {}

// BenchmarkRelayLoop measures the work of the relay for one token: reading it from an
// in-memory connection, checking it, and writing it to a discarding writer.
func BenchmarkRelayLoop(b *testing.B) {
	const id = "0123456789"
	token := fmt.Sprintf("data: {\"id\":\"%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":null}]}\n\n", id)
	near, far := net.Pipe()
	go func() {
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(far, "id: %s/%d\n%s", id, n, token); err != nil {
				return
			}
		}
	}()
	defer near.Close()
	reader := rlbrelay.NewEventReader(near)
	tracker := rlbrelay.NewTracker(id)
	w := &discardWriter{http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		event, err := reader.Next()
		if err != nil || tracker.Check(event) != rlbrelay.Forward {
			b.Fatal(err)
		}
		_, _ = w.Write(event.Raw)
	}
}

// BenchmarkChoose measures one routing decision in a large fleet: 12,000 endpoints
// with three of 1,700 models each, and one more model on 600 of them.
func BenchmarkChoose(b *testing.B) {
	const endpoints, models, each, popular = 12_000, 1_700, 3, 600
	fleet := rlbfleet.New("d0", time.Now)
	state := rlbnote.State{Version: 1, Models: map[string]rlbnote.Model{}}
	for m := range models {
		name := fmt.Sprint("m", m)
		state.Models[name] = rlbnote.Model{Name: name, Version: "v"}
	}
	update := rlbfleetstate.Update{Note: &state}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		update.Instances = append(update.Instances, rlbfleetstate.Instance{Revision: 1, Instance: rlbinstance.Instance{ID: id, Type: rlbinstance.TypeEngine, Address: id, FailureDomain: fmt.Sprint("d", i%22)}})
		engine := rlbfleetstate.Engine{ID: id, Incarnation: 1}
		for k := range each {
			name := fmt.Sprint("m", 1+(i*each+k)%(models-1))
			engine.Residents = append(engine.Residents, rlbengine.Resident{Name: name, Version: "v", Phase: rlbengine.PhaseReady})
		}
		if i < popular {
			engine.Residents = append(engine.Residents, rlbengine.Resident{Name: "m0", Version: "v", Phase: rlbengine.PhaseReady})
		}
		update.Engines = append(update.Engines, engine)
	}
	began := time.Now()
	fleet.ApplyUpdate(update)
	b.Logf("routes of %d endpoints built in %s", endpoints, time.Since(began))
	policy, err := rlbroute.NewPolicy[*rlbroute.Endpoint]("cost", rand.Uint64)
	if err != nil {
		b.Fatal(err)
	}
	s := &Server{Opts: Opts{Fleet: fleet, Policy: policy}, limits: limits{maxInFlightPerEndpoint: 256}}
	for _, name := range []string{"m0", "m7"} {
		b.Run(fmt.Sprint("replicas=", len(fleet.Routes().Version(name, "v"))), func(b *testing.B) {
			p := &proxiedRequest{candidates: func() []*rlbroute.Endpoint { return fleet.Routes().Version(name, "v") }}
			p.routing.Prefix = 7
			b.ReportAllocs()
			for b.Loop() {
				if s.choose(p) == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}

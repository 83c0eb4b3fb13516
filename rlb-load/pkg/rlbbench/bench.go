// Package rlbbench runs a scenario against gateways and reports attainment, moves
// and latencies, measured from the time at which each request was due.
package rlbbench

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbclient"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbscenario"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
)

// Opts describe a run.
type Opts struct {
	Scenario rlbscenario.Scenario
	Seed     uint64
	Load     float64
	Label    string // names the measured policy
	Gateways []string
	Engines  []string // control addresses
}

// Class is the result of one class of requests.
type Class struct {
	Name          string  `json:"name"`
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	Attained      int     `json:"attained"` // answered within the latency targets
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	FirstTokenP50 float64 `json:"first_token_p50"` // milliseconds, of answered requests
	FirstTokenP95 float64 `json:"first_token_p95"`
}

// Result is the result of one run.
type Result struct {
	Scenario string  `json:"scenario"`
	Label    string  `json:"label"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Engines  int     `json:"engines"`
	Seconds  float64 `json:"seconds"`
	Moves    int     `json:"moves"`
	Classes  []Class `json:"classes"`
}

// Attainment returns the share of all requests that were answered within their
// latency targets.
func (r Result) Attainment() float64 {
	attained, requests := 0, 0
	for _, c := range r.Classes {
		attained += c.Attained
		requests += c.Requests
	}
	return float64(attained) / float64(max(1, requests))
}

// Goodput returns the requests per second answered within their latency targets.
func (r Result) Goodput() float64 {
	attained := 0
	for _, c := range r.Classes {
		attained += c.Attained
	}
	return float64(attained) / r.Seconds
}

const (
	requestTimeout    = 30 * time.Second
	connections       = 512
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	bytesPerToken     = 4 // prompt length in bytes per token
)

// runner is the state of one run.
type runner struct {
	opts       Opts
	client     *rlbclient.Client
	mu         sync.Mutex
	result     Result
	firstToken []*hdrhistogram.Histogram // by class
}

// Run sends the requests of the scenario when they are due and waits for all
// answers.
func Run(ctx context.Context, opts Opts) (Result, error) {
	r := &runner{opts: opts, client: rlbclient.New(requestTimeout, connections)}
	r.result = Result{Scenario: opts.Scenario.Name, Label: opts.Label, Seed: opts.Seed, Load: opts.Load, Engines: len(opts.Engines), Seconds: opts.Scenario.Duration.Seconds()}
	for _, c := range opts.Scenario.Classes {
		r.result.Classes = append(r.result.Classes, Class{Name: c.Name})
		r.firstToken = append(r.firstToken, hdrhistogram.New(1, maxLatencyMicros, significantDigits))
	}
	before, err := countMoves(ctx, opts.Engines)
	if err != nil {
		return r.result, err
	}
	var group sync.WaitGroup
	began := time.Now()
	for _, a := range opts.Scenario.Arrivals(opts.Seed, opts.Load) {
		due := began.Add(a.At)
		time.Sleep(time.Until(due))
		group.Add(1)
		go func() {
			defer group.Done()
			r.send(ctx, a, due)
		}()
	}
	group.Wait()
	after, err := countMoves(ctx, opts.Engines)
	r.result.Moves = after - before
	for i, h := range r.firstToken {
		r.result.Classes[i].FirstTokenP50 = milliseconds(h, 50)
		r.result.Classes[i].FirstTokenP95 = milliseconds(h, 95)
	}
	return r.result, err
}

func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *runner) send(ctx context.Context, a rlbscenario.Arrival, due time.Time) {
	class := r.opts.Scenario.Classes[a.Class]
	reply := r.client.Send(ctx, r.opts.Gateways[a.Number%len(r.opts.Gateways)], newRequest(a, class))
	first := reply.SentAt.Add(reply.FirstToken).Sub(due)
	rest := reply.Duration - reply.FirstToken
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.result.Classes[a.Class]
	c.Requests++
	switch {
	case reply.Outcome == rlbclient.Answered && !reply.Truncated:
		c.Answered++
		_ = r.firstToken[a.Class].RecordValue(min(first.Microseconds(), maxLatencyMicros)) // can't fail: the value is capped
		if first <= class.FirstToken && rest <= time.Duration(a.Tokens)*class.NextToken {
			c.Attained++
		}
	case reply.Outcome == rlbclient.NotRun:
		c.Refused++
	default:
		c.Failed++
	}
}

// newRequest builds a request; the prompts of one session share a prefix.
func newRequest(a rlbscenario.Arrival, c rlbscenario.Class) *rlbclient.Request {
	prefix := fmt.Sprintf("session %s %d ", c.Name, a.Session)
	prompt := strings.Repeat(prefix, c.Prompt*bytesPerToken/len(prefix)+1)
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s request %d"}]}`, a.Model, a.Tokens, prompt, a.Number)
	return &rlbclient.Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Tokens: a.Tokens, Stream: true}
}

// countMoves returns the number of load and unload orders that the engines recorded.
func countMoves(ctx context.Context, engines []string) (int, error) {
	n := 0
	for _, address := range engines {
		var record rlbfakeengine.Record
		if _, err := rlbhttp.Call(ctx, http.DefaultClient, http.MethodGet, "http://"+address+"/record", nil, &record); err != nil {
			return n, err
		}
		for _, o := range record.Orders {
			if o.Action != rlbengine.ActionFence {
				n++
			}
		}
	}
	return n, nil
}

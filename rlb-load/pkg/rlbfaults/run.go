// Package rlbfaults sends a seeded mix of requests to gateways while faults are
// injected into their endpoints and platform, and counts violated invariants by
// the run records of the stand-ins.
package rlbfaults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbclient"
)

// Opts describe a run.
type Opts struct {
	Gateways           []string
	Requests           int
	Concurrency        int
	Seed               uint64
	Models             []string // models that receive idempotent requests
	NonIdempotentModel string   // model that receives requests that run at most once; empty: none
	ReadPath           string   // path of idempotent requests to a plain service
	WritePath          string   // path of requests to a plain service that run at most once
	Records            []string // paths of the stand-ins' run records
	Progress           func(started int)
}

// Verdict counts violated invariants.
type Verdict struct {
	Requests     int            `json:"requests"`
	Sends        int            `json:"sends"`         // including the callers' retries
	Lost         int            `json:"lost"`          // truncated answers, and idempotent requests without an answer
	Duplicated   int            `json:"doubled"`       // answers with a token that was sent twice
	Misdelivered int            `json:"crossed"`       // answers with a part that belongs to another request
	FalseNotRun  int            `json:"false_not_run"` // runs of requests that a gateway answered as not run
	SecondRuns   int            `json:"second_runs"`   // runs beyond the first of requests that run at most once
	Outcomes     map[string]int `json:"outcomes"`      // number of sends by outcome
}

// String returns the last line of the run's output.
func (v Verdict) String() string {
	return fmt.Sprintf("requests=%d lost=%d doubled=%d crossed=%d false_not_run=%d second_runs=%d",
		v.Requests, v.Lost, v.Duplicated, v.Misdelivered, v.FalseNotRun, v.SecondRuns)
}

// Violated reports whether an invariant was violated.
func (v Verdict) Violated() bool {
	return v.Lost+v.Duplicated+v.Misdelivered+v.FalseNotRun+v.SecondRuns > 0
}

// Behavior of the callers.
const (
	idempotentTimeout     = 2 * time.Minute // after which an unanswered idempotent request counts as lost
	maxNonIdempotentSends = 4
	callTimeout           = 8 * time.Second
	maxRetryDelay         = 250 * time.Millisecond
	maxTokens             = 24
)

// runner is the state of one run.
type runner struct {
	opts          Opts
	client        *rlbclient.Client
	mu            sync.Mutex
	verdict       Verdict
	notRun        map[string]bool // ids of requests that a gateway answered as not run
	nonIdempotent map[string]bool // idempotency keys and request ids that may run at most once
}

// Run sends all requests and returns the verdict.
func Run(ctx context.Context, opts Opts) (Verdict, error) {
	r := &runner{
		opts: opts, client: rlbclient.New(callTimeout, opts.Concurrency), notRun: map[string]bool{}, nonIdempotent: map[string]bool{},
		verdict: Verdict{Requests: opts.Requests, Outcomes: map[string]int{}},
	}
	var group sync.WaitGroup
	numbers := make(chan int)
	for range opts.Concurrency {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := range numbers {
				r.runRequest(ctx, n)
			}
		}()
	}
	for n := range opts.Requests {
		numbers <- n
		opts.Progress(n)
	}
	close(numbers)
	group.Wait()
	return r.verdict, r.checkRecords()
}

// runRequest sends request n, which is derived from the seed, until it is answered:
// an idempotent request for up to idempotentTimeout, another one at most
// maxNonIdempotentSends times and, without a key, again only after a not-run answer.
func (r *runner) runRequest(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)))
	request, nonIdempotent := r.randomRequest(rng, n)
	deadline := time.Now().Add(idempotentTimeout)
	for sends := 0; sends < maxNonIdempotentSends || !nonIdempotent && time.Now().Before(deadline); sends++ {
		gateway := r.opts.Gateways[rng.IntN(len(r.opts.Gateways))]
		reply := r.client.Send(ctx, gateway, request)
		r.recordReply(request, reply, nonIdempotent)
		if reply.Outcome == rlbclient.Answered || nonIdempotent && request.Key == "" && reply.Outcome != rlbclient.NotRun {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxRetryDelay))))
	}
	if !nonIdempotent { // the outcome of a non-idempotent request may stay unknown; an idempotent one must be answered
		r.mu.Lock()
		defer r.mu.Unlock()
		r.verdict.Lost++
	}
}

func (r *runner) randomRequest(rng *rand.Rand, n int) (*rlbclient.Request, bool) {
	body := fmt.Appendf(nil, `{"number":%d,"seed":%d}`, n, r.opts.Seed)
	key := fmt.Sprintf("key-%d-%d", r.opts.Seed, n)
	switch draw := rng.IntN(100); {
	case draw < 45:
		return r.modelRequest(rng, n, r.opts.Models[rng.IntN(len(r.opts.Models))], true, ""), false
	case draw < 60:
		return r.modelRequest(rng, n, r.opts.Models[rng.IntN(len(r.opts.Models))], false, ""), false
	case draw < 70:
		return r.modelRequest(rng, n, r.opts.Models[rng.IntN(len(r.opts.Models))], rng.IntN(2) == 0, key), true
	case draw < 75 && r.opts.NonIdempotentModel != "":
		return r.modelRequest(rng, n, r.opts.NonIdempotentModel, rng.IntN(2) == 0, ""), true
	case draw < 85:
		return &rlbclient.Request{Method: http.MethodGet, Path: r.opts.ReadPath, Body: nil}, false
	case draw < 97:
		return &rlbclient.Request{Method: http.MethodPost, Path: r.opts.WritePath, Body: body, Key: key}, true
	default:
		return &rlbclient.Request{Method: http.MethodPost, Path: r.opts.WritePath, Body: body}, true
	}
}

func (r *runner) modelRequest(rng *rand.Rand, n int, name string, stream bool, key string) *rlbclient.Request {
	tokens := 1 + rng.IntN(maxTokens)
	body := fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"request %d of %d"}]}`, name, stream, tokens, n, r.opts.Seed)
	return &rlbclient.Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Key: key, Tokens: tokens, Stream: stream}
}

// recordReply adds a reply to the verdict.
func (r *runner) recordReply(request *rlbclient.Request, reply rlbclient.Reply, nonIdempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &r.verdict
	v.Sends++
	v.Outcomes[string(reply.Outcome)]++
	if reply.Truncated {
		v.Lost++
	}
	if reply.Duplicated {
		v.Duplicated++
	}
	if reply.Misdelivered {
		v.Misdelivered++
	}
	if reply.Outcome == rlbclient.NotRun {
		r.notRun[reply.RequestID] = true
	}
	switch {
	case nonIdempotent && request.Key != "":
		r.nonIdempotent[request.Key] = true
	case nonIdempotent && reply.RequestID != "":
		r.nonIdempotent[reply.RequestID] = true
	}
}

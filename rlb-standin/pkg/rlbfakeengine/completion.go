package rlbfakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbrecord"
)

// CrashMarker in a request's body crashes the engine once it decodes it.
const CrashMarker = "standin-crash"

const (
	defaultTokens  = 16
	bytesPerToken  = 4 // of a prompt
	maxRequestBody = 64 << 20
	flushEvery     = 16 // tokens of an engine that decodes without delay
)

// request is the part of a completion request that the stand-in reads.
type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// run is one request on its way.
type run struct {
	id     string
	key    modelKey
	model  string
	digest uint64
	tokens int
	chat   bool
	crash  bool
	fault  rlbfault.Fault
	start  int // tokens that are not sent because the caller has them
}

// Token returns the text of token n (from 1) of the answer to a request body.
// It follows from the body alone, so that every engine promises the same.
func Token(digest uint64, n int) string { return fmt.Sprintf("%08x-%d ", uint32(digest), n) }

// Digest returns the digest of a request body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return // the caller left within its own request
	}
	var in request
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	job := newRun(r, body, in)
	job.fault = e.faults.Next()
	if job.fault == rlbfault.Refuse {
		http.Error(w, "the engine is full", http.StatusServiceUnavailable)
		return
	}
	if !e.enter(job.key) {
		http.Error(w, "model is not resident", http.StatusNotFound)
		return
	}
	defer e.leave(job.key)
	priority, _ := strconv.Atoi(r.Header.Get(rlbrelay.HeaderPriority)) // absent: 0
	if !e.slots.acquire(r.Context(), priority) {
		return
	}
	defer e.slots.release()
	if adapter := r.Header.Get(rlbrelay.HeaderAdapter); adapter != "" {
		name, version, _ := strings.Cut(adapter, "@")
		if err := e.adapter(r.Context(), name, version); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	e.started(job.id, r.Header.Get(rlbrelay.HeaderIdempotencyKey))
	prefill := time.Duration(len(body)/bytesPerToken) * time.Second / time.Duration(e.opts.PrefillRate)
	if e.prefixes.use(body) {
		prefill = time.Duration(float64(prefill) * hitShare)
	}
	rlbcommon.Sleep(r.Context(), prefill)
	e.answer(w, r, job, in.Stream)
}

func newRun(r *http.Request, body []byte, in request) *run {
	job := &run{
		id:     r.Header.Get(rlbrelay.HeaderRequestID),
		key:    modelKey{r.Header.Get(rlbrelay.HeaderModel), r.Header.Get(rlbrelay.HeaderVersion)},
		model:  in.Model,
		digest: Digest(body),
		tokens: in.MaxTokens,
		chat:   strings.HasSuffix(r.URL.Path, "/chat/completions"),
		crash:  bytes.Contains(body, []byte(CrashMarker)),
	}
	if job.tokens <= 0 {
		job.tokens = defaultTokens
	}
	if job.key.name == "" {
		job.key.name = in.Model
	}
	if _, seq, found := strings.Cut(r.Header.Get(rlbrelay.HeaderLastEventID), "/"); found {
		job.start, _ = strconv.Atoi(seq) // a bad number starts over
	}
	return job
}

func (e *Engine) started(id, key string) {
	e.opts.Record.Write(rlbrecord.Run{Endpoint: e.opts.ID, RequestID: id, Key: key})
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.record.Runs[id]
	count.Started++
	count.Key = key
	e.record.Runs[id] = count
}

func (e *Engine) ended(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.record.Runs[id]
	count.Ended++
	e.record.Runs[id] = count
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, job *run, stream bool) {
	switch job.fault {
	case rlbfault.Fail:
		http.Error(w, "the engine failed within the request", http.StatusInternalServerError)
		return
	case rlbfault.Late:
		rlbcommon.Sleep(r.Context(), e.faults.Delay())
	case rlbfault.Silent:
		<-r.Context().Done()
		return
	case rlbfault.Misdelivered:
		job.id = "another-request"
	}
	w.Header().Set(rlbrelay.HeaderRequestID, job.id)
	if !e.opts.Sampling {
		w.Header().Set(rlbrelay.HeaderDeterministic, "true")
	}
	if stream {
		e.stream(w, r, job)
		return
	}
	e.whole(w, r, job)
}

// whole answers in one JSON document.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, job *run) {
	var text strings.Builder
	for n := 1; n <= job.tokens; n++ {
		text.WriteString(Token(job.digest, n))
		e.step(r.Context(), job)
	}
	if job.fault == rlbfault.CutBefore || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	doc := fmt.Sprintf(`{"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`,
		job.id, object(job.chat, false), job.model, content(job.chat, "message", text.String()), job.tokens)
	w.Header().Set("Content-Type", "application/json")
	length := len(doc)
	if job.fault == rlbfault.WrongSize || job.fault == rlbfault.CutMid {
		length++
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
	if job.fault == rlbfault.CutMid {
		doc = doc[:len(doc)/2]
	}
	_, _ = io.WriteString(w, doc) // a caller that left is no fault of ours
	if job.fault != rlbfault.CutMid {
		e.ended(job.id)
	}
}

// stream answers in server-sent events, one for each token.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, job *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := job.start + 1; n <= job.tokens; n++ {
		e.step(r.Context(), job)
		if r.Context().Err() != nil {
			return
		}
		e.event(w, r, job, n)
		if e.paced() || n%flushEvery == 0 {
			_ = flusher.Flush() // a caller that left shows in the context
		}
	}
	if job.fault == rlbfault.NoEnd {
		return
	}
	if _, err := fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", job.id, job.tokens+1); err == nil {
		e.ended(job.id)
	}
}

// event writes token n, or what the fault makes of it.
func (e *Engine) event(w http.ResponseWriter, r *http.Request, job *run, n int) {
	id, middle := job.id, n == job.start+1+(job.tokens-job.start)/2
	repeat := 1
	switch {
	case n == job.start+1 && job.fault == rlbfault.CutBefore:
		panic(http.ErrAbortHandler)
	case !middle:
	case job.fault == rlbfault.CutMid:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case job.fault == rlbfault.SilentMid:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	case job.fault == rlbfault.MisdeliveredMid:
		id = "another-request"
	case job.fault == rlbfault.Gap:
		return
	case job.fault == rlbfault.Duplicated:
		repeat = 2
	}
	finish := "null"
	if n == job.tokens {
		finish = `"stop"`
	}
	for range repeat {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
			id, n, id, object(job.chat, true), job.model, content(job.chat, "delta", Token(job.digest, n)), finish)
	}
}

// step takes the time of one decoding step of the present batch.
func (e *Engine) step(ctx context.Context, job *run) {
	if job.crash {
		e.opts.Crash()
	}
	if !e.paced() {
		return
	}
	running, _ := e.slots.counts()
	rlbcommon.Sleep(ctx, e.opts.Step+time.Duration(running)*e.opts.StepPerRequest)
}

func (e *Engine) paced() bool { return e.opts.Step+e.opts.StepPerRequest > 0 }

func object(chat, chunk bool) string {
	switch {
	case chat && chunk:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func content(chat bool, field, text string) string {
	if !chat {
		return fmt.Sprintf(`"text":%q`, text)
	}
	return fmt.Sprintf(`%q:{"role":"assistant","content":%q}`, field, text)
}

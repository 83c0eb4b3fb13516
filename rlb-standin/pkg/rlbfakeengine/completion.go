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

// CrashMarker in the body of a request crashes the engine at the first decoding step.
const CrashMarker = "standin-crash"

const (
	defaultTokens  = 16
	bytesPerToken  = 4 // prompt length in bytes per token
	maxRequestBody = 64 << 20
	flushInterval  = 16 // in tokens, when the engine decodes without delay
)

// request holds the fields of a completion request that the stand-in reads.
type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// completion is a request in flight.
type completion struct {
	id         string
	key        modelKey
	model      string
	bodyHash   uint64
	tokens     int
	chat       bool
	crash      bool
	fault      rlbfault.Fault
	sentTokens int // tokens that the caller already has; not sent again
}

// Token returns the text of token n (from 1) of the answer to a request body.
// It depends only on the body, so that all engines produce the same tokens.
func Token(bodyHash uint64, n int) string { return fmt.Sprintf("%08x-%d ", uint32(bodyHash), n) }

// HashBody returns the hash of a request body, from which the tokens of its answer are
// derived.
func HashBody(body []byte) uint64 { return xxhash.Sum64(body) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return // the caller disconnected while sending the body
	}
	var in request
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := newCompletion(r, body, in)
	c.fault = e.faults.Next()
	if c.fault == rlbfault.Refuse {
		http.Error(w, "the engine is full", http.StatusServiceUnavailable)
		return
	}
	if !e.beginRequest(c.key) {
		http.Error(w, "model is not resident", http.StatusNotFound)
		return
	}
	defer e.endRequest(c.key)
	priority, _ := strconv.Atoi(r.Header.Get(rlbrelay.HeaderPriority)) // absent: 0
	if !e.slots.acquire(r.Context(), priority) {
		return
	}
	defer e.slots.release()
	if adapter := r.Header.Get(rlbrelay.HeaderAdapter); adapter != "" {
		name, version, _ := strings.Cut(adapter, "@")
		if err := e.loadAdapter(r.Context(), name, version); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	e.recordStart(c.id, r.Header.Get(rlbrelay.HeaderIdempotencyKey))
	prefill := time.Duration(len(body)/bytesPerToken) * time.Second / time.Duration(e.opts.PrefillRate)
	if e.prefixes.use(body) {
		prefill = time.Duration(float64(prefill) * cachedPrefillShare)
	}
	rlbcommon.Sleep(r.Context(), prefill)
	e.answer(w, r, c, in.Stream)
}

func newCompletion(r *http.Request, body []byte, in request) *completion {
	c := &completion{
		id:       r.Header.Get(rlbrelay.HeaderRequestID),
		key:      modelKey{r.Header.Get(rlbrelay.HeaderModel), r.Header.Get(rlbrelay.HeaderVersion)},
		model:    in.Model,
		bodyHash: HashBody(body),
		tokens:   in.MaxTokens,
		chat:     strings.HasSuffix(r.URL.Path, "/chat/completions"),
		crash:    bytes.Contains(body, []byte(CrashMarker)),
	}
	if c.tokens <= 0 {
		c.tokens = defaultTokens
	}
	if c.key.name == "" {
		c.key.name = in.Model
	}
	if _, seq, found := strings.Cut(r.Header.Get(rlbrelay.HeaderLastEventID), "/"); found {
		c.sentTokens, _ = strconv.Atoi(seq) // an invalid number restarts from the first token
	}
	return c
}

func (e *Engine) recordStart(id, key string) {
	e.opts.Record.Write(rlbrecord.Run{Endpoint: e.opts.ID, RequestID: id, Key: key})
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.record.Runs[id]
	count.Started++
	count.Key = key
	e.record.Runs[id] = count
}

func (e *Engine) recordEnd(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.record.Runs[id]
	count.Ended++
	e.record.Runs[id] = count
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, c *completion, stream bool) {
	switch c.fault {
	case rlbfault.Fail:
		http.Error(w, "the engine failed while running the request", http.StatusInternalServerError)
		return
	case rlbfault.Late:
		rlbcommon.Sleep(r.Context(), e.faults.Delay())
	case rlbfault.Silent:
		<-r.Context().Done()
		return
	case rlbfault.Misdelivered:
		c.id = "another-request"
	}
	w.Header().Set(rlbrelay.HeaderRequestID, c.id)
	if !e.opts.Sampling {
		w.Header().Set(rlbrelay.HeaderDeterministic, "true")
	}
	if stream {
		e.answerStream(w, r, c)
		return
	}
	e.answerDocument(w, r, c)
}

// answerDocument writes the whole answer as one JSON document.
func (e *Engine) answerDocument(w http.ResponseWriter, r *http.Request, c *completion) {
	var text strings.Builder
	for n := 1; n <= c.tokens; n++ {
		text.WriteString(Token(c.bodyHash, n))
		e.decodeStep(r.Context(), c)
	}
	if c.fault == rlbfault.CutBefore || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	doc := fmt.Sprintf(`{"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`,
		c.id, objectType(c.chat, false), c.model, content(c.chat, "message", text.String()), c.tokens)
	w.Header().Set("Content-Type", "application/json")
	length := len(doc)
	if c.fault == rlbfault.WrongSize || c.fault == rlbfault.CutMid {
		length++
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
	if c.fault == rlbfault.CutMid {
		doc = doc[:len(doc)/2]
	}
	_, _ = io.WriteString(w, doc) // fails only if the caller disconnected
	if c.fault != rlbfault.CutMid {
		e.recordEnd(c.id)
	}
}

// answerStream writes the answer as server-sent events, one for each token.
func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, c *completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := c.sentTokens + 1; n <= c.tokens; n++ {
		e.decodeStep(r.Context(), c)
		if r.Context().Err() != nil {
			return
		}
		e.writeToken(w, r, c, n)
		if e.delaysTokens() || n%flushInterval == 0 {
			_ = flusher.Flush() // a disconnected caller ends the context
		}
	}
	if c.fault == rlbfault.NoEnd {
		return
	}
	if _, err := fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", c.id, c.tokens+1); err == nil {
		e.recordEnd(c.id)
	}
}

// writeToken writes the event of token n, altered by the fault of the request.
func (e *Engine) writeToken(w http.ResponseWriter, r *http.Request, c *completion, n int) {
	id, middle := c.id, n == c.sentTokens+1+(c.tokens-c.sentTokens)/2
	copies := 1
	switch {
	case n == c.sentTokens+1 && c.fault == rlbfault.CutBefore:
		panic(http.ErrAbortHandler)
	case !middle:
	case c.fault == rlbfault.CutMid:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case c.fault == rlbfault.SilentMid:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	case c.fault == rlbfault.MisdeliveredMid:
		id = "another-request"
	case c.fault == rlbfault.Gap:
		return
	case c.fault == rlbfault.Duplicated:
		copies = 2
	}
	finish := "null"
	if n == c.tokens {
		finish = `"stop"`
	}
	for range copies {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
			id, n, id, objectType(c.chat, true), c.model, content(c.chat, "delta", Token(c.bodyHash, n)), finish)
	}
}

// decodeStep waits as long as one decoding step of the current batch takes.
func (e *Engine) decodeStep(ctx context.Context, c *completion) {
	if c.crash {
		e.opts.Crash()
	}
	if !e.delaysTokens() {
		return
	}
	running, _ := e.slots.counts()
	rlbcommon.Sleep(ctx, e.opts.Step+time.Duration(running)*e.opts.StepPerRequest)
}

func (e *Engine) delaysTokens() bool { return e.opts.Step+e.opts.StepPerRequest > 0 }

func objectType(chat, chunk bool) string {
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

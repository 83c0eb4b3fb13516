// Package rlbclient implements a caller that checks the answers it receives: every
// token of a stand-in's answer is derived from the request body.
package rlbclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
)

// HeaderOutcome is the response header with the outcome reported by a gateway.
const HeaderOutcome = "X-Rlb-Outcome"

// Outcome is the outcome of a request from the caller's view.
type Outcome string

// Outcomes reported by a gateway, and two set by the client: Broken if the
// connection ended before an outcome was received, Unreached if no connection could
// be established.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Failed   Outcome = "failed"
	Unknown  Outcome = "unknown"
	Broken   Outcome = "broken"

	Unreached Outcome = "unreached"
)

// Request is one request of a caller.
type Request struct {
	Method string
	Path   string
	Body   []byte
	Key    string // idempotency key; empty: none
	Tokens int    // expected from a model; 0: a plain service
	Stream bool
	Header http.Header // additional headers
}

// Reply is the checked answer to a request. Durations are measured from SentAt.
type Reply struct {
	Outcome      Outcome
	RequestID    string // empty if the answer has none
	Code         string
	SentAt       time.Time
	FirstToken   time.Duration // until the first token of a stream
	Duration     time.Duration // until the end of the answer
	Tokens       int           // received in order, as derived from the request body
	Duplicated   bool          // a token was received twice
	Misdelivered bool          // a part of the answer belongs to another request
	Truncated    bool          // answered, but incomplete without any indication of it
}

// Client sends requests over a pool of connections.
type Client struct{ http *http.Client }

// New returns a client whose requests take at most timeout and that keeps up to
// connections idle connections per gateway.
func New(timeout time.Duration, connections int) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: connections, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Client{&http.Client{Timeout: timeout, Transport: transport}}
}

// Send sends a request to the gateway at address and checks the answer.
func (c *Client) Send(ctx context.Context, address string, r *Request) Reply {
	reply := Reply{Outcome: Broken, SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return reply
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	if r.Key != "" {
		request.Header.Set(rlbrelay.HeaderIdempotencyKey, r.Key)
		request.GetBody = nil // keeps the transport from resending the request
	}
	response, err := c.http.Do(request)
	if err != nil {
		reply.Duration = time.Since(reply.SentAt)
		if rlbhttp.NotSent(err) {
			reply.Outcome = Unreached
		}
		return reply
	}
	defer func() { _ = response.Body.Close() }()
	reply.Outcome = Outcome(response.Header.Get(HeaderOutcome))
	if reply.Outcome == "" && response.StatusCode == http.StatusOK {
		reply.Outcome = Answered // sent directly to an endpoint, without a gateway
	}
	reply.RequestID = response.Header.Get(rlbrelay.HeaderRequestID)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.readStream(response.Body, r)
	} else {
		reply.readDocument(response.Body, r)
	}
	reply.Duration = time.Since(reply.SentAt)
	return reply
}

// document is the part of an answer or error that the client reads.
type document struct {
	ID      string `json:"id"`
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
	Error *struct {
		Outcome Outcome
		Code    string
	}
	Body string // request body that a plain service received
}

func (p *Reply) readDocument(body io.Reader, r *Request) {
	data, err := io.ReadAll(body)
	var doc document
	switch {
	case err != nil:
		p.Outcome = Broken // the connection ended, which the caller can detect
	case json.Unmarshal(data, &doc) != nil:
		p.Truncated = p.Outcome == Answered
	case doc.Error != nil:
		p.Code = doc.Error.Code
	case p.Outcome != Answered:
	case r.Tokens == 0:
		p.Misdelivered = doc.Body != string(r.Body)
	case len(doc.Choices) == 0 || doc.ID != p.RequestID:
		p.Misdelivered = true
	default:
		for _, token := range strings.Fields(doc.Choices[0].Message.Content) {
			p.checkToken(token, r)
		}
		p.Truncated = p.Tokens != r.Tokens
	}
}

// readStream reads the events of a stream. If the stream ends without the end
// marker, the caller can detect the missing rest only if the transfer encoding
// is cut off too.
func (p *Reply) readStream(body io.Reader, r *Request) {
	reader := rlbrelay.NewEventReader(body)
	for {
		event, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF):
			p.Truncated = p.Outcome == Answered // well-formed end without the end marker
			return
		case err != nil:
			p.Outcome = Broken
			return
		case bytes.Equal(event.Data, []byte("[DONE]")):
			p.Truncated = p.Tokens != r.Tokens
			return
		}
		var doc document
		if json.Unmarshal(event.Data, &doc) != nil {
			p.Misdelivered = true
			continue
		}
		if doc.Error != nil {
			p.Outcome, p.Code = doc.Error.Outcome, doc.Error.Code
			return
		}
		if p.Tokens == 0 {
			p.FirstToken = time.Since(p.SentAt)
		}
		if doc.ID != p.RequestID || len(doc.Choices) == 0 {
			p.Misdelivered = true
			continue
		}
		p.checkToken(strings.TrimSpace(doc.Choices[0].Delta.Content), r)
	}
}

// checkToken checks the next token.
func (p *Reply) checkToken(token string, r *Request) {
	bodyHash := rlbfakeengine.HashBody(r.Body)
	switch strings.TrimSpace(rlbfakeengine.Token(bodyHash, p.Tokens+1)) {
	case token:
		p.Tokens++
		return
	}
	var n int
	prefix := fmt.Sprintf("%08x-", uint32(bodyHash))
	if _, err := fmt.Sscanf(strings.TrimPrefix(token, prefix), "%d", &n); err == nil && strings.HasPrefix(token, prefix) {
		p.Duplicated = p.Duplicated || n <= p.Tokens
		p.Truncated = p.Truncated || n > p.Tokens+1
		return
	}
	p.Misdelivered = true
}

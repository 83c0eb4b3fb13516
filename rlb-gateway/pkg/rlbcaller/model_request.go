package rlbcaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// Priorities in requests to engines: the lower number runs first.
const (
	priorityInteractive = 0
	priorityBatch       = 10
)

// modelRequest is a model request in flight.
type modelRequest struct {
	*Server
	*proxiedRequest
	params        completionBody
	model         rlbnote.Model
	version       string // version of the model that the endpoints serve; set by endpoints
	adapter       string // name@version; empty: none
	tracker       *rlbrelay.Tracker
	deterministic bool
	source        *rlbroute.Endpoint // endpoint that produced the latest token
	firstToken    time.Duration      // from the arrival of the request to the first token
	holdsFetch    bool               // this request holds one of the adapter fetches
}

// serveModel handles a model request.
func (s *Server) serveModel(ctx context.Context, c *call) *Refusal {
	in, refusal := parseCompletion(c.body)
	if refusal != nil {
		return refusal
	}
	model, adapter, found := s.Fleet.Routes().Note().Resolve(in.Model)
	if !found {
		return newRefusal(rlbroute.NotRun, CodeUnknownModel, in.Model)
	}
	endRequest := s.demand.beginRequest(model.Name)
	c.nonIdempotent = model.NonIdempotent || c.key != ""
	x := &modelRequest{Server: s, params: in, model: model, tracker: rlbrelay.NewTracker(c.id)}
	x.proxiedRequest = &proxiedRequest{call: c, candidates: x.endpoints, send: x.send, fingerprint: requestFingerprint(in.Model, c.body), sharedParts: in.sharedParts(), model: model.Name, firstTokenTarget: model.FirstToken, batch: model.Class == rlbnote.ClassBatch, streaming: in.Stream}
	x.routing.Prefix = in.prefix()
	if adapter != nil {
		x.adapter = adapter.Name + "@" + adapter.Version
		x.routing.Adapter = x.adapter
	}
	refusal = s.runWithClaim(ctx, c, x.fingerprint, func() *Refusal { return s.run(ctx, x.proxiedRequest) })
	endRequest(x.burnCount(refusal))
	return refusal
}

// burnCount classifies the finished request for the burn rates.
func (x *modelRequest) burnCount(refusal *Refusal) rlbburn.Count {
	switch {
	case refusal == nil && x.missedTargets():
		return rlbburn.Count{Late: 1}
	case refusal == nil:
		return rlbburn.Count{Good: 1}
	case refusal.Outcome == rlbroute.NotRun:
		return rlbburn.Count{Refused: 1}
	default:
		return rlbburn.Count{Failed: 1}
	}
}

// missedTargets reports whether a stream missed its model's latency targets. Other
// answers have no target but the caller's deadline.
func (x *modelRequest) missedTargets() bool {
	tokens := time.Duration(x.tracker.Sent())
	if tokens == 0 {
		return false
	}
	if x.model.FirstToken > 0 && x.firstToken > x.model.FirstToken {
		return true
	}
	rest := time.Since(x.arrived) - x.firstToken
	return x.model.NextToken > 0 && rest > tokens*x.model.NextToken
}

// endpoints returns the endpoints that serve the model, and sets x.version to the
// version they serve. Once the caller has a token, only endpoints with the version
// that produced it qualify.
func (x *modelRequest) endpoints() []*rlbroute.Endpoint {
	routes := x.Fleet.Routes()
	if x.tracker.Sent() > 0 {
		return x.resumable(routes.Version(x.model.Name, x.version))
	}
	endpoints, version := routes.Model(x.model.Name, x.model.Version)
	x.version = version
	return endpoints
}

// resumable returns the endpoints that can continue the stream after the tokens
// which the caller has. If the engine is not deterministic, another one may produce
// different tokens, so only the source of the stream qualifies, which may still have
// the run.
func (x *modelRequest) resumable(endpoints []*rlbroute.Endpoint) []*rlbroute.Endpoint {
	if x.deterministic {
		return endpoints
	}
	at := slices.IndexFunc(endpoints, func(e *rlbroute.Endpoint) bool {
		return e.ID() == x.source.ID() && e.Incarnation() == x.source.Incarnation()
	})
	if at < 0 {
		return nil
	}
	return endpoints[at : at+1]
}

func (x *modelRequest) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(rlbrelay.HeaderRequestID, x.id)
	h.Set(rlbrelay.HeaderModel, x.model.Name)
	h.Set(rlbrelay.HeaderVersion, x.version)
	h.Set(HeaderTimeout, remaining(x.deadline, time.Now()))
	priority := priorityInteractive
	if x.batch {
		priority = priorityBatch
	}
	h.Set(rlbrelay.HeaderPriority, strconv.Itoa(priority))
	if x.adapter != "" {
		h.Set(rlbrelay.HeaderAdapter, x.adapter)
	}
	if x.key != "" {
		h.Set(rlbrelay.HeaderIdempotencyKey, x.key)
	}
	if x.tracker.Sent() > 0 {
		h.Set(rlbrelay.HeaderLastEventID, x.tracker.LastEventID())
	}
	return h
}

// send runs the request on one endpoint and relays the answer.
func (x *modelRequest) send(ctx context.Context, e *rlbroute.Endpoint, exchange *rlbroute.Exchange) *attemptError {
	if x.adapter != "" && !e.HasAdapter(x.adapter) {
		if !x.acquireFetch(ctx) {
			return &attemptError{fault: rlbroute.FaultNotSent}
		}
		x.holdsFetch = true
		defer x.releaseFetch()
	}
	out := &rlbdispatch.Outgoing{
		Method: http.MethodPost, Path: x.r.URL.Path, Header: x.header(), Body: x.body, Deadline: x.deadline,
		// A batch request may wait longer for its first byte than the timeout of a reused
		// connection allows, and a saved round trip does not matter to it.
		NewConnection: x.nonIdempotent || x.batch,
		Events:        x.params.Stream,
	}
	in, failure := x.dispatch(ctx, x.proxiedRequest, e, exchange, out, engineFault)
	if failure != nil {
		return failure
	}
	if x.params.Stream {
		return x.relayStream(e, in, exchange)
	}
	return x.relayDocument(in, exchange)
}

// fetchPollInterval is how often a request checks for a free adapter fetch. It is
// about half the duration of a fetch.
const fetchPollInterval = 5 * time.Millisecond

// acquireFetch waits until this gateway's share of the concurrent adapter fetches
// allows one more. It returns false if the deadline passes or ctx ends first.
func (x *modelRequest) acquireFetch(ctx context.Context) bool {
	for !x.fetches.TryAcquire(x.Fleet.Gateways()) {
		if !time.Now().Before(x.deadline) || !rlbcommon.Sleep(ctx, fetchPollInterval) {
			return false
		}
	}
	return true
}

// releaseFetch releases the adapter fetch, if one is held. It is called when the
// endpoint has the adapter or the attempt is over.
func (x *modelRequest) releaseFetch() {
	if x.holdsFetch {
		x.holdsFetch = false
		x.fetches.Release()
	}
}

// relayDocument relays a non-streamed answer after checking that it is complete.
func (x *modelRequest) relayDocument(in *rlbdispatch.Incoming, exchange *rlbroute.Exchange) *attemptError {
	body, err := in.ReadAll(x.limits.maxAnswer)
	if err != nil {
		in.Abort()
		return faultOf(err)
	}
	switch rlbrelay.CheckDocument(body, x.id) {
	case rlbrelay.Foreign:
		in.Abort()
		return &attemptError{fault: rlbroute.FaultForeign}
	case rlbrelay.Malformed:
		in.Abort()
		return &attemptError{fault: rlbroute.FaultMalformed}
	}
	in.Done()
	exchange.MarkAnswering()
	x.respond(x.call, answer{rlbroute.Answered, http.StatusOK, "application/json", body})
	return nil
}

// relayStream relays a stream token by token.
func (x *modelRequest) relayStream(e *rlbroute.Endpoint, in *rlbdispatch.Incoming, exchange *rlbroute.Exchange) *attemptError {
	reader := eventReaders.Get().(*rlbrelay.EventReader)
	defer func() {
		reader.Reset(nil, nil)
		eventReaders.Put(reader)
	}()
	reader.Reset(in.Body, in.Reserve)
	flusher := http.NewResponseController(x.w)
	x.deterministic = in.Header.Get(rlbrelay.HeaderDeterministic) == "true"
	for {
		event, err := reader.Next()
		if err != nil {
			in.Abort()
			return &attemptError{fault: streamFault(in, err)}
		}
		in.RecordProgress()
		switch x.tracker.Check(event) {
		case rlbrelay.Forward:
			x.startAnswer(e, exchange)
			x.counters.tokens.Inc(1)
		case rlbrelay.End:
			x.startAnswer(e, exchange)
			x.finishStream(reader, in, event.Raw)
			return nil
		case rlbrelay.Skip:
			continue
		case rlbrelay.Foreign:
			in.Abort()
			return &attemptError{fault: rlbroute.FaultForeign}
		case rlbrelay.Gap:
			in.Abort()
			return &attemptError{fault: rlbroute.FaultGap}
		default:
			in.Abort()
			return &attemptError{fault: rlbroute.FaultMalformed}
		}
		if _, err := x.w.Write(event.Raw); err != nil {
			in.Abort()
			return &attemptError{fault: rlbroute.FaultCallerDisconnected}
		}
		if !reader.Pending() {
			x.flush(flusher)
		}
	}
}

// startAnswer records that e has produced the next token or the end marker, and
// sends the response header before the first one.
func (x *modelRequest) startAnswer(e *rlbroute.Endpoint, exchange *rlbroute.Exchange) {
	x.source = e
	x.releaseFetch()
	if x.firstTokenDone != nil {
		x.firstTokenDone(time.Now(), true)
		x.firstTokenDone = nil
	}
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	exchange.MarkAnswering()
	setIdentity(x.call, rlbroute.Answered)
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-cache")
	x.w.WriteHeader(http.StatusOK)
	x.firstToken = time.Since(x.arrived)
	x.counters.firstToken.Update(x.firstToken.Microseconds())
}

func (x *modelRequest) flush(flusher *http.ResponseController) {
	_ = flusher.SetWriteDeadline(x.deadline) // not supported by every ResponseWriter
	_ = flusher.Flush()                      // if the caller disconnected, the next write fails
}

// finishStream relays the end marker. The connection to the endpoint is reused
// only if the body ends there too.
func (x *modelRequest) finishStream(reader *rlbrelay.EventReader, in *rlbdispatch.Incoming, raw []byte) {
	_, _ = x.w.Write(raw)
	x.flush(http.NewResponseController(x.w))
	if _, err := reader.Next(); errors.Is(err, io.EOF) {
		in.Done()
		return
	}
	in.Abort()
}

func streamFault(in *rlbdispatch.Incoming, err error) rlbroute.Fault {
	if errors.Is(err, rlbrelay.ErrTooLarge) {
		return rlbroute.FaultMalformed
	}
	return in.Fault(err)
}

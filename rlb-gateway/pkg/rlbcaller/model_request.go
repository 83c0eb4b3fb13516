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

// Priorities towards engines: lower goes first.
const (
	priorityInteractive = 0
	priorityBatch       = 10
)

// modelRequest is a model request on its way.
type modelRequest struct {
	*Server
	*proxiedRequest
	params        completionBody
	model         rlbnote.Model
	version       string // of the model, as served
	adapter       string // name@version; empty: none
	tracker       *rlbrelay.Tracker
	deterministic bool
	source        *rlbroute.Endpoint // that sent the tokens the caller has
	firstToken    time.Duration      // from the request's arrival
	holdsFetch    bool               // the endpoint may be fetching the adapter
}

// serveModel serves one model request.
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
	x.proxiedRequest = &proxiedRequest{call: c, candidates: x.endpoints, send: x.send, fingerprint: fingerprint(in.Model, c.body), model: model.Name, firstTokenTarget: model.FirstToken, batch: model.Class == rlbnote.ClassBatch, streaming: in.Stream}
	x.routing.Prefix = in.prefix()
	if adapter != nil {
		x.adapter = adapter.Name + "@" + adapter.Version
		x.routing.Adapter = x.adapter
	}
	refusal = s.runWithClaim(ctx, c, x.fingerprint, func() *Refusal { return s.run(ctx, x.proxiedRequest) })
	endRequest(x.burnCount(refusal))
	return refusal
}

// burnCount tells whether the request met its targets.
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

// missedTargets reports whether a stream missed its model's targets. Other answers have
// none but the caller's deadline.
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

// endpoints returns the endpoints that serve the model. Once the caller has a
// token, only the version that it came from can go on.
func (x *modelRequest) endpoints() []*rlbroute.Endpoint {
	routes := x.Fleet.Routes()
	if x.tracker.Sent() > 0 {
		return x.resumable(routes.Version(x.model.Name, x.version))
	}
	endpoints, version := routes.Model(x.model.Name, x.model.Version)
	x.version = version
	return endpoints
}

// resumable returns those of the endpoints that can go on after the tokens that
// the caller has: without a promise of the same tokens only their source, which
// may still have the run.
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
		// A batch request may wait long for its first byte, and needs no saved round trip.
		NewConnection: x.nonIdempotent || x.batch,
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

// fetchPollInterval is the time between two looks for a free fetch: about half of what
// a fetch takes.
const fetchPollInterval = 5 * time.Millisecond

// acquireFetch waits until this gateway's share allows the endpoint to fetch an
// adapter, and reports whether the caller's time did.
func (x *modelRequest) acquireFetch(ctx context.Context) bool {
	for !x.fetches.TryAcquire(x.Fleet.Gateways()) {
		if !time.Now().Before(x.deadline) || !rlbcommon.Sleep(ctx, fetchPollInterval) {
			return false
		}
	}
	return true
}

// releaseFetch gives the fetch back: the endpoint has the adapter, or the attempt is
// over.
func (x *modelRequest) releaseFetch() {
	if x.holdsFetch {
		x.holdsFetch = false
		x.fetches.Release()
	}
}

// relayDocument passes on an answer in one document, once it is known to be whole.
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

// relayStream passes on a stream, token by token.
func (x *modelRequest) relayStream(e *rlbroute.Endpoint, in *rlbdispatch.Incoming, exchange *rlbroute.Exchange) *attemptError {
	reader := readers.Get().(*rlbrelay.EventReader)
	defer readers.Put(reader)
	reader.Reset(in.Body)
	flusher := http.NewResponseController(x.w)
	x.deterministic = in.Header.Get(rlbrelay.HeaderDeterministic) == "true"
	for {
		event, err := reader.Next()
		if err != nil {
			in.Abort()
			return &attemptError{fault: streamFault(in, err)}
		}
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

// startAnswer notes that a part of the answer goes to the caller.
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
	_ = flusher.SetWriteDeadline(x.deadline) // not all writers can
	_ = flusher.Flush()                      // a caller that left shows at the next write
}

// finishStream passes on the end marker. The connection is used again only if
// the answer ends there too.
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

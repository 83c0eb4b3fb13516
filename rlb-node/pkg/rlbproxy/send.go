package rlbproxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbadmission"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// Limits of an endpoint's silence for requests that another endpoint may run.
const (
	resumableFirstEventTimeout = 1500 * time.Millisecond // of a resumable stream
	resumableNextEventTimeout  = 1200 * time.Millisecond
	lateWaitFactor             = 2 // a late stream may wait for its first event longer than others by this many times what it expects
	idempotentAttemptDivisor   = 2 // an idempotent request waits its remaining time divided by this
)

// maxAnswerBytes is the size limit of answers that are not streams.
const maxAnswerBytes = 8 << 20

// maxRefusalBytes is how much of the answer to a request that did not run is read, so that
// its connection can be used again.
const maxRefusalBytes = 64 << 10

// Bounds of the priority that endpoints accept.
const (
	mostUrgentPriority  = 0
	leastUrgentPriority = 9
)

var noDeadline time.Time

// reasonShutdown is why a request is not tried any further when the grace of a shutdown ends.
const reasonShutdown = "the instance shuts down"

// answer is the complete answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends a request to an endpoint and relays the answer. Passed reports that
// the caller has got the final answer.
func (s *Server) send(w http.ResponseWriter, req *request, e *rlbdeployment.Endpoint) (fault rlbroute.Fault, passed bool) {
	ctx, cancel := context.WithCancel(req.inbound.Context())
	defer cancel()
	defer context.AfterFunc(s.requests, cancel)()
	outcome := rlbbalancer.OutcomeNeutral
	s.recordDomain(req, e)
	req.markAnswered = s.Balancer.Begin(e, req.load())
	start := s.Now()
	defer func() {
		req.markAnswered()
		s.Balancer.End(s.Now(), e, req.load(), outcome, s.Now().Sub(start))
	}()
	in, err := s.Dispatcher.Send(ctx, e.Address, s.outgoingRequest(req, e), req.exchange.MarkSent)
	req.framing = ""
	if err == nil {
		req.framing = in.Framing()
		s.recordStatements(req, e, in)
		fault, passed, err = s.relayAnswer(w, req, in)
	} else {
		fault, _ = rlberror.KindOf[rlbroute.Fault](err)
	}
	if err != nil {
		req.reason = err.Error()
	}
	if ctx.Err() != nil && !passed {
		return s.faultOfInterruption(req), false
	}
	outcome = outcomeOf(fault, passed)
	if passed || fault == rlbroute.FaultFailed {
		s.recordAnswered(req)
	}
	if passed {
		return fault, true
	}
	switch {
	case fault == rlbroute.FaultRefused:
		s.Balancer.RecordRefusal(s.Now(), e, req.modelKey())
		if !req.misdirected {
			s.Balancer.RecordFull(s.Now(), e)
		} else if req.adapter == "" {
			s.Balancer.RecordMismatch(s.Now(), e)
		}
	case fault == rlbroute.FaultNotSent:
		req.exchange.MarkUnsent()
		req.unsent++
	case fault == rlbroute.FaultCut:
		s.recordCrash(req, e)
	case fault == rlbroute.FaultSilent && !s.Now().Before(req.deadline):
		fault = rlbroute.FaultDeadline
	}
	return fault, false
}

// faultOfInterruption returns the fault of an attempt that was ended here: its caller has
// disconnected, or the instance shuts down.
func (s *Server) faultOfInterruption(req *request) rlbroute.Fault {
	if req.inbound.Context().Err() != nil {
		return rlbroute.FaultCallerDisconnected
	}
	req.reason = reasonShutdown
	return rlbroute.FaultDeadline
}

func outcomeOf(fault rlbroute.Fault, passed bool) rlbbalancer.Outcome {
	switch {
	case passed:
		return rlbbalancer.OutcomeSucceeded
	case fault == rlbroute.FaultRefused, fault == rlbroute.FaultCallerDisconnected:
		return rlbbalancer.OutcomeNeutral
	case fault == rlbroute.FaultNotSent, fault == rlbroute.FaultCut, fault == rlbroute.FaultSilent:
		return rlbbalancer.OutcomeNoAnswer
	default:
		return rlbbalancer.OutcomeFailed
	}
}

// outgoingRequest returns the request to send to an endpoint.
func (s *Server) outgoingRequest(req *request, e *rlbdeployment.Endpoint) *rlbdispatch.Outgoing {
	header := req.inbound.Header.Clone()
	dropHopByHopHeaders(header)
	rlbplatform.RemoveInternalHeaders(header)
	if req.snapshot.Config.IdentifiesCallers() {
		rlbplatform.SetWorkspace(header, req.workspace.Name())
	}
	header.Set(rlbplatform.HeaderExpectedInstance, e.ID)
	rlbplatform.SetTimeLeft(header, s.Now(), req.deadline)
	if req.model != "" {
		rank := req.class.EngineRank(max(req.priority, mostUrgentPriority))
		header.Set(rlbplatform.HeaderPriority, strconv.Itoa(min(rank, leastUrgentPriority)))
	}
	if req.lastEventID != "" {
		header.Set(rlbplatform.HeaderLastEventID, req.lastEventID)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // prevents the HTTP library from adding its own
	}
	out := &rlbdispatch.Outgoing{
		Method: req.inbound.Method, Path: target(req.inbound), Host: req.inbound.Host, Header: header, Body: req.body, Deadline: s.ioDeadline(req.deadline),
		NewConnection: !req.route.Retryable(),
		ID:            req.id,
		Events:        req.route.Kind == rlbdeployment.KindStream,
	}
	out.FirstByteTimeout, out.IdleTimeout = s.silenceTimeouts(req)
	out.KeepWaiting = func() bool { return !s.canFailOver(req) }
	return out
}

// target returns the path and query of a request as its caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller sent the whole URL
}

// ioDeadline converts a deadline on the server's clock to the process clock, which
// connections use.
func (s *Server) ioDeadline(deadline time.Time) time.Time {
	return time.Now().Add(deadline.Sub(s.Now()))
}

// silenceTimeouts returns how long an endpoint may be silent before the first byte
// of its answer and between parts of it.
func (s *Server) silenceTimeouts(req *request) (first, next time.Duration) {
	left := max(req.deadline.Sub(s.Now()), time.Millisecond)
	switch {
	case req.route.Kind == rlbdeployment.KindIdempotent:
		return max(left/idempotentAttemptDivisor, time.Millisecond), left
	case req.class == rlbadmission.Late:
		return min(resumableFirstEventTimeout+lateWaitFactor*req.expectedWait, left), resumableNextEventTimeout
	case req.route.Retryable():
		return min(resumableFirstEventTimeout, left), resumableNextEventTimeout
	default:
		return left, left
	}
}

// canFailOver reports whether a request whose endpoint is silent may be sent to
// another one.
func (s *Server) canFailOver(req *request) bool {
	if !req.route.Retryable() || len(req.tried)-req.unsent >= req.route.MaxAttempts {
		return false
	}
	if req.started && !s.endpointFailing(req) {
		return false // slowness alone does not justify interrupting an answer that has started
	}
	if req.adapter != "" && !req.started {
		return true // the next attempt may find an endpoint that loads the adapter
	}
	other := s.pickEndpoint(req, nil).Endpoint
	return other != nil && s.Limiter.Utilization(other.ID) < 1
}

// endpointFailing reports whether the endpoint of the latest attempt was removed or
// other requests have failed there.
func (s *Server) endpointFailing(req *request) bool {
	e := s.View.Snapshot().ByID[req.tried[len(req.tried)-1]]
	return e == nil || s.Balancer.Unhealthy(s.Now(), e)
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// relayAnswer reads the answer of an endpoint and sends it to the caller.
func (s *Server) relayAnswer(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	if in.Header.Get(rlbplatform.HeaderNotRun) != "" || in.StatusCode == http.StatusMisdirectedRequest {
		return s.recordNotRun(req, in)
	}
	if in.Header.Get(rlbplatform.HeaderServerStamp) == "" || in.Header.Get("Content-Encoding") != "" {
		in.Abort()
		req.reason = "answer has no server stamp or is encoded, status " + strconv.Itoa(in.StatusCode)
		return rlbroute.FaultMalformed, false, nil
	}
	if req.route.Kind == rlbdeployment.KindStream && in.StatusCode/100 == 2 {
		if req.begun && !isEventStream(in.Header) {
			in.Abort()
			req.reason = "answer is no stream, but " + strconv.Quote(in.Header.Get("Content-Type"))
			return rlbroute.FaultMalformed, false, nil
		}
		return s.relayStream(w, req, in)
	}
	return s.relayWhole(w, req, in)
}

// recordNotRun handles an answer by which the endpoint reports that it did not run
// the request.
func (s *Server) recordNotRun(req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	req.reason = "endpoint did not run the request, status " + strconv.Itoa(in.StatusCode)
	req.misdirected = in.StatusCode == http.StatusMisdirectedRequest
	if _, err := in.ReadAll(maxRefusalBytes); err != nil {
		in.Abort()
		return rlbroute.FaultRefused, false, nil
	}
	in.Done()
	return rlbroute.FaultRefused, false, nil
}

// relayWhole relays an answer that is not a stream. A server error of a request that
// may be retried is kept as failedAnswer instead.
func (s *Server) relayWhole(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	body, err := in.ReadAll(maxAnswerBytes)
	if err == nil && s.endedByCrash(req, in) {
		err = rlberror.New("read answer", rlbroute.FaultCut, errEndpointEnded)
	}
	if err != nil {
		in.Abort()
		fault, _ := rlberror.KindOf[rlbroute.Fault](err)
		return fault, false, err
	}
	s.recordTraffic(req, len(body))
	got := &answer{status: in.StatusCode, header: in.Header, body: body}
	req.releaseMemory()
	req.releaseMemory = in.KeepMemory()
	in.Done()
	if got.status >= http.StatusInternalServerError && req.route.Retryable() && !req.started {
		req.failedAnswer = got
		req.reason = "endpoint failed, status " + strconv.Itoa(got.status)
		return rlbroute.FaultFailed, false, nil
	}
	if req.started {
		return rlbroute.FaultFailed, false, nil
	}
	s.writeAnswer(w, req, got)
	return 0, true, nil
}

// writeAnswer sends the complete answer of an endpoint to the caller.
func (s *Server) writeAnswer(w http.ResponseWriter, req *request, got *answer) {
	copyHeader(w.Header(), got.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	_, err := w.Write(got.body)
	took := s.Now().Sub(req.arrived)
	s.requestMetrics.answered(took)
	s.durations.record(req, took, took)
	if err != nil {
		s.logEnd(req, got.status, "caller disconnected: "+err.Error())
		return
	}
	s.logEnd(req, got.status, "answer relayed")
}

func copyHeader(to, from http.Header) {
	connection := to.Get("Connection")
	kept := from.Clone()
	dropHopByHopHeaders(kept)
	kept.Del("Content-Length")
	for name, values := range kept {
		to[name] = values
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
}

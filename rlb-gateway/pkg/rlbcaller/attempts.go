package rlbcaller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

const (
	avoidDuration       = time.Second            // for an endpoint that could not be reached
	maxRetryJitter      = 20 * time.Millisecond  // longest wait before a retry
	maxRefusedRetryWait = 100 * time.Millisecond // longest wait before a refused request is tried elsewhere
)

// proxiedRequest is a request that is run on an endpoint, with what a retry needs.
type proxiedRequest struct {
	*call
	routing          rlbroute.Request
	candidates       func() []*rlbroute.Endpoint
	send             func(context.Context, *rlbroute.Endpoint, *rlbroute.Exchange) *attemptError
	fingerprint      uint64
	model            string        // or plain service
	firstTokenTarget time.Duration // for the first token; 0: none
	batch            bool          // yields to interactive requests
	streaming        bool          // has a first token before its end
	firstTokenDone   func(now time.Time, came bool)
	preempted        atomic.Bool // the present attempt was interrupted for one
	exchange         *rlbroute.Exchange
	excluded         []*rlbroute.Endpoint // not to be tried again
}

// attemptError is how an attempt ended without the whole answer.
type attemptError struct {
	fault      rlbroute.Fault
	overloaded bool // nothing was sent: the best endpoint is too busy
	reusedConn bool // it may be the fault of a connection that was used before
	status     int  // of an answer to pass on
	header     http.Header
	body       []byte
}

func faultOf(err error) *attemptError {
	var e *rlbdispatch.Error
	if errors.As(err, &e) {
		return &attemptError{fault: e.Kind(), reusedConn: errors.Is(err, rlbdispatch.ErrReusedConnection)}
	}
	return &attemptError{fault: rlbroute.FaultCut}
}

// run carries a request through its attempts. It returns nil when the caller
// has the whole answer.
func (s *Server) run(ctx context.Context, w *proxiedRequest) *Refusal {
	w.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: w.nonIdempotent, Deadline: w.deadline, MaxAttempts: s.limits.maxAttempts, Budget: s.budget,
	})
	for {
		endpoint, failure := s.attempt(ctx, w)
		if failure == nil {
			return nil
		}
		if failure.overloaded {
			return newRefusal(rlbroute.NotRun, CodeOverloaded)
		}
		failure.fault = s.classify(ctx, w, failure.fault)
		d := w.exchange.HandleFault(time.Now(), failure.fault)
		switch d.Action {
		case rlbroute.ActionRetry, rlbroute.ActionResume:
			s.counters.retries.Inc(1)
			s.excludeEndpoint(w, endpoint, failure)
			sleepBeforeRetry(ctx, failure.fault)
		case rlbroute.ActionPass:
			s.passError(w, failure)
			return nil
		default:
			return s.refusalOf(w, d, failure.fault)
		}
	}
}

// classify puts the caller's own end before what it caused on the connection.
func (s *Server) classify(ctx context.Context, w *proxiedRequest, fault rlbroute.Fault) rlbroute.Fault {
	switch {
	case ctx.Err() != nil:
		return rlbroute.FaultCallerDisconnected
	case !time.Now().Before(w.deadline):
		return rlbroute.FaultDeadline
	default:
		return fault
	}
}

// attempt runs the request on one endpoint.
func (s *Server) attempt(ctx context.Context, w *proxiedRequest) (*rlbroute.Endpoint, *attemptError) {
	crashes := s.Fleet.CountCrashes(w.fingerprint)
	var endpoint *rlbroute.Endpoint
	switch crashes {
	case 0:
		endpoint = s.chooseOrWait(ctx, w)
	case 1:
		endpoint = s.awaitQuarantineSlot(ctx, w)
	}
	if endpoint == nil {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint}
	}
	if s.limits.admission && w.wouldMissTarget(endpoint) && !endpoint.Preempt() {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint, overloaded: true}
	}
	defer endpoint.BeginRequest()() // until it is known whether the endpoint crashed
	failure := s.sendAttempt(ctx, w, endpoint)
	crashed := failure != nil && s.recordFault(ctx, w, endpoint, failure.fault)
	if crashes == 1 && !crashed {
		s.ReportCrashes(s.Fleet.AdvanceQuarantine(w.fingerprint, rlbfleetstate.QuarantineCleared, "")) // it is not to blame, and others may have the endpoint
	}
	return endpoint, failure
}

// sendAttempt sends the request to an endpoint and takes the times that it needs. A
// batch request may be interrupted.
func (s *Server) sendAttempt(ctx context.Context, w *proxiedRequest, endpoint *rlbroute.Endpoint) *attemptError {
	if w.batch && !w.nonIdempotent {
		attempt, interrupt := context.WithCancel(ctx)
		defer interrupt()
		w.preempted.Store(false)
		defer endpoint.BeginPreemptible(func() {
			w.preempted.Store(true)
			interrupt()
		})()
		ctx = attempt
	}
	begun := time.Now()
	if w.streaming {
		w.firstTokenDone = endpoint.AwaitFirstToken(begun)
		defer w.firstTokenDone(begun, false) // nothing, once the token came
	}
	w.beginAttempt()
	failure := w.send(ctx, endpoint, w.exchange)
	if failure == nil {
		endpoint.RecordServiceTime(time.Since(begun))
	}
	if failure != nil && w.preempted.Load() {
		failure.fault = rlbroute.FaultPreempted
	}
	return failure
}

// beginAttempt begins an attempt.
func (w *proxiedRequest) beginAttempt() {
	w.exchange.Begin()
	w.attempts++
}

// wouldMissTarget reports whether a request that was not sent yet would wait on the
// best endpoint for longer than its target: it is refused now, so that its
// caller knows and the endpoint keeps to those that it can answer in time. One
// that was sent may have run and is not refused so.
func (w *proxiedRequest) wouldMissTarget(e *rlbroute.Endpoint) bool {
	if w.firstTokenTarget == 0 || w.attempts > 0 { // the exchange does not count an attempt that gave way
		return false
	}
	now := time.Now()
	return rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(now), e) > w.firstTokenTarget || e.AwaitingFirstToken() > 0 && e.FirstTokenWait(now) > w.firstTokenTarget
}

// recordFault notes what a fault says of the endpoint, and reports whether the
// endpoint crashed.
func (s *Server) recordFault(ctx context.Context, w *proxiedRequest, e *rlbroute.Endpoint, fault rlbroute.Fault) bool {
	if ctx.Err() != nil {
		return false
	}
	switch fault {
	case rlbroute.FaultNotSent:
		e.Avoid(time.Now().Add(avoidDuration))
		return false
	case rlbroute.FaultCut:
		if s.Dispatcher.Probe(ctx, e.Address()) {
			return false // only the connection ended
		}
		e.Avoid(time.Now().Add(avoidDuration))
		s.reportCrash(ctx, w, e)
		return true
	default:
		return false
	}
}

// batchPollInterval is the time between two looks of a waiting batch request.
const batchPollInterval = 50 * time.Millisecond

// chooseOrWait returns the endpoint of the next attempt, or nil. A batch request
// waits here until an endpoint has a free slot, so that it stands in no queue
// before an interactive one.
func (s *Server) chooseOrWait(ctx context.Context, w *proxiedRequest) *rlbroute.Endpoint {
	for {
		e := s.choose(w)
		if e == nil || !w.batch || rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(time.Now()), e) == 0 {
			return e
		}
		if !time.Now().Before(w.deadline) || !rlbcommon.Sleep(ctx, batchPollInterval) {
			return nil
		}
	}
}

// choose returns the endpoint of the next attempt, or nil. Usually every
// candidate is good, and nothing is copied.
func (s *Server) choose(w *proxiedRequest) *rlbroute.Endpoint {
	w.routing.Now = time.Now()
	eligible := filter(candidateWindow(w), func(e *rlbroute.Endpoint) bool {
		return e.InFlight() < s.limits.maxInFlightPerEndpoint && !slices.Contains(w.excluded, e)
	})
	preferred := filter(eligible, func(e *rlbroute.Endpoint) bool { return !e.Avoided(w.routing.Now) })
	if len(preferred) == 0 {
		preferred = eligible
	}
	if len(preferred) == 0 {
		return nil
	}
	return preferred[s.Policy.Choose(&w.routing, preferred)]
}

// maxCandidates is how many candidates are looked at for one attempt.
const maxCandidates = 64

// candidateWindow returns the candidates to look at. Of many, those that the prompt's
// prefix leads to, so that its cache is found again; after a failure any.
func candidateWindow(w *proxiedRequest) []*rlbroute.Endpoint {
	candidates := w.candidates()
	if len(candidates) <= maxCandidates {
		return candidates
	}
	at := w.routing.Prefix
	if at == 0 || len(w.excluded) > 0 {
		at = rand.Uint64()
	}
	start := int(at % uint64(len(candidates)-maxCandidates+1))
	return candidates[start : start+maxCandidates]
}

// filter returns the endpoints that are good: the same slice if all are.
func filter(endpoints []*rlbroute.Endpoint, accept func(*rlbroute.Endpoint) bool) []*rlbroute.Endpoint {
	firstRejected := slices.IndexFunc(endpoints, func(e *rlbroute.Endpoint) bool { return !accept(e) })
	if firstRejected < 0 {
		return endpoints
	}
	kept := slices.Clone(endpoints[:firstRejected])
	for _, e := range endpoints[firstRejected:] {
		if accept(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// excludeEndpoint excludes an endpoint from further attempts, unless only a connection
// that was used before went silent. One whose connection failed but that is
// alive stays a last resort when it is the only one.
func (s *Server) excludeEndpoint(w *proxiedRequest, e *rlbroute.Endpoint, failure *attemptError) {
	if e == nil || failure.reusedConn && failure.fault == rlbroute.FaultSilent {
		return
	}
	fault := failure.fault
	if fault == rlbroute.FaultPreempted {
		return // the endpoint is not to blame
	}
	unusable := fault == rlbroute.FaultNotSent || fault == rlbroute.FaultRefused || e.Avoided(time.Now())
	if !unusable && len(w.candidates()) <= len(w.excluded)+1 {
		return
	}
	w.excluded = append(w.excluded, e)
}

// sleepBeforeRetry waits a random time so that retries after a common cause spread.
func sleepBeforeRetry(ctx context.Context, fault rlbroute.Fault) {
	longest := maxRetryJitter
	if fault == rlbroute.FaultRefused {
		longest = maxRefusedRetryWait
	}
	rlbcommon.Sleep(ctx, rand.N(longest))
}

// passError gives the caller the endpoint's own error.
func (s *Server) passError(w *proxiedRequest, failure *attemptError) {
	s.respond(w.call, answer{rlbroute.Failed, failure.status, failure.header.Get("Content-Type"), failure.body})
}

func (s *Server) refusalOf(w *proxiedRequest, d rlbroute.Decision, fault rlbroute.Fault) *Refusal {
	if s.Fleet.CountCrashes(w.fingerprint) >= rlbquarantine.MaxCrashes {
		return newRefusal(rlbroute.Failed, CodeCrashesEndpoints)
	}
	return newRefusal(d.Outcome, codeOf(fault, d.Outcome))
}

func codeOf(fault rlbroute.Fault, outcome rlbroute.Outcome) Code {
	switch {
	case fault == rlbroute.FaultDeadline:
		return CodeDeadline
	case fault == rlbroute.FaultTooLarge:
		return CodeAnswerTooLarge
	case outcome == rlbroute.NotRun && fault == rlbroute.FaultRefused:
		return CodeOverloaded
	case outcome == rlbroute.NotRun:
		return CodeNoEndpoint
	case fault == rlbroute.FaultFailed:
		return CodeEndpointFailed
	default:
		return CodeAnswerIncomplete
	}
}

// engineFault tells what an engine's status means, or false for an answer.
func engineFault(in *rlbdispatch.Incoming) (rlbroute.Fault, bool) {
	status := in.StatusCode
	switch {
	case status < http.StatusBadRequest:
		return 0, false
	case status == http.StatusNotFound, status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return rlbroute.FaultRefused, true
	case status < http.StatusInternalServerError:
		return rlbroute.FaultRejected, true
	default:
		return rlbroute.FaultFailed, true
	}
}

// dispatch sends one attempt and checks the answer's status and identity. The
// answer must be ended by the caller.
func (s *Server) dispatch(ctx context.Context, w *proxiedRequest, e *rlbroute.Endpoint, x *rlbroute.Exchange, out *rlbdispatch.Outgoing, fault func(*rlbdispatch.Incoming) (rlbroute.Fault, bool)) (*rlbdispatch.Incoming, *attemptError) {
	in, err := s.Dispatcher.Send(ctx, e.Address(), out, x.MarkSent)
	if err != nil {
		if rlberror.Is(err, rlbroute.FaultNotSent) {
			x.MarkUnsent()
		}
		return nil, faultOf(err)
	}
	if !rlbrelay.CheckIdentity(in.Header, w.id) {
		in.Abort()
		return nil, &attemptError{fault: rlbroute.FaultForeign}
	}
	kind, failed := fault(in)
	if !failed {
		return in, nil
	}
	body, err := in.ReadAll(s.limits.maxAnswer)
	if err != nil {
		in.Abort()
		return nil, faultOf(err)
	}
	in.Done()
	return nil, &attemptError{fault: kind, status: in.StatusCode, header: in.Header, body: body}
}

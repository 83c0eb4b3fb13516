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
	avoidTime     = time.Second            // for an endpoint that could not be reached
	retryJitter   = 20 * time.Millisecond  // longest wait before a retry
	busyRetryWait = 100 * time.Millisecond // longest wait before a refused request is tried elsewhere
)

// work is a request that is run on an endpoint, with what a retry needs.
type work struct {
	*call
	routing     rlbroute.Request
	candidates  func() []*rlbroute.Endpoint
	send        func(context.Context, *rlbroute.Endpoint, *rlbroute.Exchange) *attemptError
	fingerprint uint64
	model       string        // or plain service
	target      time.Duration // for the first token; 0: none
	batch       bool          // yields to interactive requests
	streams     bool          // has a first token before its end
	awaited     func(now time.Time, came bool)
	preempted   atomic.Bool // the present attempt was interrupted for one
	exchange    *rlbroute.Exchange
	failed      []*rlbroute.Endpoint // not to be tried again
}

// attemptError is how an attempt ended without the whole answer.
type attemptError struct {
	fault  rlbroute.Fault
	busy   bool // nothing was sent: the best endpoint is too busy
	reused bool // it may be the fault of a connection that was used before
	status int  // of an answer to pass on
	header http.Header
	body   []byte
}

func faultOf(err error) *attemptError {
	var e *rlbdispatch.Error
	if errors.As(err, &e) {
		return &attemptError{fault: e.Kind(), reused: errors.Is(err, rlbdispatch.ErrReusedConnection)}
	}
	return &attemptError{fault: rlbroute.FaultCut}
}

// run carries a request through its attempts. It returns nil when the caller
// has the whole answer.
func (s *Server) run(ctx context.Context, w *work) *Refusal {
	w.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: w.once, Deadline: w.deadline, MaxAttempts: s.limits.maxAttempts, Budget: s.budget,
	})
	for {
		ended, failure := s.attempt(ctx, w)
		if failure == nil {
			return nil
		}
		if failure.busy {
			return newRefusal(rlbroute.NotRun, CodeOverloaded)
		}
		failure.fault = s.classify(ctx, w, failure.fault)
		d := w.exchange.HandleFault(time.Now(), failure.fault)
		switch d.Action {
		case rlbroute.ActionRetry, rlbroute.ActionResume:
			s.counters.retries.Inc(1)
			s.remember(w, ended, failure)
			pause(ctx, failure.fault)
		case rlbroute.ActionPass:
			s.passOn(w, failure)
			return nil
		default:
			return s.refusalOf(w, d, failure.fault)
		}
	}
}

// classify puts the caller's own end before what it caused on the connection.
func (s *Server) classify(ctx context.Context, w *work, fault rlbroute.Fault) rlbroute.Fault {
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
func (s *Server) attempt(ctx context.Context, w *work) (*rlbroute.Endpoint, *attemptError) {
	strikes := s.Fleet.Strikes(w.fingerprint)
	var endpoint *rlbroute.Endpoint
	switch strikes {
	case 0:
		endpoint = s.chooseFree(ctx, w)
	case 1:
		endpoint = s.awaitTurn(ctx, w)
	}
	if endpoint == nil {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint}
	}
	if s.limits.admission && w.tooLate(endpoint) && !endpoint.Preempt() {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint, busy: true}
	}
	defer endpoint.BeginRequest()() // until it is known whether the endpoint crashed
	failure := s.sendTo(ctx, w, endpoint)
	crashed := failure != nil && s.examine(ctx, w, endpoint, failure.fault)
	if strikes == 1 && !crashed {
		s.Strike(s.Fleet.Advance(w.fingerprint, rlbfleetstate.QuarantineCleared, "")) // it is not to blame, and others may have the endpoint
	}
	return endpoint, failure
}

// sendTo sends the request to an endpoint and takes the times that it needs. A
// batch request may be interrupted.
func (s *Server) sendTo(ctx context.Context, w *work, endpoint *rlbroute.Endpoint) *attemptError {
	if w.batch && !w.once {
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
	if w.streams {
		w.awaited = endpoint.AwaitFirstToken(begun)
		defer w.awaited(begun, false) // nothing, once the token came
	}
	w.begin()
	failure := w.send(ctx, endpoint, w.exchange)
	if failure == nil {
		endpoint.RecordServiceTime(time.Since(begun))
	}
	if failure != nil && w.preempted.Load() {
		failure.fault = rlbroute.FaultPreempted
	}
	return failure
}

// begin begins an attempt.
func (w *work) begin() {
	w.exchange.Begin()
	w.attempts++
}

// tooLate reports whether a request that was not sent yet would wait on the
// best endpoint for longer than its target: it is refused now, so that its
// caller knows and the endpoint keeps to those that it can answer in time. One
// that was sent may have run and is not refused so.
func (w *work) tooLate(e *rlbroute.Endpoint) bool {
	if w.target == 0 || w.attempts > 0 { // the exchange does not count an attempt that gave way
		return false
	}
	now := time.Now()
	return rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(now), e) > w.target || e.AwaitingFirstToken() > 0 && e.FirstTokenWait(now) > w.target
}

// examine notes what a fault says of the endpoint, and reports whether the
// endpoint crashed.
func (s *Server) examine(ctx context.Context, w *work, e *rlbroute.Endpoint, fault rlbroute.Fault) bool {
	if ctx.Err() != nil {
		return false
	}
	switch fault {
	case rlbroute.FaultNotSent:
		e.Avoid(time.Now().Add(avoidTime))
		return false
	case rlbroute.FaultCut:
		if s.Dispatcher.Probe(ctx, e.Address()) {
			return false // only the connection ended
		}
		e.Avoid(time.Now().Add(avoidTime))
		s.strike(ctx, w, e)
		return true
	default:
		return false
	}
}

// batchPeriod is the time between two looks of a waiting batch request.
const batchPeriod = 50 * time.Millisecond

// chooseFree returns the endpoint of the next attempt, or nil. A batch request
// waits here until an endpoint has a free slot, so that it stands in no queue
// before an interactive one.
func (s *Server) chooseFree(ctx context.Context, w *work) *rlbroute.Endpoint {
	for {
		e := s.choose(w)
		if e == nil || !w.batch || rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(time.Now()), e) == 0 {
			return e
		}
		if !time.Now().Before(w.deadline) || !rlbcommon.Sleep(ctx, batchPeriod) {
			return nil
		}
	}
}

// choose returns the endpoint of the next attempt, or nil. Usually every
// candidate is good, and nothing is copied.
func (s *Server) choose(w *work) *rlbroute.Endpoint {
	w.routing.Now = time.Now()
	eligible := keep(window(w), func(e *rlbroute.Endpoint) bool {
		return e.InFlight() < s.limits.perEndpoint && !slices.Contains(w.failed, e)
	})
	preferred := keep(eligible, func(e *rlbroute.Endpoint) bool { return !e.Avoided(w.routing.Now) })
	if len(preferred) == 0 {
		preferred = eligible
	}
	if len(preferred) == 0 {
		return nil
	}
	return preferred[s.Policy.Choose(&w.routing, preferred)]
}

// maxConsidered is how many candidates are looked at for one attempt.
const maxConsidered = 64

// window returns the candidates to look at. Of many, those that the prompt's
// prefix leads to, so that its cache is found again; after a failure any.
func window(w *work) []*rlbroute.Endpoint {
	candidates := w.candidates()
	if len(candidates) <= maxConsidered {
		return candidates
	}
	at := w.routing.Prefix
	if at == 0 || len(w.failed) > 0 {
		at = rand.Uint64()
	}
	start := int(at % uint64(len(candidates)-maxConsidered+1))
	return candidates[start : start+maxConsidered]
}

// keep returns the endpoints that are good: the same slice if all are.
func keep(endpoints []*rlbroute.Endpoint, good func(*rlbroute.Endpoint) bool) []*rlbroute.Endpoint {
	bad := slices.IndexFunc(endpoints, func(e *rlbroute.Endpoint) bool { return !good(e) })
	if bad < 0 {
		return endpoints
	}
	kept := slices.Clone(endpoints[:bad])
	for _, e := range endpoints[bad:] {
		if good(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// remember excludes an endpoint from further attempts, unless only a connection
// that was used before went silent. One whose connection failed but that is
// alive stays a last resort when it is the only one.
func (s *Server) remember(w *work, e *rlbroute.Endpoint, failure *attemptError) {
	if e == nil || failure.reused && failure.fault == rlbroute.FaultSilent {
		return
	}
	fault := failure.fault
	if fault == rlbroute.FaultPreempted {
		return // the endpoint is not to blame
	}
	gone := fault == rlbroute.FaultNotSent || fault == rlbroute.FaultRefused || e.Avoided(time.Now())
	if !gone && len(w.candidates()) <= len(w.failed)+1 {
		return
	}
	w.failed = append(w.failed, e)
}

// pause waits a random time so that retries after a common cause spread.
func pause(ctx context.Context, fault rlbroute.Fault) {
	longest := retryJitter
	if fault == rlbroute.FaultRefused {
		longest = busyRetryWait
	}
	rlbcommon.Sleep(ctx, rand.N(longest))
}

// passOn gives the caller the endpoint's own error.
func (s *Server) passOn(w *work, failure *attemptError) {
	s.answer(w.call, answer{rlbroute.Failed, failure.status, failure.header.Get("Content-Type"), failure.body})
}

func (s *Server) refusalOf(w *work, d rlbroute.Decision, fault rlbroute.Fault) *Refusal {
	if s.Fleet.Strikes(w.fingerprint) >= rlbquarantine.MaxCrashes {
		return newRefusal(rlbroute.Failed, CodeCrashes)
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
		return CodeAnswerCut
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
func (s *Server) dispatch(ctx context.Context, w *work, e *rlbroute.Endpoint, x *rlbroute.Exchange, out *rlbdispatch.Outgoing, fault func(*rlbdispatch.Incoming) (rlbroute.Fault, bool)) (*rlbdispatch.Incoming, *attemptError) {
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

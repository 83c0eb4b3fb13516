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
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

const (
	avoidDuration       = time.Second            // for which an unreachable endpoint is avoided
	maxRetryJitter      = 20 * time.Millisecond  // upper bound of the random delay before a retry
	maxRefusedRetryWait = 100 * time.Millisecond // the same after an endpoint refused the request
)

// proxiedRequest is a request that runs on endpoints, with its state across
// attempts.
type proxiedRequest struct {
	*call
	routing          rlbroute.Request
	candidates       func() []*rlbroute.Endpoint
	send             func(context.Context, *rlbroute.Endpoint, *rlbroute.Exchange) *attemptError
	fingerprint      uint64
	sharedParts      []uint64      // hashes of the parts of the prompt that other requests may share
	crashingUntil    time.Time     // until when requests with one of these parts are refused, as they crash endpoints; zero: they are not
	model            string        // or plain service
	firstTokenTarget time.Duration // latency target of the first token; 0: none
	batch            bool          // waits for a free slot and, if idempotent, may be preempted by interactive requests
	streaming        bool          // the first token comes before the end of the answer
	firstTokenDone   func(now time.Time, received bool)
	preempted        atomic.Bool // the current attempt was interrupted for an interactive request
	exchange         *rlbroute.Exchange
	excluded         []*rlbroute.Endpoint // from further attempts
}

// attemptError describes an attempt that did not deliver a complete answer.
type attemptError struct {
	fault      rlbroute.Fault
	overloaded bool // nothing was sent: the best endpoint would miss the latency target
	reusedConn bool // the fault occurred on a reused connection and may concern only that connection
	status     int  // status, header and body of an error answer to relay
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

// run makes attempts until the request is answered or refused. It returns nil
// once the caller has a complete answer, which may be an endpoint's error answer.
func (s *Server) run(ctx context.Context, p *proxiedRequest) *Refusal {
	p.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: p.nonIdempotent, Deadline: p.deadline, MaxAttempts: s.limits.maxAttempts, Budget: s.budget,
	})
	for {
		endpoint, failure := s.attempt(ctx, p)
		if failure == nil {
			return nil
		}
		if failure.overloaded {
			return newRefusal(rlbroute.NotRun, CodeOverloaded)
		}
		failure.fault = s.classify(ctx, p, failure.fault)
		d := p.exchange.HandleFault(time.Now(), failure.fault)
		switch d.Action {
		case rlbroute.ActionRetry, rlbroute.ActionResume:
			s.counters.retries.Inc(1)
			s.excludeEndpoint(p, endpoint, failure)
			sleepBeforeRetry(ctx, failure.fault)
		case rlbroute.ActionPass:
			s.passError(p, failure)
			return nil
		default:
			return s.refusalOf(p, d, failure.fault)
		}
	}
}

// classify returns the fault of an attempt. A disconnected caller or an expired
// deadline takes precedence, as it may have caused the fault.
func (s *Server) classify(ctx context.Context, p *proxiedRequest, fault rlbroute.Fault) rlbroute.Fault {
	switch {
	case ctx.Err() != nil:
		return rlbroute.FaultCallerDisconnected
	case !time.Now().Before(p.deadline):
		return rlbroute.FaultDeadline
	default:
		return fault
	}
}

// attempt runs the request on one endpoint and returns that endpoint, or nil if the
// request was not sent to any. A request with one crash record runs in a quarantine
// slot; a request with more does not run.
func (s *Server) attempt(ctx context.Context, p *proxiedRequest) (*rlbroute.Endpoint, *attemptError) {
	if s.hasCrashingPart(p) {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint}
	}
	crashes := s.Fleet.CountCrashes(p.fingerprint)
	var endpoint *rlbroute.Endpoint
	switch crashes {
	case 0:
		endpoint = s.chooseOrWait(ctx, p)
	case 1:
		endpoint = s.awaitQuarantineSlot(ctx, p)
	}
	if endpoint == nil {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint}
	}
	if s.limits.admission && p.wouldMissTarget(endpoint) && !endpoint.Preempt() {
		return nil, &attemptError{fault: rlbroute.FaultNoEndpoint, overloaded: true}
	}
	defer endpoint.BeginRequest()() // counted as in flight until it is known whether the endpoint crashed
	failure := s.sendAttempt(ctx, p, endpoint)
	crashed := failure != nil && s.recordFault(ctx, p, endpoint, failure.fault)
	if failure == nil {
		s.Fleet.RecordAnswer(p.model, p.sharedParts)
	}
	if crashes == 1 && !crashed {
		s.ReportCrashes(s.Fleet.AdvanceQuarantine(p.fingerprint, rlbfleetstate.QuarantineCleared, "")) // the request did not crash this endpoint: end its quarantine and free the slot
	}
	return endpoint, failure
}

// sendAttempt sends the request to an endpoint and records its first-token and
// service times. An idempotent batch request can be preempted.
func (s *Server) sendAttempt(ctx context.Context, p *proxiedRequest, endpoint *rlbroute.Endpoint) *attemptError {
	if p.batch && !p.nonIdempotent {
		attempt, interrupt := context.WithCancel(ctx)
		defer interrupt()
		p.preempted.Store(false)
		defer endpoint.BeginPreemptible(func() {
			p.preempted.Store(true)
			interrupt()
		})()
		ctx = attempt
	}
	begun := time.Now()
	if p.streaming {
		p.firstTokenDone = endpoint.AwaitFirstToken(begun)
		defer p.firstTokenDone(begun, false) // no effect if the first token was received
	}
	p.beginAttempt()
	failure := p.send(ctx, endpoint, p.exchange)
	if failure == nil {
		endpoint.RecordServiceTime(time.Since(begun))
	}
	if failure != nil && p.preempted.Load() {
		failure.fault = rlbroute.FaultPreempted
	}
	return failure
}

// beginAttempt begins and counts an attempt.
func (p *proxiedRequest) beginAttempt() {
	p.exchange.Begin()
	p.attempts++
}

// wouldMissTarget reports whether a request without earlier attempts would wait on
// e, the best endpoint, for longer than its first-token target. Such a request is
// refused at once: its caller can react early, and the endpoint has capacity for
// requests that it can answer in time. A request that was sent may have run, so it
// is not refused here.
func (p *proxiedRequest) wouldMissTarget(e *rlbroute.Endpoint) bool {
	if p.firstTokenTarget == 0 || p.attempts > 0 { // not the exchange's count, which leaves out preempted attempts
		return false
	}
	now := time.Now()
	return rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(now), e) > p.firstTokenTarget || e.AwaitingFirstToken() > 0 && e.FirstTokenWait(now) > p.firstTokenTarget
}

// recordFault marks the endpoint as avoided if a fault shows that it is
// unreachable, and returns whether the endpoint crashed. A crash is also reported
// to the fleet.
func (s *Server) recordFault(ctx context.Context, p *proxiedRequest, e *rlbroute.Endpoint, fault rlbroute.Fault) bool {
	if ctx.Err() != nil {
		return false
	}
	switch fault {
	case rlbroute.FaultNotSent:
		e.Avoid(time.Now().Add(avoidDuration))
		return false
	case rlbroute.FaultCut:
		if s.Dispatcher.Probe(ctx, e.Address()) {
			return false // the endpoint still accepts connections: only this one ended
		}
		e.Avoid(time.Now().Add(avoidDuration))
		s.reportCrash(ctx, p, e)
		return true
	default:
		return false
	}
}

// batchPollInterval is how often a waiting batch request checks for a free slot.
const batchPollInterval = 50 * time.Millisecond

// chooseOrWait returns the endpoint of the next attempt, or nil. A batch request
// waits here until an endpoint has a free slot, so that it never queues at an
// endpoint ahead of an interactive one.
func (s *Server) chooseOrWait(ctx context.Context, p *proxiedRequest) *rlbroute.Endpoint {
	for {
		e := s.choose(p)
		if e == nil || !p.batch || rlbroute.SlotWait(e.InFlight()+e.OthersInFlight(time.Now()), e) == 0 {
			return e
		}
		if !time.Now().Before(p.deadline) || !rlbcommon.Sleep(ctx, batchPollInterval) {
			return nil
		}
	}
}

// choose returns the endpoint of the next attempt, or nil. Avoided endpoints are
// used only if there are no others.
func (s *Server) choose(p *proxiedRequest) *rlbroute.Endpoint {
	p.routing.Now = time.Now()
	eligible := filter(candidateWindow(p), func(e *rlbroute.Endpoint) bool {
		return e.InFlight() < s.limits.maxInFlightPerEndpoint && !slices.Contains(p.excluded, e)
	})
	preferred := filter(eligible, func(e *rlbroute.Endpoint) bool { return !e.Avoided(p.routing.Now) })
	if len(preferred) == 0 {
		preferred = eligible
	}
	if len(preferred) == 0 {
		return nil
	}
	return preferred[s.Policy.Choose(&p.routing, preferred)]
}

// maxCandidates is how many candidates are considered for one attempt.
const maxCandidates = 64

// candidateWindow returns the candidates to consider. If there are more than
// maxCandidates, the hash of the prompt's prefix selects a window of them, so that
// requests with the same prefix reach the endpoints that have it cached. Without a
// prefix, or after a failure, the window is random.
func candidateWindow(p *proxiedRequest) []*rlbroute.Endpoint {
	candidates := p.candidates()
	if len(candidates) <= maxCandidates {
		return candidates
	}
	at := p.routing.Prefix
	if at == 0 || len(p.excluded) > 0 {
		at = rand.Uint64()
	}
	start := int(at % uint64(len(candidates)-maxCandidates+1))
	return candidates[start : start+maxCandidates]
}

// filter returns the endpoints that accept allows. If it allows all of them, which
// is the usual case, it returns the slice itself without a copy.
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

// excludeEndpoint excludes an endpoint from further attempts, unless only a reused
// connection went silent or the attempt was preempted. The last candidate left is
// excluded only if it is unreachable or refused the request.
func (s *Server) excludeEndpoint(p *proxiedRequest, e *rlbroute.Endpoint, failure *attemptError) {
	if e == nil || failure.reusedConn && failure.fault == rlbroute.FaultSilent {
		return
	}
	fault := failure.fault
	if fault == rlbroute.FaultPreempted {
		return // this gateway interrupted the attempt: the endpoint did not fail
	}
	unusable := fault == rlbroute.FaultNotSent || fault == rlbroute.FaultRefused || e.Avoided(time.Now())
	if !unusable && len(p.candidates()) <= len(p.excluded)+1 {
		return
	}
	p.excluded = append(p.excluded, e)
}

// sleepBeforeRetry waits a random time, so that requests that failed for the same
// cause don't retry all at once.
func sleepBeforeRetry(ctx context.Context, fault rlbroute.Fault) {
	longest := maxRetryJitter
	if fault == rlbroute.FaultRefused {
		longest = maxRefusedRetryWait
	}
	rlbcommon.Sleep(ctx, rand.N(longest))
}

// passError relays the endpoint's error answer to the caller.
func (s *Server) passError(p *proxiedRequest, failure *attemptError) {
	s.respond(p.call, answer{rlbroute.Failed, failure.status, failure.header.Get("Content-Type"), failure.body})
}

func (s *Server) refusalOf(p *proxiedRequest, d rlbroute.Decision, fault rlbroute.Fault) *Refusal {
	if s.Fleet.CountCrashes(p.fingerprint) >= rlbquarantine.MaxCrashes {
		return newRefusal(rlbroute.Failed, CodeCrashesEndpoints)
	}
	if !p.crashingUntil.IsZero() {
		return newRefusal(d.Outcome, CodeCrashingPart).withRetryAfter(time.Until(p.crashingUntil))
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

// engineFault returns the fault that an engine's status stands for, or false if it
// is no fault.
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

// dispatch sends one attempt and checks the status of the answer, which names the request
// or, on a new connection, none. Done or Abort must be called on the returned answer.
func (s *Server) dispatch(ctx context.Context, p *proxiedRequest, e *rlbroute.Endpoint, exchange *rlbroute.Exchange, out *rlbdispatch.Outgoing, fault func(*rlbdispatch.Incoming) (rlbroute.Fault, bool)) (*rlbdispatch.Incoming, *attemptError) {
	out.ID = p.id
	in, err := s.Dispatcher.Send(ctx, e.Address(), out, exchange.MarkSent)
	if err != nil {
		if rlberror.Is(err, rlbroute.FaultNotSent) {
			exchange.MarkUnsent()
		}
		return nil, faultOf(err)
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

package rlbproxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// waitShare is the part of a route's target, in hundredths, that a request may
// be expected to wait at an endpoint.
const waitShare = 90

// run sends a request to endpoints until it has an answer or must end.
func (s *Server) run(w http.ResponseWriter, x *request) {
	if x.model != "" {
		s.demand.begin(x.model)
		defer func() { s.demand.end(x.model, len(x.tried) == 0) }()
	}
	if s.suspects.guilty(x.print) {
		s.refuse(w, x, refuseSuspect)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(s.ioDeadline(x.deadline)) // a caller that stops reading
	for s.attempt(w, x) {
	}
	_ = control.SetWriteDeadline(noDeadline)
}

// attempt makes one attempt; it reports whether another must follow.
func (s *Server) attempt(w http.ResponseWriter, x *request) bool {
	fault := rlbroute.FaultNoEndpoint
	if endpoint := s.choose(x); endpoint != nil {
		x.exchange.Begin()
		x.tried = append(x.tried, endpoint.ID)
		var passed bool
		if fault, passed = s.send(w, x, endpoint); passed {
			return false
		}
		s.logFault(x, endpoint, fault)
	}
	decision := x.exchange.HandleFault(s.Now(), fault)
	switch decision.Action {
	case rlbroute.ActionRetry, rlbroute.ActionResume:
		return true
	default:
		s.end(w, x, decision.Outcome, fault)
		return false
	}
}

func (s *Server) logFault(x *request, endpoint *rlbdeployment.Endpoint, fault rlbroute.Fault) {
	s.Log.WithFields(log.Fields{
		"request": x.id, "endpoint": endpoint.ID, "address": endpoint.Address, "fault": fault.String(), "reason": x.reason,
		"after_ms": s.Now().Sub(x.arrived).Milliseconds(),
	}).Info("attempt failed")
}

// choose returns the endpoint for the next attempt, or nil.
func (s *Server) choose(x *request) *rlbdeployment.Endpoint {
	holders, found := s.holders(x)
	if !found {
		return nil
	}
	best := s.pick(x, holders)
	x.expected, x.sent = best.Wait, s.Now()
	switch {
	case best.Endpoint == nil:
		x.reason = "no endpoint holds the model"
	case !s.admits(x, best):
		x.reason = "expected wait " + best.Wait.String() + " at " + best.Endpoint.ID
		x.busy = true
		return nil
	}
	return best.Endpoint
}

// admits reports whether a request is sent to an endpoint: not one that would
// wait there for longer than its answer is worth having. One that the caller has
// a part of goes on anyhow.
func (s *Server) admits(x *request, c rlbbalancer.Choice) bool {
	return x.model == "" || x.started || c.Wait <= s.longestWait(x)
}

// longestWait returns how long a request may be expected to wait at an endpoint.
func (s *Server) longestWait(x *request) time.Duration {
	return x.route.TargetLatency * waitShare / 100
}

// pick returns the best endpoint that was not tried; nil: there is none. A
// request for an adapter goes to one of its holders.
func (s *Server) pick(x *request, holders []string) rlbbalancer.Choice {
	fits := func(e *rlbdeployment.Endpoint) bool {
		if slices.Contains(x.tried, e.ID) {
			return false
		}
		if x.adapter != "" {
			return slices.Contains(holders, e.ID)
		}
		return x.model == "" || e.HasModel(x.model)
	}
	all := s.View.Snapshot().ByService[x.service]
	return s.Loads.Pick(s.Now(), all, rlbbalancer.Requirements{Domain: s.Domain, Model: x.wants(), Urgent: x.work().Urgent, Fits: fits, OtherLoad: s.Others})
}

// holders returns the endpoints that hold the request's adapter, if it names one.
func (s *Server) holders(x *request) (endpoints []string, found bool) {
	if x.adapter == "" {
		return nil, true
	}
	endpoints, reason := s.Adapters.Find(x.caller.Context(), x.service, x.model, x.adapter, x.tried)
	if len(endpoints) == 0 {
		x.reason = reason
		return nil, false
	}
	return endpoints, true
}

// end gives a request its final answer.
func (s *Server) end(w http.ResponseWriter, x *request, outcome rlbroute.Outcome, fault rlbroute.Fault) {
	switch {
	case fault == rlbroute.FaultCallerDisconnected:
		s.logEnd(x, 0, "caller left")
	case x.started:
		s.logEnd(x, 0, "stream broken off: "+fault.String())
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	case x.failure != nil:
		s.pass(w, x, x.failure)
	case outcome == rlbroute.NotRun && x.busy:
		s.refuse(w, x, refuseBusy.at(x.expected-s.longestWait(x)))
	case outcome == rlbroute.NotRun && fault == rlbroute.FaultNoEndpoint:
		s.refuse(w, x, refuseNoEndpoint)
	case outcome == rlbroute.NotRun && fault == rlbroute.FaultDeadline:
		s.refuse(w, x, refuseLate)
	case outcome == rlbroute.NotRun:
		s.refuse(w, x, refuseRetries)
	case fault == rlbroute.FaultDeadline:
		s.refuse(w, x, failDeadline)
	case outcome == rlbroute.Failed:
		s.refuse(w, x, failFailed)
	default:
		s.refuse(w, x, failUnknown)
	}
}

package rlbproxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbadmission"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// proxy sends a request to endpoints until it is answered, refused or failed.
func (s *Server) proxy(w http.ResponseWriter, req *request) {
	if s.quarantined(req) {
		s.refuse(w, req, s.quarantineRefusal(req))
		return
	}
	if refusal := s.bindToVersion(req); refusal != nil {
		s.refuse(w, req, refusal)
		return
	}
	if req.model != "" {
		s.demand.begin(req.model)
		defer func() { s.demand.end(req.model, len(req.tried) == 0) }()
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(s.ioDeadline(req.deadline)) // in case the caller stops reading
	for s.attempt(w, req) {
	}
	_ = control.SetWriteDeadline(noDeadline)
}

// attempt makes one attempt and reports whether another one must follow.
func (s *Server) attempt(w http.ResponseWriter, req *request) bool {
	fault := rlbroute.FaultNoEndpoint
	if endpoint := s.chooseEndpoint(req); s.requests.Err() != nil {
		fault, req.reason = rlbroute.FaultDeadline, reasonShutdown
	} else if endpoint != nil {
		req.exchange.Begin()
		req.tried, req.software = append(req.tried, endpoint.ID), append(req.software, endpoint.SoftwareVersion)
		req.harmless = false
		if req.class == rlbadmission.Late {
			s.requestMetrics.late.Inc(1)
		}
		var passed bool
		if fault, passed = s.send(w, req, endpoint); passed {
			return false
		}
		s.logFault(req, endpoint, fault)
	}
	decision := req.exchange.HandleFault(s.Now(), fault)
	switch decision.Action {
	case rlbroute.ActionRetry, rlbroute.ActionResume:
		return true
	default:
		s.finish(w, req, decision.Outcome, fault)
		return false
	}
}

func (s *Server) logFault(req *request, endpoint *rlbdeployment.Endpoint, fault rlbroute.Fault) {
	s.Log.WithFields(log.Fields{
		"request": req.id, "endpoint": endpoint.ID, "address": endpoint.Address, "fault": fault.String(), "reason": req.reason,
		"framing": req.framing, "last_event": req.lastEventID,
		"after_ms": s.Now().Sub(req.arrived).Milliseconds(),
	}).Info("attempt failed")
}

// chooseEndpoint returns the endpoint for the next attempt, or nil if there is
// none that may get the request.
func (s *Server) chooseEndpoint(req *request) *rlbdeployment.Endpoint {
	if len(req.tried) > 0 && s.quarantined(req) {
		return nil
	}
	return s.chooseWithinLimits(req)
}

// chooseUnlimited returns the best endpoint that was neither tried nor ruled out by its
// limit, or nil if there is none or the request would wait there for too long.
func (s *Server) chooseUnlimited(req *request) *rlbdeployment.Endpoint {
	withAdapter, found := s.endpointsWithAdapter(req)
	if !found {
		return nil
	}
	best := s.admit(req, withAdapter)
	req.expectedWait, req.attemptStart, req.heldOffUntil = best.Wait, s.Now(), best.HeldOffUntil
	req.tokensAhead, req.queued = best.Ahead, best.Queued
	switch {
	case !best.HeldOffUntil.IsZero():
		req.reason = "all endpoints that can serve the request want none for a while"
	case best.Endpoint == nil:
		req.reason = "no endpoint that can serve the request is left to try"
	case req.class == rlbadmission.Refused:
		req.reason = "expected wait " + best.Wait.String() + " at " + best.Endpoint.ID
		req.busy = true
		return nil
	}
	return best.Endpoint
}

// admit returns the best endpoint for a request and sets the class with which it is sent there. A
// request that would wait there for too long to meet its target latency waits as a late one where that
// wait is shortest, or is refused. A request whose answer has partly reached the caller, with
// an earlier request or with this one, is always admitted.
func (s *Server) admit(req *request, withAdapter []string) rlbbalancer.Choice {
	req.class = rlbadmission.InTime
	best, terms := s.pickEndpoint(req, withAdapter), req.terms(s.Now())
	if best.Endpoint == nil || req.model == "" || req.begun || terms.InTime(best.Wait) {
		return best
	}
	if terms.MayBeLate() {
		req.class = rlbadmission.Late
		if late := s.pickEndpoint(req, withAdapter); late.Endpoint != nil && terms.MayWait(late.Wait) {
			return late
		}
	}
	req.class = rlbadmission.Refused
	return best
}

// pickEndpoint returns the best endpoint that was not tried yet; its Endpoint is
// nil if there is none. A request for an adapter goes to one of the endpoints in
// withAdapter.
func (s *Server) pickEndpoint(req *request, withAdapter []string) rlbbalancer.Choice {
	changes, mayRunAt := s.ModelChanges(), s.versionFilter(req)
	fits := func(e *rlbdeployment.Endpoint) bool {
		if slices.Contains(req.tried, e.ID) || slices.Contains(req.limited, e.ID) || !mayRunAt(e) {
			return false
		}
		if req.adapter != "" && !slices.Contains(withAdapter, e.ID) {
			return false
		}
		return req.model == "" || changes.Serves(e, req.model)
	}
	all := s.View.Snapshot().ByService[req.service]
	lone := loneOfTheirVersion(all, func(e *rlbdeployment.Endpoint) bool { return !e.Draining && changes.Serves(e, req.model) })
	cost := func(id string) time.Duration {
		if slices.Contains(lone, id) && !req.begun && req.route.Resumable {
			return s.Limiter.Cost(id) + loneVersionCost
		}
		return s.Limiter.Cost(id)
	}
	return s.Balancer.Pick(s.Now(), all, rlbbalancer.Requirements{Domain: s.Domain, Model: req.modelKey(), Urgent: req.load().Urgent, Late: req.class == rlbadmission.Late, Fits: fits, OtherLoad: s.PeerLoad, Instances: s.Instances(), ExtraCost: cost, CrossDomainCost: s.crossDomainCosts(req)})
}

// endpointsWithAdapter returns the endpoints on which the request's adapter is loaded.
// Found is true, without endpoints, if the request names no adapter.
func (s *Server) endpointsWithAdapter(req *request) (endpoints []string, found bool) {
	if req.adapter == "" {
		return nil, true
	}
	avoid := slices.Concat(req.tried, req.limited, s.Balancer.HeldOffEndpoints(s.Now()), s.otherVersions(req))
	endpoints, reason := s.Adapters.Find(req.inbound.Context(), req.service, req.model, req.adapter, avoid)
	if len(endpoints) > 0 && !s.anyServes(endpoints, req.model) { // a cached answer, from before they unload the model
		endpoints, reason = s.Adapters.Find(req.inbound.Context(), req.service, req.model, req.adapter, slices.Concat(avoid, endpoints))
	}
	if len(endpoints) == 0 {
		req.reason = reason
		return nil, false
	}
	return endpoints, true
}

// anyServes reports whether one of the endpoints still serves a model.
func (s *Server) anyServes(endpoints []string, model string) bool {
	changes, snapshot := s.ModelChanges(), s.View.Snapshot()
	return slices.ContainsFunc(endpoints, func(id string) bool {
		e := snapshot.ByID[id]
		return e != nil && changes.Serves(e, model)
	})
}

// finish ends a request that gets no further attempt: it sends the final answer, or
// breaks off a stream that has started.
func (s *Server) finish(w http.ResponseWriter, req *request, outcome rlbroute.Outcome, fault rlbroute.Fault) {
	switch {
	case fault == rlbroute.FaultCallerDisconnected:
		if outcome == rlbroute.NotRun {
			s.refundQuota(req)
		}
		s.logEnd(req, 0, "caller disconnected")
		abort(w, req) // it may have closed its side only
	case req.started:
		s.logEnd(req, 0, "stream aborted: "+fault.String())
		abort(w, req)
	case req.failedAnswer != nil:
		s.writeAnswer(w, req, req.failedAnswer)
	case outcome == rlbroute.NotRun:
		s.refuse(w, req, s.refusalOf(req, fault))
	case fault == rlbroute.FaultDeadline:
		s.refuse(w, req, failDeadline)
	case outcome == rlbroute.Failed:
		s.refuse(w, req, failEndpoint)
	default:
		s.refuse(w, req, failInDoubt)
	}
}

// refusalOf returns the refusal of a request that has not run.
func (s *Server) refusalOf(req *request, fault rlbroute.Fault) *refusal {
	switch {
	case !req.quarantineEnd.IsZero():
		return s.quarantineRefusal(req)
	case fault == rlbroute.FaultNoEndpoint && len(req.limited) > 0:
		return refuseLimited
	case fault == rlbroute.FaultNoEndpoint && !req.heldOffUntil.IsZero():
		return s.heldOffRefusal(req)
	case req.busy:
		return refuseBusy.withRetryAfter(req.terms(s.Now()).Excess(req.expectedWait))
	case fault == rlbroute.FaultNoEndpoint:
		return refuseNoEndpoint
	case fault == rlbroute.FaultDeadline:
		return refuseNoTime
	default:
		return refuseEndpointsFull
	}
}

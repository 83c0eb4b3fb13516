package rlbproxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// recordStatements records what an endpoint states about itself in the header of an
// answer: its limit of requests, that it drains, and for how long it wants no requests.
func (s *Server) recordStatements(req *request, e *rlbdeployment.Endpoint, in *rlbdispatch.Incoming) {
	s.recordLimit(req, e, in.Header)
	if !answeredBy(e, in) {
		return
	}
	s.recordRefusalLimit(req, e, in.Header)
	if rlbplatform.Draining(in.Header) {
		s.recordDraining(req, e)
	}
	if wait, stated := rlbplatform.RetryAfter(in.Header); stated && in.StatusCode == http.StatusServiceUnavailable {
		s.recordHoldOff(req, e, wait)
	}
}

// answeredBy reports whether an answer comes from the endpoint itself. Another endpoint
// that has its address by now answers with status 421 and its own ID.
func answeredBy(e *rlbdeployment.Endpoint, in *rlbdispatch.Incoming) bool {
	if in.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	id := in.Header.Get(rlbplatform.HeaderEndpointID)
	signed := in.Header.Get(rlbplatform.HeaderServerStamp) != "" || in.Header.Get(rlbplatform.HeaderNotRun) != ""
	return signed && (id == "" || id == e.ID)
}

// recordRefusalLimit records how many requests the endpoint can refuse without a crash, or that it
// states no such limit, and logs a change.
func (s *Server) recordRefusalLimit(req *request, e *rlbdeployment.Endpoint, header http.Header) {
	perSecond, stated := rlbplatform.RefusalLimit(header)
	if s.Balancer.RecordRefusalLimit(e, perSecond, stated) {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID, "stated": stated, "per_second": perSecond}).Info("endpoint changed how many requests it can refuse without a crash")
	}
}

// recordDraining records that the endpoint drains: it gets no new request from now on.
func (s *Server) recordDraining(req *request, e *rlbdeployment.Endpoint) {
	if s.View.MarkDraining(e, "answer of the endpoint") {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID}).Info("endpoint states that it drains")
	}
}

// holdOffSpreadDivisor limits the random time by which a hold-off is extended, as a part
// of it, so that the instances do not all return to the endpoint at the same moment.
const holdOffSpreadDivisor = 8

// recordHoldOff records that the endpoint wants no requests from this instance for a
// while.
func (s *Server) recordHoldOff(req *request, e *rlbdeployment.Endpoint, wait time.Duration) {
	spread := rand.N(wait/holdOffSpreadDivisor + 1)
	if s.Balancer.RecordHoldOff(s.Now(), e, wait+spread) {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID, "wait_ms": wait.Milliseconds()}).Info("endpoint wants no requests for a while")
	}
}

// heldOffRefusal returns the refusal of a request all of whose endpoints want no requests
// for a while, with the time after which the first of them takes requests again.
func (s *Server) heldOffRefusal(req *request) *refusal {
	changed := *refuseHeldOff
	changed.retryAfter = req.heldOffUntil.Sub(s.Now())
	if changed.retryAfter <= 0 { // over, but the first request after it has no answer yet
		changed.retryAfter = retrySoon
	}
	return &changed
}

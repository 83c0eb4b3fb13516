package rlbproxy

import (
	"net/http"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// recordStatements records what an endpoint states about itself in the header of an
// answer: its limit of requests, and that it drains.
func (s *Server) recordStatements(req *request, e *rlbdeployment.Endpoint, in *rlbdispatch.Incoming) {
	s.recordLimit(req, e, in.Header)
	if !answeredBy(e, in) {
		return
	}
	if rlbplatform.Draining(in.Header) {
		s.recordDraining(req, e)
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

// recordDraining records that the endpoint drains: it gets no new request from now on.
func (s *Server) recordDraining(req *request, e *rlbdeployment.Endpoint) {
	if s.View.MarkDraining(e, "answer of the endpoint") {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID}).Info("endpoint states that it drains")
	}
}

package rlbproxy

import (
	"net/http"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// recordLimit records the rate limit that an endpoint states in an answer, or that it
// states none, and logs a change.
func (s *Server) recordLimit(req *request, e *rlbdeployment.Endpoint, header http.Header) {
	if header.Get(rlbplatform.HeaderServerStamp) == "" {
		return // not the endpoint's answer
	}
	perSecond, _ := rlbplatform.RateLimit(header)
	if s.limiter.RecordStatement(e.ID, perSecond) {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID, "per_second": perSecond}).Info("endpoint changed the limit of requests that it states")
	}
}

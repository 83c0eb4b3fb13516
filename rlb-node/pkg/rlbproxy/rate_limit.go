package rlbproxy

import (
	"net/http"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbratelimit"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// recordLimit records the rate limit that an endpoint states in an answer, or that it
// states none, and logs a change.
func (s *Server) recordLimit(req *request, e *rlbdeployment.Endpoint, header http.Header) {
	if header.Get(rlbplatform.HeaderServerStamp) == "" {
		return // not the endpoint's answer
	}
	perSecond, _ := rlbplatform.RateLimit(header)
	if s.Limiter.RecordStatement(e.ID, perSecond) {
		s.Log.WithFields(log.Fields{"request": req.id, "endpoint": e.ID, "per_second": perSecond}).Info("endpoint changed the limit of requests that it states")
	}
}

// maxLimitedChoices is the number of endpoints whose limit may rule them out before a
// request is refused.
const maxLimitedChoices = 6

// chooseWithinLimits returns the best endpoint whose limit admits the request, or nil. A
// request whose answer has partly reached the caller is sent to the best one nevertheless.
func (s *Server) chooseWithinLimits(req *request) *rlbdeployment.Endpoint {
	req.limited = nil
	rank := rlbratelimit.RankOf(req.priority)
	for range maxLimitedChoices {
		e := s.chooseUnlimited(req)
		switch {
		case e == nil && len(req.limited) > 0:
			req.reason = "the limits that endpoints state are reached"
			return nil
		case e == nil || s.Limiter.Admit(e.ID, rank):
			return e
		case req.started:
			s.Limiter.Charge(e.ID, rank)
			return e
		}
		req.limited = append(req.limited, e.ID)
	}
	req.reason = "the limits that endpoints state are reached"
	return nil
}

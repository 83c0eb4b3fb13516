package rlbproxy

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// PoolName returns the name of the endpoints that can run the requests for a model of a service;
// an empty model is none.
func PoolName(service, model string) string { return service + "/" + model }

// crossDomainCosts returns the costs of other failure domains for a request; nil: they are fixed.
func (s *Server) crossDomainCosts(req *request) func(domain string) time.Duration {
	if s.Spillover == nil {
		return nil
	}
	return s.Spillover.Costs(PoolName(req.service, req.model))
}

// recordDomain records in which domain the endpoint of an attempt is, if it is another one.
func (s *Server) recordDomain(req *request, e *rlbdeployment.Endpoint) {
	req.otherDomain = ""
	if s.Spillover == nil || e.Domain == s.Domain {
		return
	}
	req.otherDomain = e.Domain
	s.Spillover.RecordRequest(e.Domain)
	s.recordTraffic(req, len(req.body))
}

// recordTraffic records bytes of a request or its answer if they passed between domains.
func (s *Server) recordTraffic(req *request, bytes int) {
	if req.otherDomain != "" {
		s.Spillover.RecordTraffic(req.otherDomain, bytes)
	}
}

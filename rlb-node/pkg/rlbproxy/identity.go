package rlbproxy

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// Quotas keeps the quotas of the workspaces, for all instances together. It is safe for
// concurrent use.
type Quotas interface {
	// Admit takes cost from a quota. If there is not that much left, it takes nothing and
	// returns when the caller may come back.
	Admit(workspace string, quota rlbdeployment.Quota, cost float64) (admitted bool, retryAfter time.Duration)
	// Refund gives back what Admit took for a request that did not run.
	Refund(workspace string, cost float64)
}

// NoQuotas admits all requests.
type NoQuotas struct{}

// Admit implements Quotas.
func (NoQuotas) Admit(string, rlbdeployment.Quota, float64) (bool, time.Duration) { return true, 0 }

// Refund implements Quotas.
func (NoQuotas) Refund(string, float64) {}

// identify finds the workspace of a request, if the config has workspaces, and the priority
// of the request.
func (s *Server) identify(req *request) *refusal {
	req.priority = req.route.Priority
	if !req.snapshot.Config.IdentifiesCallers() {
		return nil
	}
	if key, stated := rlbplatform.CallerKey(req.inbound.Header); stated {
		req.workspace, req.identified = req.snapshot.Callers.Identify(key)
	}
	switch {
	case req.identified:
		req.priority = req.workspace.Priority(req.route.Priority)
		return nil
	case req.route.Public:
		return nil
	case !s.ConfigCurrent():
		return refuseConfigOutdated
	default:
		return refuseUnidentified
	}
}

// chargeQuota takes the cost of a request from the quota of its workspace.
func (s *Server) chargeQuota(req *request) *refusal {
	if !req.identified {
		return nil
	}
	counters := s.workspaces.of(req)
	counters.asked.Inc(1)
	if quota := req.workspace.Quota(); quota.Limited() {
		cost := quota.Cost(rlbplatform.RequestTokens(req.inbound.Header))
		admitted, retryAfter := s.Quotas.Admit(req.workspace.Name(), quota, cost)
		if !admitted {
			return refuseQuota.after(retryAfter)
		}
		req.charged = cost
	}
	counters.admitted.Inc(1)
	return nil
}

// refundQuota gives the cost of a request that did not run back to the quota of its workspace.
func (s *Server) refundQuota(req *request) {
	if req.charged > 0 {
		s.Quotas.Refund(req.workspace.Name(), req.charged)
		req.charged = 0
	}
}

package rlbscheduler

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Terms of calls to endpoints' control side.
const (
	orderTimeout      = 250 * time.Millisecond
	reportTimeout     = 250 * time.Millisecond
	failedReportPause = 500 * time.Millisecond
	reportPause       = 200 * time.Millisecond // between two reports of an endpoint that is busy
)

// refreshState reads the endpoint's report if its state is not known. The desk is
// locked.
func (s *Scheduler) refreshState(ctx context.Context, state *endpointState) bool {
	now := s.now()
	if state.known {
		return true
	}
	if now.Before(state.pausedUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.engines.ReadReport(ctx, state.endpoint)
	if err != nil {
		state.pausedUntil = now.Add(failedReportPause)
		s.log.WithError(err).WithField("endpoint", state.endpoint.ID).Warn("report of an endpoint cannot be read")
		return false
	}
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(state.endpoint.StartedAt) {
		state.pausedUntil = now.Add(failedReportPause) // its entry tells of the new life soon
		return false
	}
	if !state.applyReport(report, s.now()) {
		state.pausedUntil = now.Add(reportPause)
		return false
	}
	s.log.WithFields(log.Fields{
		"endpoint": state.endpoint.ID, "sequence": report.Sequence, "busy": report.Busy, "holds": report.LoadedModels, "coming": report.Fetching,
		"in_memory": report.InMemory, "on_disk": report.OnDisk,
	}).Info("state of an endpoint read")
	return true
}

// sendOrder gives an order under the lease. The desk is locked and its state known.
func (s *Scheduler) sendOrder(ctx context.Context, state *endpointState, engine *rlbdeployment.Engine, o rlbdeployment.Order, reason string) bool {
	fence, held := s.orderFence()
	if !held || s.ordersStopped() || s.inTakeoverDelay() {
		return false
	}
	o.Sequence, o.Holder, o.Fence = state.sequence, s.name, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := s.engines.SendOrder(ctx, state.endpoint, o)
	s.log.WithFields(log.Fields{
		"endpoint": state.endpoint.ID, "order": o.Action.String(), "model": o.Model, "adapter": o.Adapter,
		"sequence": o.Sequence, "fence": o.Fence, "verdict": verdict.String(), "reason": reason, "error": err,
	}).Info("order given")
	return s.recordVerdict(state, engine, o, verdict)
}

// inTakeoverDelay reports whether orders of an earlier holder may still arrive.
func (s *Scheduler) inTakeoverDelay() bool {
	since := s.leaseHeldSince.Load()
	return since == 0 || s.now().Before(time.Unix(0, since).Add(s.TakeoverDelay))
}

// recordVerdict notes what became of an order; it reports whether it takes effect.
func (s *Scheduler) recordVerdict(state *endpointState, engine *rlbdeployment.Engine, o rlbdeployment.Order, verdict rlbdeployment.Verdict) bool {
	now := s.now()
	switch verdict {
	case rlbdeployment.VerdictAccepted, rlbdeployment.VerdictNoChange:
		if verdict == rlbdeployment.VerdictAccepted || o.Action == rlbdeployment.ActionUnload {
			state.sequence++ // an adapter that nothing uses is unloaded with this verdict
			state.lastAccepted = now
		}
		state.applyOrder(o, engine, now)
		if o.Adapter != "" && o.Action == rlbdeployment.ActionUnload && verdict == rlbdeployment.VerdictAccepted {
			state.known, state.pausedUntil = false, now.Add(reportPause) // a request uses it: the endpoint is busy until that ends
			return false
		}
		return true
	case rlbdeployment.VerdictUnknown:
		state.known, state.inDoubtUntil = false, now.Add(inDoubtPeriod)
	case rlbdeployment.VerdictFenced:
		state.known = false
		s.backOffFenced(o.Fence)
	default:
		state.known = false
	}
	state.pausedUntil = now.Add(reportPause)
	return false
}

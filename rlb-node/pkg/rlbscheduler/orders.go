package rlbscheduler

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Timing of calls to the endpoints' control interface.
const (
	orderTimeout      = 250 * time.Millisecond
	reportTimeout     = 250 * time.Millisecond
	failedReportPause = 500 * time.Millisecond
	reportPause       = 200 * time.Millisecond // until the report is read again after an endpoint was busy or did not accept an order
)

// controlRank is the rank of calls to the control interface among the requests that an
// endpoint's limit admits.
const controlRank = 0

// refreshState reads the endpoint's report if its state is not known. It reports
// whether the state is known afterwards. The caller holds state.mu.
func (s *Scheduler) refreshState(ctx context.Context, state *endpointState) bool {
	now := s.now()
	if state.known {
		return true
	}
	if now.Before(state.pausedUntil) || s.HeldOff(state.endpoint.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s.Limits.Charge(state.endpoint.ID, controlRank)
	report, err := s.engines.ReadReport(ctx, state.endpoint)
	if err != nil {
		state.pausedUntil = now.Add(failedReportPause)
		s.log.WithError(err).WithField("endpoint", state.endpoint.ID).Warn("failed to get the report of an endpoint")
		return false
	}
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(state.endpoint.StartedAt) {
		state.pausedUntil = now.Add(failedReportPause) // restarted; wait for the entry of the new incarnation
		return false
	}
	if !state.applyReport(report, s.now()) {
		state.pausedUntil = now.Add(reportPause)
		return false
	}
	s.log.WithFields(log.Fields{
		"endpoint": state.endpoint.ID, "sequence": report.Sequence, "busy": report.Busy, "holds": report.LoadedModels, "coming": report.Fetching,
		"in_memory": report.InMemory, "on_disk": report.OnDisk,
	}).Info("updated the state of an endpoint from its report")
	return true
}

// takesOrders reports whether the endpoint may get an order for a model now. The caller
// holds state.mu.
func (s *Scheduler) takesOrders(state *endpointState) bool {
	now := s.now()
	return !state.busy() && s.mayOrder(state, now)
}

// mayOrder reports whether the endpoint may get any order now: it has not asked for a pause,
// and no order to an earlier incarnation may still arrive. The caller holds state.mu.
func (s *Scheduler) mayOrder(state *endpointState, now time.Time) bool {
	return !now.Before(state.pausedUntil) && !s.HeldOff(state.endpoint.ID) && !s.doubts.blocks(state.incarnation, now)
}

// sendOrder sends an order with the current fencing number. It reports whether the
// order takes effect. The caller holds state.mu and has made sure that the state is known.
func (s *Scheduler) sendOrder(ctx context.Context, state *endpointState, engine *rlbdeployment.Engine, o rlbdeployment.Order, reason string) bool {
	fence, held := s.orderFence()
	if !held || s.ordersStopped() || s.inTakeoverDelay() {
		return false
	}
	o.Sequence, o.Holder, o.Fence = state.sequence, s.name, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	settle := s.doubts.open(state.incarnation, s.now())
	verdict, err := s.engines.SendOrder(ctx, state.endpoint, o)
	if verdict != rlbdeployment.VerdictUnknown {
		settle()
	}
	s.log.WithFields(log.Fields{
		"endpoint": state.endpoint.ID, "order": o.Action.String(), "model": o.Model, "adapter": o.Adapter,
		"sequence": o.Sequence, "fence": o.Fence, "verdict": verdict.String(), "reason": reason, "error": err,
	}).Info("sent an order to an endpoint")
	takesEffect := s.recordVerdict(state, engine, o, verdict)
	if takesEffect && o.Adapter == "" {
		s.recordChanges(state, s.View.Snapshot().ByID[state.incarnation.ID])
	}
	return takesEffect
}

// inTakeoverDelay reports whether orders of the previous lease holder may still
// arrive at endpoints.
func (s *Scheduler) inTakeoverDelay() bool {
	since := s.holderSince.Load()
	return since == 0 || s.now().Before(time.Unix(0, since).Add(s.TakeoverDelay))
}

// recordVerdict updates the state with the outcome of an order. It reports whether
// the order takes effect.
func (s *Scheduler) recordVerdict(state *endpointState, engine *rlbdeployment.Engine, o rlbdeployment.Order, verdict rlbdeployment.Verdict) bool {
	now := s.now()
	switch verdict {
	case rlbdeployment.VerdictAccepted, rlbdeployment.VerdictNoChange:
		if verdict == rlbdeployment.VerdictAccepted || o.Action == rlbdeployment.ActionUnload {
			state.sequence++ // the unload of an unused adapter is answered with VerdictNoChange, but counts
			state.lastAccepted = now
		}
		state.applyOrder(o, engine, now)
		if o.Adapter != "" && o.Action == rlbdeployment.ActionUnload && verdict == rlbdeployment.VerdictAccepted {
			state.known, state.pausedUntil = false, now.Add(reportPause) // a request uses the adapter: the endpoint is busy until it ends
			return false
		}
		return true
	case rlbdeployment.VerdictUnknown:
		state.known = false
	case rlbdeployment.VerdictFenced:
		state.known = false
		s.backOffFenced(o.Fence)
	default:
		state.known = false
	}
	state.pausedUntil = now.Add(reportPause)
	return false
}

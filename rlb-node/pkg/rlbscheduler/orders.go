package rlbscheduler

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Terms of calls to endpoints' control side.
const (
	orderTimeout  = 250 * time.Millisecond
	reportTimeout = 250 * time.Millisecond
	failedPause   = 500 * time.Millisecond
	reportPause   = 200 * time.Millisecond // between two reports of an endpoint that is busy
)

// refresh reads the endpoint's report if its state is not known. The desk is
// locked.
func (d *Scheduler) refresh(ctx context.Context, at *desk) bool {
	now := d.now()
	if at.known {
		return true
	}
	if now.Before(at.pause) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := d.engines.ReadReport(ctx, at.endpoint)
	if err != nil {
		at.pause = now.Add(failedPause)
		d.log.WithError(err).WithField("endpoint", at.endpoint.ID).Warn("report of an endpoint cannot be read")
		return false
	}
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(at.endpoint.StartedAt) {
		at.pause = now.Add(failedPause) // its entry tells of the new life soon
		return false
	}
	if !at.report(report, d.now()) {
		at.pause = now.Add(reportPause)
		return false
	}
	d.log.WithFields(log.Fields{
		"endpoint": at.endpoint.ID, "sequence": report.Sequence, "busy": report.Busy, "holds": report.LoadedModels, "coming": report.Fetching,
		"in_memory": report.InMemory, "on_disk": report.OnDisk,
	}).Info("state of an endpoint read")
	return true
}

// order gives an order under the lease. The desk is locked and its state known.
func (d *Scheduler) order(ctx context.Context, at *desk, engine *rlbdeployment.Engine, o rlbdeployment.Order, reason string) bool {
	fence, held := d.held()
	if !held || d.stopped() || d.settling() {
		return false
	}
	o.Sequence, o.Holder, o.Fence = at.sequence, d.name, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := d.engines.SendOrder(ctx, at.endpoint, o)
	d.log.WithFields(log.Fields{
		"endpoint": at.endpoint.ID, "order": o.Action.String(), "model": o.Model, "adapter": o.Adapter,
		"sequence": o.Sequence, "fence": o.Fence, "verdict": verdict.String(), "reason": reason, "error": err,
	}).Info("order given")
	return d.settle(at, engine, o, verdict)
}

// settling reports whether orders of an earlier holder may still arrive.
func (d *Scheduler) settling() bool {
	from := d.heldFrom.Load()
	return from == 0 || d.now().Before(time.Unix(0, from).Add(d.TakeoverDelay))
}

// settle notes what became of an order; it reports whether it takes effect.
func (d *Scheduler) settle(at *desk, engine *rlbdeployment.Engine, o rlbdeployment.Order, verdict rlbdeployment.Verdict) bool {
	now := d.now()
	switch verdict {
	case rlbdeployment.VerdictAccepted, rlbdeployment.VerdictNoChange:
		if verdict == rlbdeployment.VerdictAccepted || o.Action == rlbdeployment.ActionUnload {
			at.sequence++ // an adapter that nothing uses is unloaded with this verdict
			at.ordered = now
		}
		at.applied(o, engine, now)
		if o.Adapter != "" && o.Action == rlbdeployment.ActionUnload && verdict == rlbdeployment.VerdictAccepted {
			at.known, at.pause = false, now.Add(reportPause) // a request uses it: the endpoint is busy until that ends
			return false
		}
		return true
	case rlbdeployment.VerdictUnknown:
		at.known, at.unsure = false, now.Add(lateOrder)
	case rlbdeployment.VerdictFenced:
		at.known = false
		d.fenced(o.Fence)
	default:
		at.known = false
	}
	at.pause = now.Add(reportPause)
	return false
}

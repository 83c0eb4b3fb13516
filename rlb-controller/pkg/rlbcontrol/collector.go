package rlbcontrol

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// collect polls the engines assigned to this controller for their state and
// marks those unreachable whose reports are overdue; c.mu is held.
func (c *Controller) collect(ctx context.Context, now time.Time) {
	pollInterval := c.Settings.Duration(rlbsettings.ControllerPoll)
	for _, i := range c.assignment.collect {
		if c.reportOverdue(i) && c.fleet.SetUnreachable(i.ID, true) {
			c.journal.add(now, "endpoint/"+i.ID, "lost: no report for %s", engineReportTimeout)
			c.signalUrgent()
		}
		if now.Before(c.nextPoll[i.ID]) {
			continue
		}
		c.nextPoll[i.ID] = now.Add(pollInterval)
		c.spawn(func() { c.poll(ctx, i) })
	}
}

func (c *Controller) poll(ctx context.Context, i rlbfleetstate.Instance) {
	state, err := c.Engine(i.Control).State(ctx)
	if err != nil {
		c.Log.WithError(err).WithField("endpoint", i.ID).Debug("failed to read the endpoint's state")
		return
	}
	if state.ID != i.ID {
		c.Log.WithField("endpoint", i.ID).WithField("answered_by", state.ID).Warn("the endpoint's address is answered by another endpoint; its state is ignored")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyEngineState(state)
}

package rlbcontrol

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
)

// recordBurn adds a gateway's counts of request outcomes, and logs when the
// error budget of a model starts or stops burning too fast; c.mu is held.
func (c *Controller) recordBurn(counts []rlbfleetstate.Burn, now time.Time) {
	for _, b := range counts {
		c.burn.Add(b.Model, b.Count, now)
	}
	if len(counts) == 0 {
		return
	}
	for _, report := range c.burn.Reports(now) {
		pair, alert := report.Alert()
		if alert == c.alerted[report.Model] {
			continue
		}
		c.alerted[report.Model] = alert
		entry := c.Log.WithField("model", report.Model).WithField("budget_left", report.BudgetLeft())
		if !alert {
			entry.Info("error budget of the model is no longer burning too fast")
			continue
		}
		worst := report.Windows[pair.Short.String()]
		entry.WithField("window", pair.Short.String()).WithField("burn", worst.BurnRate()).WithField("cause", string(worst.MainCause())).
			Warn("error budget of the model is burning too fast")
		c.journal.add(now, "model/"+report.Model, "budget burns %.1f times too fast over %s, most of it %s", worst.BurnRate(), pair.Short, worst.MainCause())
	}
}

// Burn returns the error budget reports over the requests of the gateways that
// report to this controller.
func (c *Controller) Burn() []rlbburn.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.burn.Reports(time.Now())
}

package rlbsoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Workspaces of a run. Callers of the second one ask for some eight times its quota.
var workspaces = []rlbfakedeployment.Workspace{
	{Name: "crew", Keys: []string{"crew-key"}},
	{Name: "batch", Keys: []string{"batch-key"}, Rate: 12, Burst: 12},
}

// Callers of the workspace with a quota, and what its rule allows.
const (
	limitedCallers   = 16
	limitedOneOf     = 3 // they reach each third instance
	quotaWindow      = 8 * time.Second
	quotaTolerance   = 1.1
	quotaSlack       = 12   // requests
	leastQuotaUse    = 0.25 // of the rate, over the whole run with its faults
	limitedCallerRNG = 5000 // first number of their random sources
)

// workspace returns the workspace of the caller.
func (c *caller) workspace() rlbfakedeployment.Workspace {
	if c.limited {
		return workspaces[1]
	}
	return workspaces[0]
}

// newLimitedCaller returns a caller of the workspace with a quota.
func newLimitedCaller(s *soak, n int) *caller {
	c := newCaller(s, limitedCallerRNG+n)
	c.limited = true
	return c
}

// checkIdentity checks that a request ran for the workspace of its caller and without its
// key, and was not refused for want of one.
func (s *soak) checkIdentity(description string, x exchange, runs []endpointRun) {
	if x.status == http.StatusUnauthorized {
		s.addFinding("identity", description+": refused, though its key is in all configs")
	}
	for _, run := range runs {
		if run.Workspace != x.workspace || run.WithKey {
			s.addFinding("identity", fmt.Sprintf("%s: ran for workspace %q with a key: %t, its caller is of %q", description, run.Workspace, run.WithKey, x.workspace))
		}
	}
}

// checkQuota checks how many requests of the workspace with a quota ran in each window.
func (s *soak) checkQuota(runs map[string][]endpointRun) {
	var began []time.Time
	for _, x := range s.exchanges {
		if first := firstRun(runs[x.id]); x.workspace == workspaces[1].Name && !first.IsZero() {
			began = append(began, first)
		}
	}
	if finding := quotaFinding(began, workspaces[1]); finding != "" {
		s.addFinding("quota", finding)
	}
	if least := leastQuotaUse * workspaces[1].Rate * s.opts.Length.Seconds(); float64(len(began)) < least {
		s.addFinding("quota", fmt.Sprintf("only %d requests of the workspace with a quota ran, want %.0f", len(began), least))
	}
}

// firstRun returns when a request ran first; zero if it did not.
func firstRun(runs []endpointRun) time.Time {
	var first time.Time
	for _, run := range runs {
		if first.IsZero() || run.Began.Before(first) {
			first = run.Began
		}
	}
	return first
}

// quotaFinding returns the window in which most requests began, if that are more than a quota
// allows; empty: they are not.
func quotaFinding(began []time.Time, w rlbfakedeployment.Workspace) string {
	slices.SortFunc(began, time.Time.Compare)
	most, first := 0, 0
	for n, at := range began {
		for at.Sub(began[first]) >= quotaWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	allowed := (w.Rate*quotaWindow.Seconds()+w.Burst)*quotaTolerance + quotaSlack
	if float64(most) <= allowed {
		return ""
	}
	return fmt.Sprintf("%d requests of workspace %s ran within %s, allowed %.0f", most, w.Name, quotaWindow, allowed)
}

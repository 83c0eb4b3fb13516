package rlbconfigcheck

import (
	"slices"
	"strings"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Rules about workspaces.
const (
	RuleNoCallers      Rule = "no-callers"       // no key admits anyone, and no route is public
	RuleNoKeys         Rule = "no-keys"          // nobody belongs to a workspace
	RulePublicOnly     Rule = "public-only"      // there are workspaces, but no route that asks for a key
	RulePriorityUnused Rule = "priority-unused"  // each workspace has its own in place of a route's
	RuleQuotaNoRate    Rule = "quota-no-rate"    // a burst without a rate is no limit
	RuleQuotaBurst     Rule = "quota-burst"      // the burst is less than one request
	RuleQuotaTokens    Rule = "quota-tokens"     // requests that state no tokens cost nothing
	RuleQuotaBeyondAll Rule = "quota-beyond-all" // more at once than the endpoints run
)

func checkWorkspaces(f *findings, c *rlbdeployment.Config, endpoints Endpoints) {
	if !c.IdentifiesCallers() {
		return
	}
	all := slices.SortedFunc(c.Workspaces(), func(a, b rlbdeployment.Workspace) int { return strings.Compare(a.Name(), b.Name()) })
	open, closed := 0, 0
	for r := range c.AllRoutes() {
		if r.Public {
			open++
		} else {
			closed++
		}
	}
	withKeys := 0
	for _, w := range all {
		if len(w.Keys()) > 0 {
			withKeys++
		}
	}
	switch {
	case closed > 0 && open == 0 && withKeys == 0:
		f.add(SeverityError, RuleNoCallers, "workspaces", "callers need a key, and no workspace has one: every request is refused")
	case closed == 0 && open > 0 && len(all) > 0:
		f.add(SeverityWarning, RulePublicOnly, "workspaces", "no route asks for a key, so that no request counts for a workspace")
	}
	for _, w := range all {
		checkWorkspace(f, c, w, endpoints)
	}
	checkRoutePriorities(f, c, all)
}

func checkWorkspace(f *findings, c *rlbdeployment.Config, w rlbdeployment.Workspace, endpoints Endpoints) {
	path, q := "workspaces/"+w.Name(), w.Quota()
	if len(w.Keys()) == 0 {
		f.add(SeverityWarning, RuleNoKeys, path, "it has no key, so that no caller belongs to it")
	}
	if own := w.Priority(mostUrgentPriority); own < mostUrgentPriority || own > leastUrgentPriority {
		f.add(SeverityWarning, RulePriorityRange, path, "its priority %d is not between %d and %d; endpoints take it for the nearest", own, mostUrgentPriority, leastUrgentPriority)
	}
	if !q.Limited() {
		if q.Burst() > 0 {
			f.add(SeverityWarning, RuleQuotaNoRate, path+"/quota", "it has a burst of %v without a rate, which is no limit", q.Burst())
		}
		return
	}
	cost := q.Cost(0, false)
	switch {
	case cost == 0:
		f.add(SeverityWarning, RuleQuotaTokens, path+"/quota", "a request that states no tokens counts as none: such callers have no limit")
	case q.Burst() < cost:
		f.add(SeverityWarning, RuleQuotaBurst, path+"/quota", "its burst of %v is less than what one request counts as, %v", q.Burst(), cost)
	}
	checkQuotaOfAll(f, path+"/quota", c, q, endpoints)
}

// checkQuotaOfAll compares a quota that counts requests with what all endpoints run at once.
func checkQuotaOfAll(f *findings, path string, c *rlbdeployment.Config, q rlbdeployment.Quota, endpoints Endpoints) {
	slots := 0
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		if endpoints[name] <= 0 {
			return // not known
		}
		slots += s.Engine.Slots * endpoints[name]
	}
	if slots > 0 && q.Unit() == rlbdeployment.UnitRequests && q.Burst() > float64(slots) {
		f.add(SeverityWarning, RuleQuotaBeyondAll, path, "its burst of %v requests is more than all endpoints run at once, %d", q.Burst(), slots)
	}
}

// checkRoutePriorities finds routes whose priority never applies.
func checkRoutePriorities(f *findings, c *rlbdeployment.Config, all []rlbdeployment.Workspace) {
	if len(all) == 0 || slices.ContainsFunc(all, func(w rlbdeployment.Workspace) bool { return !w.HasPriority() }) {
		return
	}
	for r := range c.AllRoutes() {
		if !r.Public && r.Priority != mostUrgentPriority {
			f.add(SeverityWarning, RulePriorityUnused, routePath(r), "its priority %d is never used: each workspace has its own", r.Priority)
		}
	}
}

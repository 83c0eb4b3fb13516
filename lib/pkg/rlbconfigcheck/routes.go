package rlbconfigcheck

import (
	"strings"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Rules about routes.
const (
	RuleRouteHidden        Rule = "route-hidden"         // another route of the same host and prefix takes its requests
	RuleRouteName          Rule = "route-name"           // two routes have one name
	RulePrefix             Rule = "path-prefix"          // no path, or no whole part of one, begins with the prefix
	RuleNoService          Rule = "no-service"           // no service gets the requests of a route
	RuleUnknownService     Rule = "unknown-service"      // a route refers to a service that is not in the config
	RuleWeight             Rule = "share-without-weight" // a share gets no requests
	RuleNoTimeout          Rule = "no-timeout"           // requests have no time
	RuleTargetBeyondTime   Rule = "target-beyond-timeout"
	RuleGapBeyondTime      Rule = "gap-beyond-timeout"
	RuleResumable          Rule = "resumable-without-stream"
	RulePriorityRange      Rule = "priority-range"
	RuleReadBeyondTimeouts Rule = "read-beyond-timeouts" // the time to read a request is beyond that of each route
)

// Range of priorities that endpoints accept; others count as the nearest.
const (
	mostUrgentPriority  = 0
	leastUrgentPriority = 9
)

func routePath(r *rlbdeployment.Route) string { return "routes/" + r.Name }

func checkRoutes(f *findings, c *rlbdeployment.Config) {
	type match struct{ host, prefix string }
	first, named := map[match]*rlbdeployment.Route{}, map[string]bool{}
	for r := range c.AllRoutes() {
		if other, taken := first[match{r.Host, r.PathPrefix}]; taken {
			f.add(SeverityWarning, RuleRouteHidden, routePath(r), "never gets a request: route %s has the same host and prefix %s%s and comes first", other.Name, r.Host, r.PathPrefix)
		} else {
			first[match{r.Host, r.PathPrefix}] = r
		}
		if named[r.Name] {
			f.add(SeverityWarning, RuleRouteName, routePath(r), "another route has the same name, so that logs do not tell them apart")
		}
		named[r.Name] = true
		checkRoute(f, r)
		checkShares(f, c, r)
	}
	checkReadTime(f, c)
}

func checkRoute(f *findings, r *rlbdeployment.Route) {
	path := routePath(r)
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/"):
		f.add(SeverityError, RulePrefix, path, "never gets a request: its path prefix %q does not begin with a slash", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		f.add(SeverityWarning, RulePrefix, path, "its path prefix %q does not end with a slash, so that longer names match it too", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		f.add(SeverityError, RuleNoTimeout, path, "its timeout is %v: each request ends at once", r.Timeout)
	} else {
		if r.TargetLatency > r.Timeout {
			f.add(SeverityWarning, RuleTargetBeyondTime, path, "its target of %v is beyond its timeout of %v", r.TargetLatency, r.Timeout)
		}
		if r.Kind == rlbdeployment.KindStream && r.MaxEventGap > r.Timeout {
			f.add(SeverityWarning, RuleGapBeyondTime, path, "the longest gap between two events, %v, is beyond its timeout of %v", r.MaxEventGap, r.Timeout)
		}
	}
	if r.Resumable && r.Kind != rlbdeployment.KindStream {
		f.add(SeverityWarning, RuleResumable, path, "it is resumable, which only streams can be")
	}
	if r.Priority < mostUrgentPriority || r.Priority > leastUrgentPriority {
		f.add(SeverityWarning, RulePriorityRange, path, "its priority %d is not between %d and %d; endpoints take it for the nearest", r.Priority, mostUrgentPriority, leastUrgentPriority)
	}
}

func checkShares(f *findings, c *rlbdeployment.Config, r *rlbdeployment.Route) {
	path, total := routePath(r), 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
		switch _, known := c.Services[s.Service]; {
		case s.Weight < 0:
			f.add(SeverityError, RuleWeight, path, "the weight %d of service %s is negative: other services get wrong shares", s.Weight, s.Service)
		case s.Weight == 0:
			f.add(SeverityWarning, RuleWeight, path, "service %s has the weight 0 and gets no requests", s.Service)
		case !known:
			f.add(SeverityError, RuleUnknownService, path, "service %q is not in the config", s.Service)
		}
	}
	if total == 0 {
		f.add(SeverityError, RuleNoService, path, "no service gets its requests: the weights add up to nothing")
	}
}

// checkReadTime compares the time for reading a request with the timeouts of the routes.
func checkReadTime(f *findings, c *rlbdeployment.Config) {
	if c.Routes() == 0 || c.Limits.HeaderTimeout <= 0 {
		return
	}
	for r := range c.AllRoutes() {
		if r.Timeout >= c.Limits.HeaderTimeout {
			return
		}
	}
	f.add(SeverityWarning, RuleReadBeyondTimeouts, "limits", "a request may take %v to be read, which is beyond the timeout of every route", c.Limits.HeaderTimeout)
}

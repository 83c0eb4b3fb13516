package rlbconfigcheck

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"

// Endpoints is the number of endpoints of each service that the operator means to run. Rules
// about what they hold together apply only to services that it names.
type Endpoints map[string]int

// Check checks a config.
func Check(c *rlbdeployment.Config, endpoints Endpoints) []Finding {
	f := &findings{}
	checkRoutes(f, c)
	checkServices(f, c, endpoints)
	checkWorkspaces(f, c, endpoints)
	return f.sorted()
}

// CheckSuccessor checks a config that is to follow the one in force.
func CheckSuccessor(inForce, next *rlbdeployment.Config, endpoints Endpoints) []Finding {
	f := &findings{all: Check(next, endpoints)}
	if next.Version <= inForce.Version {
		f.add(SeverityError, RuleOldVersion, "version", "version %d does not come after version %d, which is in force: instances ignore it", next.Version, inForce.Version)
	}
	return f.sorted()
}

// RuleOldVersion is broken by a config whose version is not higher than the one in force.
const RuleOldVersion Rule = "old-version"

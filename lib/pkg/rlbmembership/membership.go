package rlbmembership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
)

// Controller is a live controller.
type Controller struct {
	ID            string
	FailureDomain string
	Address       string // control address
	Draining      bool
}

// Opts are the settings of the membership.
type Opts struct {
	Self             Controller
	HeartbeatTimeout time.Duration // after which a controller without heartbeats counts as failed
}

// LiveControllers returns the live controllers, ordered by ID: this one and those
// with recent heartbeats. The platform's list lags, so it does not decide who is
// live; but a controller listed as leaving counts as draining.
func LiveControllers(state *rlbfleetstate.State, now time.Time, opts Opts) []Controller {
	live := []Controller{opts.Self}
	state.Processes().All(func(key rlbfleetstate.ProcessKey, process rlbfleetstate.Process) bool {
		if key.Type != rlbfleetstate.ProcessController || key.ID == opts.Self.ID || now.Sub(state.LastHeartbeat(key)) > opts.HeartbeatTimeout {
			return true
		}
		entry, listed := state.Instances().Get(key.ID)
		draining := process.Draining || listed && !entry.Serves()
		live = append(live, Controller{key.ID, process.FailureDomain, process.Address, draining})
		return true
	})
	slices.SortFunc(live, func(a, b Controller) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// ActiveControllers returns the IDs of the live controllers of a failure domain
// that are not draining, or of all domains if the domain has none.
func ActiveControllers(live []Controller, domain string) []string {
	var own, all []string
	for _, c := range live {
		if c.Draining {
			continue
		}
		all = append(all, c.ID)
		if c.FailureDomain == domain {
			own = append(own, c.ID)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// Collector returns the controller that collects the reports of an endpoint, out of
// the active controllers of its failure domain.
func Collector(endpoint string, controllers []string) string {
	return Owner("collect/"+endpoint, controllers)
}

// IsWatcher reports whether a controller is one of the n watchers of its failure
// domain, which watch the object API and read the instance list for the others.
func IsWatcher(self Controller, live []Controller, n int) bool {
	rank := Rank("watch/"+self.FailureDomain, self.ID, ActiveControllers(live, self.FailureDomain))
	return rank >= 0 && rank < n
}

// IsContender reports whether a controller competes for the lease of a failure
// domain. Only the first few by rank do, so that the number of calls of the object
// API does not grow with the fleet.
func IsContender(self, domain string, live []Controller) bool {
	const contenders = 2
	rank := Rank("lease/"+domain, self, ActiveControllers(live, domain))
	return rank >= 0 && rank < contenders
}

// knownController is a controller known from the platform's list or from heartbeats.
type knownController struct{ id, domain, address string }

// Peers returns the control addresses of the controllers to receive updates from,
// with the scope of each: all controllers of the own failure domain and, if this
// controller is one of those that link its domain to another one, the delegates of
// that domain. While the platform's list names no other controller, it also returns
// the configured addresses at which no controller is known yet, with the scope of
// another domain: heartbeats are not forwarded from one other domain to the next, so
// the link itself is the only way to learn of the controller behind it.
func Peers(state *rlbfleetstate.State, self Controller, configured []string) map[string]rlbfleetstate.Scope {
	known, listed := map[string]knownController{}, false
	state.Instances().All(func(id string, i rlbfleetstate.Instance) bool {
		if i.Type == rlbinstance.TypeLoadBalancer && i.Serves() {
			known[id] = knownController{id, i.FailureDomain, i.Control}
			listed = listed || id != self.ID
		}
		return true
	})
	state.Processes().All(func(key rlbfleetstate.ProcessKey, process rlbfleetstate.Process) bool {
		if key.Type == rlbfleetstate.ProcessController {
			known[key.ID] = knownController{key.ID, process.FailureDomain, process.Address}
		}
		return true
	})
	known[self.ID] = knownController{self.ID, self.FailureDomain, self.Address}
	domains, addresses := map[string][]string{}, map[string]bool{}
	for id, c := range known {
		domains[c.domain] = append(domains[c.domain], id)
		addresses[c.address] = true
	}
	peers := map[string]rlbfleetstate.Scope{}
	for _, address := range configured {
		if !listed && !addresses[address] {
			peers[address] = rlbfleetstate.ScopeOtherDomain
		}
	}
	for domain, members := range domains {
		scope := rlbfleetstate.ScopeSameDomain
		if domain != self.FailureDomain {
			scope = rlbfleetstate.ScopeOtherDomain
			members = delegatesOf(self, domain, members, domains[self.FailureDomain])
		}
		for _, id := range members {
			peers[known[id].address] = scope
		}
	}
	delete(peers, self.Address)
	return peers
}

// delegatesPerPair is the number of controllers of a failure domain that receive
// updates from another domain, and of those that send updates to it.
const delegatesPerPair = 2

// delegatesOf returns the controllers of another failure domain from which this one
// receives updates.
func delegatesOf(self Controller, domain string, members, own []string) []string {
	rank := Rank("listen/"+self.FailureDomain+"/"+domain, self.ID, own)
	if rank >= delegatesPerPair {
		return nil
	}
	ordered := Ordered("heard/"+domain+"/"+self.FailureDomain, members)
	return ordered[:min(delegatesPerPair, len(ordered))]
}

// IsDelegate reports whether a controller sends updates to other failure domains. A
// delegate adds the summary of its domain to its heartbeat.
func IsDelegate(self Controller, live []Controller) bool {
	domains := map[string]bool{}
	for _, c := range live {
		domains[c.FailureDomain] = true
	}
	for domain := range domains {
		if domain == self.FailureDomain {
			continue
		}
		rank := Rank("heard/"+self.FailureDomain+"/"+domain, self.ID, ActiveControllers(live, self.FailureDomain))
		if rank >= 0 && rank < delegatesPerPair {
			return true
		}
	}
	return false
}

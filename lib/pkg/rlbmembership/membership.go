package rlbmembership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// Controller is a live controller.
type Controller struct {
	ID            string
	FailureDomain string
	Address       string // control address
	Draining      bool
}

// Opts are the terms of membership.
type Opts struct {
	Self             Controller
	HeartbeatTimeout time.Duration // after which a controller without heartbeats counts as dead
}

// LiveControllers returns the live controllers by name, this one among them: those whose
// heartbeats come. The platform's list lags, so that it only tells whom to
// listen to; an instance that it calls leaving takes no duties.
func LiveControllers(w *rlbworld.World, now time.Time, opts Opts) []Controller {
	live := []Controller{opts.Self}
	w.Nodes().All(func(key rlbworld.NodeKey, node rlbworld.Node) bool {
		if key.Type != rlbworld.NodeController || key.ID == opts.Self.ID || now.Sub(w.Heard(key)) > opts.HeartbeatTimeout {
			return true
		}
		entry, listed := w.Instances().Get(key.ID)
		draining := node.Draining || listed && !entry.Serves()
		live = append(live, Controller{key.ID, node.FailureDomain, node.Address, draining})
		return true
	})
	slices.SortFunc(live, func(a, b Controller) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// ActiveControllers returns the names of the controllers that take duties, of a failure
// domain if it has any, else of all.
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

// Collector returns which of the controllers on duty for an endpoint's failure
// domain collects its reports.
func Collector(endpoint string, controllers []string) string {
	return Owner("collect/"+endpoint, controllers)
}

// IsWatcher reports whether a controller is one of the n of its failure domain
// that watch the object API and read the instance list.
func IsWatcher(self Controller, live []Controller, n int) bool {
	rank := Rank("watch/"+self.FailureDomain, self.ID, ActiveControllers(live, self.FailureDomain))
	return rank >= 0 && rank < n
}

// IsContender returns whether a controller stands for the lease of a failure
// domain: the first few by rank do, so that the number of calls does not grow
// with the fleet.
func IsContender(self, domain string, live []Controller) bool {
	const contenders = 2
	rank := Rank("lease/"+domain, self, ActiveControllers(live, domain))
	return rank >= 0 && rank < contenders
}

// knownController is a controller as the platform's list or a heartbeat names it.
type knownController struct{ id, domain, address string }

// Peers returns the control addresses to listen to, with the scope of each: all
// controllers of the own failure domain and, for each other domain, a few of
// its controllers if this one is among the few of its own that listen there.
// The configured addresses count as of another domain until they are known.
func Peers(w *rlbworld.World, self Controller, configured []string) map[string]rlbworld.Scope {
	known := map[string]knownController{}
	w.Instances().All(func(id string, i rlbworld.Instance) bool {
		if i.Type == rlbinstance.TypeEntry && i.Serves() {
			known[id] = knownController{id, i.FailureDomain, i.Control}
		}
		return true
	})
	w.Nodes().All(func(key rlbworld.NodeKey, n rlbworld.Node) bool {
		if key.Type == rlbworld.NodeController {
			known[key.ID] = knownController{key.ID, n.FailureDomain, n.Address}
		}
		return true
	})
	known[self.ID] = knownController{self.ID, self.FailureDomain, self.Address}
	domains := map[string][]string{}
	for id, e := range known {
		domains[e.domain] = append(domains[e.domain], id)
	}
	peers := map[string]rlbworld.Scope{}
	if len(known) == 1 {
		for _, address := range configured {
			peers[address] = rlbworld.ScopeForeign
		}
	}
	for domain, members := range domains {
		scope := rlbworld.ScopeDomain
		if domain != self.FailureDomain {
			scope = rlbworld.ScopeForeign
			members = delegatesOf(self, domain, members, domains[self.FailureDomain])
		}
		for _, id := range members {
			peers[known[id].address] = scope
		}
	}
	delete(peers, self.Address)
	return peers
}

// delegatesPerPair is how many controllers of a failure domain listen to, and
// are listened to by, those of another.
const delegatesPerPair = 2

// delegatesOf returns the controllers of another failure domain that this one
// listens to.
func delegatesOf(self Controller, domain string, members, own []string) []string {
	rank := Rank("listen/"+self.FailureDomain+"/"+domain, self.ID, own)
	if rank >= delegatesPerPair {
		return nil
	}
	ordered := Ordered("heard/"+domain+"/"+self.FailureDomain, members)
	return ordered[:min(delegatesPerPair, len(ordered))]
}

// IsDelegate reports whether a controller is listened to by other domains, so
// that it adds its domain's summary to its heartbeat.
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

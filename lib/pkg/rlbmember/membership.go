package rlbmember

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
	Self    Controller
	Silence time.Duration // after which a controller without heartbeats counts as dead
}

// Live returns the live controllers by name, this one among them: those whose
// heartbeats come. The platform's list lags, so that it only tells whom to
// listen to; an instance that it calls leaving takes no duties.
func Live(w *rlbworld.World, now time.Time, opts Opts) []Controller {
	live := []Controller{opts.Self}
	w.Nodes().All(func(key rlbworld.NodeKey, node rlbworld.Node) bool {
		if key.Type != rlbworld.NodeController || key.ID == opts.Self.ID || now.Sub(w.Heard(key)) > opts.Silence {
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

// Duty returns the names of the controllers that take duties, of a failure
// domain if it has any, else of all.
func Duty(live []Controller, domain string) []string {
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

// Collector returns who collects the reports of an endpoint: a controller of
// its failure domain if there is one.
func Collector(endpoint, domain string, live []Controller) string {
	return Owner("collect/"+endpoint, Duty(live, domain))
}

// Watches reports whether a controller is one of the n of its failure domain
// that watch the object API and read the instance list.
func Watches(self Controller, live []Controller, n int) bool {
	rank := Rank("watch/"+self.FailureDomain, self.ID, Duty(live, self.FailureDomain))
	return rank >= 0 && rank < n
}

// Contends returns whether a controller stands for the lease of a failure
// domain: the first few by rank do, so that the number of calls does not grow
// with the fleet.
func Contends(self, domain string, live []Controller) bool {
	const contenders = 2
	rank := Rank("lease/"+domain, self, Duty(live, domain))
	return rank >= 0 && rank < contenders
}

// Peers returns the control addresses to listen to: all controllers known from
// heartbeats and from the platform's list, but for this one.
func Peers(w *rlbworld.World, self string, configured []string) map[string]string {
	peers := map[string]string{}
	for _, address := range configured {
		peers[address] = address
	}
	w.Instances().All(func(id string, i rlbworld.Instance) bool {
		if i.Type == rlbinstance.TypeEntry && i.Serves() && id != self {
			peers[i.Control] = i.Control
		}
		return true
	})
	w.Nodes().All(func(key rlbworld.NodeKey, n rlbworld.Node) bool {
		if key.Type == rlbworld.NodeController && key.ID != self {
			peers[n.Address] = n.Address
		}
		return true
	})
	return peers
}

// Domains returns the failure domains of the endpoints, sorted.
func Domains(w *rlbworld.World) []string {
	var domains []string
	w.Instances().All(func(_ string, i rlbworld.Instance) bool {
		if i.Type == rlbinstance.TypeEngine && !i.Removed && !slices.Contains(domains, i.FailureDomain) {
			domains = append(domains, i.FailureDomain)
		}
		return true
	})
	slices.Sort(domains)
	return domains
}

// Package rlbquarantine decides where requests run again that were running on an
// endpoint when it crashed. One of them may have caused it; the others must be
// answered. Each suspect runs apart from all other suspects of the fleet, so
// that a second crash names its cause. Gateways with the same strikes reach the
// same decision without asking one another. It does no I/O.
package rlbquarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbworld"
)

// Terms of suspicion.
const (
	// MaxCrashes is how many endpoints one request may take down.
	MaxCrashes = 2
	// CrashTTL is how long a strike counts.
	CrashTTL = 10 * time.Minute
	// slotTimeout is how long a suspect may take its turn before it no longer
	// keeps others waiting: its gateway may be gone.
	slotTimeout = 30 * time.Second
)

// Request is a request with one strike.
type Request struct {
	Fingerprint uint64
	Model       string
}

// CountCrashes returns how many strikes a request has at now.
func CountCrashes(crashes []rlbworld.Strike, fingerprint uint64, now time.Time) int {
	n := 0
	for _, s := range crashes {
		if s.Fingerprint == fingerprint && s.Phase != rlbworld.StrikeCleared && s.Deadline > now.Unix() {
			n++
		}
	}
	return n
}

// quarantinedRequests returns the requests with one strike that wait for their turn or
// take it, with the endpoint of those that do. The order is the same everywhere.
func quarantinedRequests(crashes []rlbworld.Strike, now time.Time) (all []Request, running map[Request]string) {
	oldest := now.Add(CrashTTL - slotTimeout).Unix()
	counts := map[Request]int{}
	running = map[Request]string{}
	for _, s := range crashes {
		if s.Phase != rlbworld.StrikeCleared && s.Deadline > now.Unix() {
			counts[Request{s.Fingerprint, s.Model}]++
		}
	}
	for _, s := range crashes {
		request := Request{s.Fingerprint, s.Model}
		if counts[request] != 1 || s.Phase == rlbworld.StrikeCleared || s.Deadline <= oldest {
			continue
		}
		all = append(all, request)
		if s.Phase == rlbworld.StrikeRunning {
			running[request] = s.RunsOn
		}
	}
	slices.SortFunc(all, func(a, b Request) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all, running
}

// AssignSlot returns the endpoint on which a suspect may run now, apart from all
// others, or false if it must wait. Each suspect has an endpoint of its own
// choice, by rendezvous hashing, and is the first of those that chose it. An
// endpoint on which a suspect runs already is not given to another. Candidates
// returns the endpoints of a model.
func AssignSlot(crashes []rlbworld.Strike, self Request, candidates func(model string) []string, now time.Time) (string, bool) {
	all, running := quarantinedRequests(crashes, now)
	own := preferredEndpoint(self, candidates)
	for _, on := range running {
		if on == own {
			return "", false
		}
	}
	for _, request := range all {
		if _, runs := running[request]; runs || preferredEndpoint(request, candidates) != own {
			continue
		}
		if request == self && own != "" {
			return own, true
		}
		return "", false
	}
	return "", false
}

// preferredEndpoint returns the endpoint that a suspect would run on.
func preferredEndpoint(r Request, candidates func(model string) []string) string {
	return rlbmembership.Owner("suspect/"+strconv.FormatUint(r.Fingerprint, 16), candidates(r.Model))
}

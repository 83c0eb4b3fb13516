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

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
)

// Terms of suspicion.
const (
	// MaxCrashes is how many endpoints one request may take down.
	MaxCrashes = 2
	// CrashTTL is how long a strike counts.
	CrashTTL = 10 * time.Minute
	// turnTime is how long a suspect may take its turn before it no longer
	// keeps others waiting: its gateway may be gone.
	turnTime = 30 * time.Second
)

// Request is a request with one strike.
type Request struct {
	Fingerprint uint64
	Model       string
}

// CountCrashes returns how many strikes a request has at now.
func CountCrashes(strikes []rlbfleetstate.Crash, fingerprint uint64, now time.Time) int {
	n := 0
	for _, s := range strikes {
		if s.Fingerprint == fingerprint && s.Phase != rlbfleetstate.QuarantineCleared && s.Deadline > now.Unix() {
			n++
		}
	}
	return n
}

// suspects returns the requests with one strike that wait for their turn or
// take it, with the endpoint of those that do. The order is the same everywhere.
func suspects(strikes []rlbfleetstate.Crash, now time.Time) (all []Request, running map[Request]string) {
	oldest := now.Add(CrashTTL - turnTime).Unix()
	counts := map[Request]int{}
	running = map[Request]string{}
	for _, s := range strikes {
		if s.Phase != rlbfleetstate.QuarantineCleared && s.Deadline > now.Unix() {
			counts[Request{s.Fingerprint, s.Model}]++
		}
	}
	for _, s := range strikes {
		suspect := Request{s.Fingerprint, s.Model}
		if counts[suspect] != 1 || s.Phase == rlbfleetstate.QuarantineCleared || s.Deadline <= oldest {
			continue
		}
		all = append(all, suspect)
		if s.Phase == rlbfleetstate.QuarantineRunning {
			running[suspect] = s.RunsOn
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
func AssignSlot(strikes []rlbfleetstate.Crash, self Request, candidates func(model string) []string, now time.Time) (string, bool) {
	all, running := suspects(strikes, now)
	own := choice(self, candidates)
	for _, on := range running {
		if on == own {
			return "", false
		}
	}
	for _, suspect := range all {
		if _, runs := running[suspect]; runs || choice(suspect, candidates) != own {
			continue
		}
		if suspect == self && own != "" {
			return own, true
		}
		return "", false
	}
	return "", false
}

// choice returns the endpoint that a suspect would run on.
func choice(s Request, candidates func(model string) []string) string {
	return rlbmembership.Owner("suspect/"+strconv.FormatUint(s.Fingerprint, 16), candidates(s.Model))
}

// Package rlbquarantine decides where requests are retried that were running on an
// endpoint when it crashed. One of them may have caused the crash; the others must
// be answered. Each quarantined request runs apart from all other quarantined
// requests of the fleet, so that a second crash identifies its cause. Gateways with
// the same crash records reach the same decision without communication. It does no
// I/O.
package rlbquarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
)

// Limits of the quarantine.
const (
	// MaxCrashes is how many endpoints one request may crash before it is refused.
	MaxCrashes = 2
	// CrashTTL is how long a crash record counts.
	CrashTTL = 10 * time.Minute
	// slotTimeout is how long after the crash a quarantined request blocks others
	// while it waits for its slot or runs in it: its gateway may have failed.
	slotTimeout = 30 * time.Second
)

// Request identifies a quarantined request: one with a single crash record.
type Request struct {
	Fingerprint uint64
	Model       string
}

// CountCrashes returns the number of valid crash records of a request at now.
func CountCrashes(crashes []rlbfleetstate.Crash, fingerprint uint64, now time.Time) int {
	n := 0
	for _, c := range crashes {
		if c.Fingerprint == fingerprint && c.Phase != rlbfleetstate.QuarantineCleared && c.Deadline > now.Unix() {
			n++
		}
	}
	return n
}

// quarantinedRequests returns the requests with one crash record that wait for a slot
// or run in one and have not exceeded slotTimeout, and the endpoints of those that
// run. The order is the same on every gateway.
func quarantinedRequests(crashes []rlbfleetstate.Crash, now time.Time) (all []Request, running map[Request]string) {
	minDeadline := now.Add(CrashTTL - slotTimeout).Unix()
	counts := map[Request]int{}
	running = map[Request]string{}
	for _, c := range crashes {
		if c.Phase != rlbfleetstate.QuarantineCleared && c.Deadline > now.Unix() {
			counts[Request{c.Fingerprint, c.Model}]++
		}
	}
	for _, c := range crashes {
		request := Request{c.Fingerprint, c.Model}
		if counts[request] != 1 || c.Phase == rlbfleetstate.QuarantineCleared || c.Deadline <= minDeadline {
			continue
		}
		all = append(all, request)
		if c.Phase == rlbfleetstate.QuarantineRunning {
			running[request] = c.RunsOn
		}
	}
	slices.SortFunc(all, func(a, b Request) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all, running
}

// AssignSlot returns the endpoint on which the quarantined request self may run now,
// or false if it must wait. Each request prefers one endpoint by rendezvous hashing
// and gets it if it is the first waiting request that prefers it, and if no
// quarantined request runs there already. The function candidates returns the
// endpoints of a model.
func AssignSlot(crashes []rlbfleetstate.Crash, self Request, candidates func(model string) []string, now time.Time) (string, bool) {
	all, running := quarantinedRequests(crashes, now)
	preferred := preferredEndpoint(self, candidates)
	for _, endpoint := range running {
		if endpoint == preferred {
			return "", false
		}
	}
	for _, request := range all {
		if _, isRunning := running[request]; isRunning || preferredEndpoint(request, candidates) != preferred {
			continue
		}
		if request == self && preferred != "" {
			return preferred, true
		}
		return "", false
	}
	return "", false
}

// preferredEndpoint returns the endpoint that a request prefers by rendezvous hashing.
func preferredEndpoint(r Request, candidates func(model string) []string) string {
	return rlbmembership.Owner("suspect/"+strconv.FormatUint(r.Fingerprint, 16), candidates(r.Model))
}

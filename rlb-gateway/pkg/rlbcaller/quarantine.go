package rlbcaller

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Timing of crash reports and quarantine.
const (
	crashPublishTimeout = 500 * time.Millisecond // longest wait for controllers to publish a crash record
	crashSettleTime     = 50 * time.Millisecond  // for crash records of the same crash from other gateways to arrive
	slotPollInterval    = 10 * time.Millisecond  // between two checks for a quarantine slot
)

// reportCrash records that the request was running on an endpoint that crashed. It
// waits until a controller publishes the record, which it does to every gateway, so
// that neither a retry here nor a resend through another gateway runs without
// quarantine. It waits for at most crashPublishTimeout.
func (s *Server) reportCrash(ctx context.Context, p *proxiedRequest, e *rlbroute.Endpoint) {
	crash := rlbfleetstate.Crash{
		CrashKey: rlbfleetstate.CrashKey{Fingerprint: p.fingerprint, Endpoint: e.ID(), Incarnation: e.Incarnation()},
		Model:    p.model, Parts: p.sharedParts, Deadline: time.Now().Add(rlbquarantine.CrashTTL).Unix(),
	}
	published := s.Fleet.AddCrash(crash)
	s.ReportCrashes([]rlbfleetstate.Crash{crash})
	s.Log.WithField("request_id", p.id).WithField("endpoint", e.ID()).WithField("shared_parts", p.sharedParts).Warn("endpoint crashed while running a request; quarantining the request")
	select {
	case <-published:
		rlbcommon.Sleep(ctx, crashSettleTime)
	case <-time.After(crashPublishTimeout): // no controller published it: perhaps only this gateway has the record
	}
}

// awaitQuarantineSlot waits until the request may run apart from all other
// quarantined requests and returns the endpoint for it, or nil if the request must
// not run, its deadline passes or ctx ends. The slot must stay the same for
// crashSettleTime, in which crash records from other gateways can still change the
// assignment.
func (s *Server) awaitQuarantineSlot(ctx context.Context, p *proxiedRequest) *rlbroute.Endpoint {
	var chosen *rlbroute.Endpoint
	var since time.Time
	for ctx.Err() == nil && time.Now().Before(p.deadline) && !s.hasCrashingPart(p) {
		switch s.Fleet.CountCrashes(p.fingerprint) {
		case 0:
			return s.choose(p) // another gateway ran the same request without a crash
		case 1:
		default:
			return nil // the same request crashed a second endpoint
		}
		endpoint := s.Fleet.QuarantineSlot(p.fingerprint, p.model)
		if endpoint != chosen {
			chosen, since = endpoint, time.Now()
		}
		if endpoint != nil && time.Since(since) >= crashSettleTime {
			s.ReportCrashes(s.Fleet.AdvanceQuarantine(p.fingerprint, rlbfleetstate.QuarantineRunning, endpoint.ID()))
			p.candidates() // for its side effect: sets the version of the model that is served now
			return endpoint
		}
		rlbcommon.Sleep(ctx, slotPollInterval)
	}
	return nil
}

// hasCrashingPart reports whether requests with a part of the prompt crash endpoints, so
// that this one must not run.
func (s *Server) hasCrashingPart(p *proxiedRequest) bool {
	part, until, found := s.Fleet.CrashingPart(p.model, p.sharedParts)
	if !found {
		return false
	}
	if p.crashingUntil.IsZero() {
		s.Log.WithField("request_id", p.id).WithField("part", part).WithField("until_ms", time.Until(until).Milliseconds()).Warn("request not sent: requests with a part of its prompt crash endpoints")
	}
	p.crashingUntil = until
	return true
}

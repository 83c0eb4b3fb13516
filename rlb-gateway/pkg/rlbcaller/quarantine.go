package rlbcaller

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquarantine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Terms of telling the fleet of a crash.
const (
	crashPublishTimeout = 500 * time.Millisecond // longest wait until a strike is told everywhere
	crashSettleTime     = 50 * time.Millisecond  // for the strikes of the same crash from other gateways
	slotPollInterval    = 10 * time.Millisecond  // between two looks for a turn
)

// reportCrash notes that the request was running on an endpoint that crashed. It
// returns once every gateway has been told, so that neither this one runs the
// request again, nor another one a resend, without knowing.
func (s *Server) reportCrash(ctx context.Context, w *proxiedRequest, e *rlbroute.Endpoint) {
	crash := rlbfleetstate.Crash{
		CrashKey: rlbfleetstate.CrashKey{Fingerprint: w.fingerprint, Endpoint: e.ID(), Incarnation: e.Incarnation()},
		Model:    w.model, Deadline: time.Now().Add(rlbquarantine.CrashTTL).Unix(),
	}
	published := s.Fleet.AddCrash(crash)
	s.ReportCrashes([]rlbfleetstate.Crash{crash})
	s.Log.WithField("request_id", w.id).WithField("endpoint", e.ID()).Warn("endpoint crashed under a request")
	select {
	case <-published:
		rlbcommon.Sleep(ctx, crashSettleTime)
	case <-time.After(crashPublishTimeout): // no controller answers: this gateway at least knows
	}
}

// awaitQuarantineSlot waits until the request may run apart from other suspects, and
// returns the endpoint; nil when the caller's time is over. The turn must stand
// for the time in which others tell of theirs.
func (s *Server) awaitQuarantineSlot(ctx context.Context, w *proxiedRequest) *rlbroute.Endpoint {
	var chosen *rlbroute.Endpoint
	var since time.Time
	for ctx.Err() == nil && time.Now().Before(w.deadline) {
		switch s.Fleet.CountCrashes(w.fingerprint) {
		case 0:
			return s.choose(w) // the same request was cleared elsewhere
		case 1:
		default:
			return nil // it was struck again elsewhere
		}
		endpoint := s.Fleet.QuarantineSlot(w.fingerprint, w.model)
		if endpoint != chosen {
			chosen, since = endpoint, time.Now()
		}
		if endpoint != nil && time.Since(since) >= crashSettleTime {
			s.ReportCrashes(s.Fleet.AdvanceQuarantine(w.fingerprint, rlbfleetstate.QuarantineRunning, endpoint.ID()))
			w.candidates() // takes the version that is served now
			return endpoint
		}
		rlbcommon.Sleep(ctx, slotPollInterval)
	}
	return nil
}

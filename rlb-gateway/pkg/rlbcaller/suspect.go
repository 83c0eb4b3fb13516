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
	tellWait   = 500 * time.Millisecond // longest wait until a strike is told everywhere
	settleTime = 50 * time.Millisecond  // for the strikes of the same crash from other gateways
	turnPeriod = 10 * time.Millisecond  // between two looks for a turn
)

// strike notes that the request was running on an endpoint that crashed. It
// returns once every gateway has been told, so that neither this one runs the
// request again, nor another one a resend, without knowing.
func (s *Server) strike(ctx context.Context, w *work, e *rlbroute.Endpoint) {
	strike := rlbfleetstate.Crash{
		CrashKey: rlbfleetstate.CrashKey{Fingerprint: w.fingerprint, Endpoint: e.ID(), Incarnation: e.Incarnation()},
		Model:    w.model, Deadline: time.Now().Add(rlbquarantine.CrashTTL).Unix(),
	}
	told := s.Fleet.AddStrike(strike)
	s.Strike([]rlbfleetstate.Crash{strike})
	s.Log.WithField("request_id", w.id).WithField("endpoint", e.ID()).Warn("endpoint crashed under a request")
	select {
	case <-told:
		rlbcommon.Sleep(ctx, settleTime)
	case <-time.After(tellWait): // no controller answers: this gateway at least knows
	}
}

// awaitTurn waits until the request may run apart from other suspects, and
// returns the endpoint; nil when the caller's time is over. The turn must stand
// for the time in which others tell of theirs.
func (s *Server) awaitTurn(ctx context.Context, w *work) *rlbroute.Endpoint {
	var chosen *rlbroute.Endpoint
	var since time.Time
	for ctx.Err() == nil && time.Now().Before(w.deadline) {
		switch s.Fleet.Strikes(w.fingerprint) {
		case 0:
			return s.choose(w) // the same request was cleared elsewhere
		case 1:
		default:
			return nil // it was struck again elsewhere
		}
		endpoint := s.Fleet.Turn(w.fingerprint, w.model)
		if endpoint != chosen {
			chosen, since = endpoint, time.Now()
		}
		if endpoint != nil && time.Since(since) >= settleTime {
			s.Strike(s.Fleet.Advance(w.fingerprint, rlbfleetstate.QuarantineRunning, endpoint.ID()))
			w.candidates() // takes the version that is served now
			return endpoint
		}
		rlbcommon.Sleep(ctx, turnPeriod)
	}
	return nil
}

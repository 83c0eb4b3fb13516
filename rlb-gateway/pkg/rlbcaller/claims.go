package rlbcaller

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Terms of claims.
const (
	claimTimeout   = 5 * time.Second // longest wait for a claim
	recordAttempts = 3               // of recording an answer
	headerReplayed = "X-Rlb-Replayed"
)

// Claims asks the controllers for claims on idempotency keys.
type Claims interface {
	// Do carries out an operation. An error leaves open whether it was recorded.
	Do(ctx context.Context, op rlbclaim.Operation) (rlbclaim.Result, error)
}

// answer is a whole answer in one piece.
type answer struct {
	outcome     rlbroute.Outcome
	status      int
	contentType string
	body        []byte
}

// respond gives the caller a whole answer and notes it for a resend.
func (s *Server) respond(c *call, a answer) {
	c.responseStarted = true
	c.storedAnswer = rlbclaim.Answer{
		Outcome: string(a.outcome), Status: a.status, ContentType: a.contentType,
		Digest: xxhash.Sum64(a.body), Kept: len(a.body) <= rlbclaim.MaxStoredBody,
	}
	if c.storedAnswer.Kept {
		c.storedAnswer.Body = a.body
	}
	writeAnswer(c, a)
}

func writeAnswer(c *call, a answer) {
	setIdentity(c, a.outcome)
	if a.contentType != "" {
		c.w.Header().Set("Content-Type", a.contentType)
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body) // a caller that left needs no answer
}

// runWithClaim runs a request under a claim on its idempotency key, if it has one.
func (s *Server) runWithClaim(ctx context.Context, c *call, fingerprint uint64, run func() *Refusal) *Refusal {
	if c.key == "" {
		return run()
	}
	retention := s.Settings.Duration(rlbsettings.ControllerRetention)
	if createdAt, dated := rlbclaim.KeyCreatedAt(c.key); dated && c.arrived.After(createdAt.Add(retention)) {
		return newRefusal(rlbroute.Unknown, CodeKeyExpired)
	}
	entry := rlbclaim.Entry{
		Key: rlbclaim.HashKey(c.key), Run: rlbclaim.NewRunID(), Fingerprint: fingerprint,
		Deadline: claimDeadline(c, retention).Unix(),
	}
	result := s.claim(ctx, entry)
	if result.Status != rlbclaim.Granted {
		return s.replayOrRefuse(c, result)
	}
	refusal := run()
	s.recordOutcome(c, entry, refusal)
	return refusal
}

// claimDeadline returns until when a claim must be kept: for its time, and for as
// long as the request itself may run.
func claimDeadline(c *call, retention time.Duration) time.Time {
	deadline := c.arrived.Add(retention)
	if c.deadline.After(deadline) {
		deadline = c.deadline
	}
	return deadline.Add(maxClockSkew)
}

// maxClockSkew is by how much the clocks of callers and instances may differ.
const maxClockSkew = time.Minute

func (s *Server) claim(ctx context.Context, entry rlbclaim.Entry) rlbclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := s.Claims.Do(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbClaim, Entry: entry})
	if err != nil {
		s.Log.WithError(err).Debug("no claim")
		result = rlbclaim.Result{Status: rlbclaim.Unavailable}
	}
	if result.Status == rlbclaim.Unavailable {
		s.recordInBackground(rlbclaim.Operation{Verb: rlbclaim.VerbRelease, Entry: entry}) // it may be recorded yet
	}
	return result
}

// replayOrRefuse answers a request whose key another run has.
func (s *Server) replayOrRefuse(c *call, result rlbclaim.Result) *Refusal {
	stored := result.Entry.Answer
	switch {
	case result.Status == rlbclaim.Unavailable:
		return newRefusal(rlbroute.NotRun, CodeClaimsUnavailable)
	case result.Status == rlbclaim.Mismatch:
		return newRefusal(rlbroute.NotRun, CodeKeyReused)
	case result.Entry.Phase == rlbclaim.Claimed:
		return newRefusal(rlbroute.Unknown, CodeInProgress)
	case result.Entry.Phase == rlbclaim.Failed:
		return newRefusal(rlbroute.Outcome(stored.Outcome), CodeEndpointFailed)
	case !stored.Kept:
		return newRefusal(rlbroute.Unknown, CodeAnswerNotStored)
	}
	c.w.Header().Set(headerReplayed, "true")
	writeAnswer(c, answer{rlbroute.Outcome(stored.Outcome), stored.Status, stored.ContentType, stored.Body})
	return nil
}

// recordOutcome records how the run ended, so that a resend is answered alike. A
// run that is known not to have run gives its key back.
func (s *Server) recordOutcome(c *call, entry rlbclaim.Entry, refusal *Refusal) {
	op := rlbclaim.Operation{Verb: rlbclaim.VerbFinish, Entry: entry}
	switch {
	case refusal == nil:
		op.Entry.Phase, op.Entry.Answer = rlbclaim.Answered, c.storedAnswer
	case refusal.Outcome == rlbroute.NotRun:
		op.Verb = rlbclaim.VerbRelease
	default:
		op.Entry.Phase = rlbclaim.Failed
		op.Entry.Answer = rlbclaim.Answer{Outcome: string(refusal.Outcome), Status: http.StatusBadGateway}
	}
	s.recordInBackground(op)
}

// recordInBackground carries out an operation that nobody waits for. The shutdown does.
func (s *Server) recordInBackground(op rlbclaim.Operation) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		for range recordAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			result, err := s.Claims.Do(ctx, op)
			cancel()
			if err == nil && result.Status == rlbclaim.Recorded {
				return
			}
		}
		s.Log.WithField("key", op.Entry.Key.String()).Warn("the end of a run under an idempotency key was not recorded")
	}()
}

// Wait waits until the ends of all runs are recorded.
func (s *Server) Wait() { s.background.Wait() }

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

// Constants of claims on idempotency keys.
const (
	claimTimeout   = 5 * time.Second  // of one operation
	recordAttempts = 3                // of an operation that runs in the background
	headerReplayed = "X-Rlb-Replayed" // set on the stored answer to an earlier request with the same key
)

// Claims requests claims on idempotency keys from the controllers.
type Claims interface {
	// Do carries out an operation. After an error the operation may or may not
	// have been recorded.
	Do(ctx context.Context, op rlbclaim.Operation) (rlbclaim.Result, error)
}

// answer is a complete, non-streamed answer.
type answer struct {
	outcome     rlbroute.Outcome
	status      int
	contentType string
	body        []byte
}

// respond sends the caller a complete answer and keeps it, so that a resend with
// the same idempotency key gets the same answer.
func (s *Server) respond(c *call, a answer) {
	c.responseStarted = true
	c.storedAnswer = rlbclaim.Answer{
		Outcome: string(a.outcome), Status: a.status, ContentType: a.contentType,
		BodyHash: xxhash.Sum64(a.body), Kept: len(a.body) <= rlbclaim.MaxStoredBody,
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
	_, _ = c.w.Write(a.body) // fails only if the caller disconnected
}

// runWithClaim runs a request while holding a claim on its idempotency key. A
// request without a key runs without a claim. A key with a creation time is refused
// once its retention time is over, since its claim may have been removed.
func (s *Server) runWithClaim(ctx context.Context, c *call, fingerprint uint64, run func() *Refusal) *Refusal {
	if c.key == "" {
		return run()
	}
	retention := s.Settings.Duration(rlbsettings.ControllerClaimRetention)
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

// claimDeadline returns the time until which a claim must be kept: at least the
// retention time, and as long as the request may run.
func claimDeadline(c *call, retention time.Duration) time.Time {
	deadline := c.arrived.Add(retention)
	if c.deadline.After(deadline) {
		deadline = c.deadline
	}
	return deadline.Add(maxClockSkew)
}

// maxClockSkew is the largest tolerated difference between the clocks of callers
// and instances.
const maxClockSkew = time.Minute

func (s *Server) claim(ctx context.Context, entry rlbclaim.Entry) rlbclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := s.Claims.Do(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbClaim, Entry: entry})
	if err != nil {
		s.Log.WithError(err).Debug("claim on idempotency key failed")
		result = rlbclaim.Result{Status: rlbclaim.Unavailable}
	}
	if result.Status == rlbclaim.Unavailable {
		s.recordInBackground(rlbclaim.Operation{Verb: rlbclaim.VerbRelease, Entry: entry}) // the claim may still be recorded
	}
	return result
}

// replayOrRefuse answers a request whose claim was not granted: with the stored
// answer of the earlier run if there is one, otherwise with a refusal.
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

// recordOutcome records how the run ended, so that a resend gets the same outcome.
// If the request certainly did not run, it releases the claim.
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

// recordInBackground carries out an operation on a claim that no request waits for.
// Wait waits for it at shutdown.
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
		s.Log.WithField("key", op.Entry.Key.String()).Warn("failed to record the outcome or the release of a claim on an idempotency key")
	}()
}

// Wait waits until the background operations on claims have succeeded or failed.
func (s *Server) Wait() { s.background.Wait() }

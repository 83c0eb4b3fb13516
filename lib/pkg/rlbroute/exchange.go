package rlbroute

import "time"

// ExchangeOpts are the limits for one request.
type ExchangeOpts struct {
	NonIdempotent bool // runs at most once
	Deadline      time.Time
	MaxAttempts   int
	Budget        Budget // shared with other requests
}

// Budget limits retries.
type Budget interface {
	// TrySpend takes one retry if one is left.
	TrySpend() bool
}

// Exchange is the state of one request across its attempts.
type Exchange struct {
	opts            ExchangeOpts
	stage           Stage
	mayHaveRun      bool // an earlier attempt may have run
	failed          bool // an earlier attempt ran and failed
	attempts        int
	connectFailures int // attempts that did not reach their endpoints
}

// maxConnectFailures is the number of failed connections that do not count as
// attempts: nothing reaches the endpoint, so that it neither runs the request nor
// gets any load from it.
const maxConnectFailures = 4

// NewExchange returns the exchange of a request that has not been sent.
func NewExchange(opts ExchangeOpts) *Exchange { return &Exchange{opts: opts} }

// Stage returns the stage of the current attempt.
func (x *Exchange) Stage() Stage { return x.stage }

// Begin begins an attempt. Once the caller has received a part of the answer, the
// exchange stays at StageAnswering.
func (x *Exchange) Begin() {
	x.attempts++
	if x.stage == StageSent {
		x.stage = StageUnsent
	}
}

// MarkSent records that the endpoint may have received the request.
func (x *Exchange) MarkSent() { x.stage = max(x.stage, StageSent) }

// MarkAnswering records that the caller has received a part of the answer.
func (x *Exchange) MarkAnswering() { x.stage = StageAnswering }

// HandleFault returns the decision for a fault of the current attempt at now.
func (x *Exchange) HandleFault(now time.Time, fault Fault) Decision {
	d := Decide(fault, x.stage, x.opts.NonIdempotent)
	if x.stage != StageUnsent && fault != FaultRefused && fault != FaultNotSent {
		x.mayHaveRun = true
	}
	if fault == FaultFailed {
		x.failed = true
	}
	if fault == FaultRefused {
		x.MarkUnsent()
	}
	if fault == FaultPreempted {
		x.attempts--
	}
	if (d.Action == ActionRetry || d.Action == ActionResume) && !x.allowRetry(now, fault) {
		d.Action = ActionEnd
	}
	if d.Action == ActionEnd {
		d.Outcome = x.finalOutcome(d.Outcome)
	}
	return d
}

// allowRetry reports whether another attempt is allowed, and takes the retry from the
// budget if it counts against it. Preemption uses neither
// attempts nor budget: the request did not cause it, and the retry adds no load,
// since the slot was given up for another request.
func (x *Exchange) allowRetry(now time.Time, fault Fault) bool {
	if !now.Before(x.opts.Deadline) {
		return false
	}
	if fault == FaultPreempted {
		return true
	}
	if fault == FaultNotSent && x.connectFailures < maxConnectFailures {
		x.connectFailures++
		x.attempts--
		return true
	}
	return x.attempts < x.opts.MaxAttempts && x.opts.Budget.TrySpend()
}

// finalOutcome corrects an outcome for earlier attempts: a request that may have
// run is never reported as not run.
func (x *Exchange) finalOutcome(outcome Outcome) Outcome {
	switch {
	case outcome == NotRun && x.failed:
		return Failed
	case outcome == NotRun && x.mayHaveRun:
		return Unknown
	default:
		return outcome
	}
}

// MarkUnsent reverts MarkSent when no byte was sent or the endpoint refused the
// request.
func (x *Exchange) MarkUnsent() {
	if x.stage == StageSent {
		x.stage = StageUnsent
	}
}

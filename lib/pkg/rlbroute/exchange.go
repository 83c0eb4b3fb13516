package rlbroute

import "time"

// ExchangeOpts are the limits of one request.
type ExchangeOpts struct {
	NonIdempotent bool // runs at most once
	Deadline      time.Time
	MaxAttempts   int
	Budget        Budget // shared by requests
}

// Budget bounds retries.
type Budget interface {
	// TrySpend takes one retry if one is left.
	TrySpend() bool
}

// Exchange is one request on its way, across its attempts.
type Exchange struct {
	opts     ExchangeOpts
	stage    Stage
	exposed  bool // an earlier attempt may have run
	failed   bool // an earlier attempt ran and failed
	attempts int
	unsent   int // attempts that did not reach their endpoints
}

// maxUnsent is how many endpoints a request may fail to reach beyond its attempts:
// nothing arrives there that could be counted or run.
const maxUnsent = 4

// NewExchange returns the exchange of a request that was not sent yet.
func NewExchange(opts ExchangeOpts) *Exchange { return &Exchange{opts: opts} }

// Stage returns how far the present attempt is.
func (x *Exchange) Stage() Stage { return x.stage }

// Begin begins an attempt. Once the caller has a part of the answer, the
// exchange stays at StageAnswering.
func (x *Exchange) Begin() {
	x.attempts++
	if x.stage == StageSent {
		x.stage = StageUnsent
	}
}

// MarkSent notes that the endpoint may have the request.
func (x *Exchange) MarkSent() { x.stage = max(x.stage, StageSent) }

// MarkAnswering notes that the caller has a part of the answer.
func (x *Exchange) MarkAnswering() { x.stage = StageAnswering }

// HandleFault returns what follows a fault of the present attempt at now.
func (x *Exchange) HandleFault(now time.Time, fault Fault) Decision {
	d := Decide(fault, x.stage, x.opts.NonIdempotent)
	if x.stage != StageUnsent && fault != FaultRefused && fault != FaultNotSent {
		x.exposed = true
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
	if (d.Action == ActionRetry || d.Action == ActionResume) && !x.mayRetry(now, fault) {
		d.Action = ActionEnd
	}
	if d.Action == ActionEnd {
		d.Outcome = x.honest(d.Outcome)
	}
	return d
}

// mayRetry reports whether the request may go on. One that was preempted is not
// at fault, and its retry adds no load: the slot was given up for another.
func (x *Exchange) mayRetry(now time.Time, fault Fault) bool {
	if !now.Before(x.opts.Deadline) {
		return false
	}
	if fault == FaultPreempted {
		return true
	}
	if fault == FaultNotSent && x.unsent < maxUnsent {
		x.unsent++
		x.attempts--
		return true
	}
	return x.attempts < x.opts.MaxAttempts && x.opts.Budget.TrySpend()
}

// honest corrects an outcome by what earlier attempts did: a request that may
// have run is never called not run.
func (x *Exchange) honest(outcome Outcome) Outcome {
	switch {
	case outcome == NotRun && x.failed:
		return Failed
	case outcome == NotRun && x.exposed:
		return Unknown
	default:
		return outcome
	}
}

// MarkUnsent takes Sent back: the connection shows that no byte left.
func (x *Exchange) MarkUnsent() {
	if x.stage == StageSent {
		x.stage = StageUnsent
	}
}

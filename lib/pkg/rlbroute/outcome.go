// Package rlbroute decides the way of one request: which endpoint gets it, what
// follows a fault, and what the caller is told. It does no I/O.
package rlbroute

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run" // it did not run: safe to send again
	Failed   Outcome = "failed"  // it ran, and failed
	Unknown  Outcome = "unknown" // it may have run
)

// Stage is how far a request's present attempt is.
type Stage int

// The stages.
const (
	StageUnsent    Stage = iota // no byte of it can have reached the endpoint
	StageSent                   // the endpoint may have it; the caller has nothing of the answer
	StageAnswering              // the caller has a part of the answer
	stageCount
)

// String names the stage.
func (s Stage) String() string { return [...]string{"unsent", "sent", "answering"}[s] }

// Fault is what went wrong.
type Fault int

// The faults.
const (
	FaultNoEndpoint         Fault = iota // no endpoint can take it
	FaultNotSent                         // the connection could not be made
	FaultRefused                         // the endpoint says that it did not run it
	FaultRejected                        // the endpoint says that the request is wrong
	FaultFailed                          // the endpoint says that it ran and failed
	FaultCut                             // the connection ended before the answer was whole
	FaultSilent                          // nothing came for too long
	FaultForeign                         // the answer, or a part, belongs to another request
	FaultGap                             // a part of the answer is missing
	FaultMalformed                       // the answer cannot be read, or its length is wrong
	FaultDuplicated                      // a part of the answer came twice
	FaultTooLarge                        // the answer is longer than allowed
	FaultDeadline                        // the caller's deadline passed
	FaultCallerDisconnected              // the caller left
	FaultPreempted                       // this gateway took its slot back for an interactive request
	FaultCount                           // number of faults
)

var faultNames = [...]string{
	"no endpoint", "not sent", "refused", "rejected", "failed", "cut", "silent", "foreign", "gap",
	"malformed", "doubled", "too large", "deadline", "caller gone", "preempted",
}

// String names the fault.
func (f Fault) String() string { return faultNames[f] }

// Action is what to do next.
type Action int

// The actions.
const (
	ActionEnd    Action = iota // tell the caller the outcome
	ActionRetry                // run it on another endpoint
	ActionResume               // have another endpoint, or the same, continue after the last token
	ActionSkip                 // ignore the doubled part
	ActionPass                 // pass the endpoint's own error on to the caller
)

// String names the action.
func (a Action) String() string { return [...]string{"end", "retry", "resume", "skip", "pass on"}[a] }

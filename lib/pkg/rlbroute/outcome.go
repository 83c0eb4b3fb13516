// Package rlbroute routes one request: it chooses the endpoint, decides how a fault
// is handled, and determines the outcome reported to the caller. It does no I/O.
package rlbroute

// Outcome is the outcome of a request as reported to the caller.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run" // did not run: safe to send again
	Failed   Outcome = "failed"  // ran and failed
	Unknown  Outcome = "unknown" // may have run
)

// Stage is the progress of the current attempt of a request.
type Stage int

// Stages of an attempt.
const (
	StageUnsent    Stage = iota // no byte can have reached the endpoint
	StageSent                   // the endpoint may have received it; the caller has received nothing
	StageAnswering              // the caller has received a part of the answer
	stageCount
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"unsent", "sent", "answering"}[s] }

// Fault is the kind of failure of an attempt.
type Fault int

// Faults of an attempt.
const (
	FaultNoEndpoint         Fault = iota // no endpoint can run the request
	FaultNotSent                         // the connection could not be established
	FaultRefused                         // the endpoint reports that it did not run the request
	FaultRejected                        // the endpoint reports that the request is invalid
	FaultFailed                          // the endpoint reports that the request ran and failed
	FaultCut                             // the connection ended before the answer was complete
	FaultSilent                          // the endpoint sent nothing until a timeout
	FaultForeign                         // the answer, or a part of it, belongs to another request
	FaultGap                             // a part of the answer is missing
	FaultMalformed                       // the answer cannot be parsed, or its length is wrong
	FaultDuplicated                      // a part of the answer was received twice
	FaultTooLarge                        // the answer exceeds the size limit
	FaultDeadline                        // the deadline of the request passed
	FaultCallerDisconnected              // the caller closed the connection
	FaultPreempted                       // this gateway took the slot back for an interactive request
	FaultCount                           // number of faults
)

var faultNames = [...]string{
	"no endpoint", "not sent", "refused", "rejected", "failed", "cut", "silent", "foreign", "gap",
	"malformed", "doubled", "too large", "deadline", "caller gone", "preempted",
}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Action is the next step after a fault.
type Action int

// Actions after a fault.
const (
	ActionEnd    Action = iota // report the outcome to the caller
	ActionRetry                // run the request on another endpoint
	ActionResume               // continue after the last token, on any endpoint
	ActionSkip                 // ignore the duplicated part
	ActionPass                 // forward the endpoint's error to the caller
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"end", "retry", "resume", "skip", "pass on"}[a] }

package rlbroute

import (
	"fmt"
	"io"
	"strings"
)

// Decision says how a fault is handled: the action, and the outcome reported to
// the caller if the action is ActionEnd or cannot be taken.
type Decision struct {
	Action  Action
	Outcome Outcome
}

// decisions is the row of one fault in the table: the decisions by stage, for
// idempotent requests and for those that run at most once.
type decisions struct {
	idempotent    [stageCount]Decision
	nonIdempotent [stageCount]Decision
}

var (
	endNotRun    = Decision{ActionEnd, NotRun}
	endFailed    = Decision{ActionEnd, Failed}
	endUnknown   = Decision{ActionEnd, Unknown}
	retryNotRun  = Decision{ActionRetry, NotRun}
	retryFailed  = Decision{ActionRetry, Failed}
	retryUnknown = Decision{ActionRetry, Unknown}
	resume       = Decision{ActionResume, Failed}
	skip         = Decision{ActionSkip, Unknown}
	passFailed   = Decision{ActionPass, Failed}
)

// unknownRun is the row of faults after which it is unknown whether the request ran.
var unknownRun = decisions{
	idempotent:    [stageCount]Decision{retryNotRun, retryUnknown, resume},
	nonIdempotent: [stageCount]Decision{endUnknown, endUnknown, endUnknown},
}

// table holds the decisions for each fault. A request that runs at most once is
// sent again only if no byte of it was sent or the endpoint refused it.
var table = [FaultCount]decisions{
	FaultNoEndpoint: {
		idempotent:    [stageCount]Decision{endNotRun, endUnknown, endFailed},
		nonIdempotent: [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
	FaultNotSent: {
		idempotent:    [stageCount]Decision{retryNotRun, retryUnknown, resume},
		nonIdempotent: [stageCount]Decision{retryNotRun, endUnknown, endUnknown},
	},
	FaultRefused: {
		idempotent:    [stageCount]Decision{retryNotRun, retryNotRun, resume},
		nonIdempotent: [stageCount]Decision{retryNotRun, retryNotRun, endUnknown},
	},
	FaultRejected: {
		idempotent:    [stageCount]Decision{passFailed, passFailed, resume},
		nonIdempotent: [stageCount]Decision{passFailed, passFailed, endUnknown},
	},
	FaultFailed: {
		idempotent:    [stageCount]Decision{retryFailed, retryFailed, resume},
		nonIdempotent: [stageCount]Decision{endFailed, endFailed, endUnknown},
	},
	FaultCut:       unknownRun,
	FaultSilent:    unknownRun,
	FaultForeign:   unknownRun,
	FaultGap:       unknownRun,
	FaultMalformed: unknownRun,
	FaultPreempted: unknownRun, // only idempotent requests are preempted
	FaultDuplicated: {
		idempotent:    [stageCount]Decision{skip, skip, skip},
		nonIdempotent: [stageCount]Decision{skip, skip, skip},
	},
	FaultTooLarge: {
		idempotent:    [stageCount]Decision{endFailed, endFailed, endFailed},
		nonIdempotent: [stageCount]Decision{endFailed, endFailed, endFailed},
	},
	FaultDeadline: {
		idempotent:    [stageCount]Decision{endNotRun, endUnknown, endFailed},
		nonIdempotent: [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
	FaultCallerDisconnected: {
		idempotent:    [stageCount]Decision{endNotRun, endUnknown, endUnknown},
		nonIdempotent: [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
}

// Decide returns the decision for a fault at a stage.
func Decide(fault Fault, stage Stage, nonIdempotent bool) Decision {
	if nonIdempotent {
		return table[fault].nonIdempotent[stage]
	}
	return table[fault].idempotent[stage]
}

// WriteTable writes the table of decisions in Markdown.
func WriteTable(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| fault | idempotent, unsent | idempotent, sent | idempotent, answering | at most once, unsent | at most once, sent | at most once, answering |\n|---|---|---|---|---|---|---|\n")
	for fault := range FaultCount {
		fmt.Fprintf(&b, "| %s |", fault)
		for _, nonIdempotent := range []bool{false, true} {
			for stage := range stageCount {
				d := Decide(fault, stage, nonIdempotent)
				fmt.Fprintf(&b, " %s, else %s |", d.Action, d.Outcome)
			}
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, strings.ReplaceAll(b.String(), "end, else ", "end: "))
	return err
}

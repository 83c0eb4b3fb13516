package rlbroute

import (
	"fmt"
	"io"
	"strings"
)

// Decision is what follows a fault: the action, and the outcome that the caller
// is told if the action is ActionEnd, or cannot be taken.
type Decision struct {
	Action  Action
	Outcome Outcome
}

// row is the table's row of one fault: by stage, for idempotent requests and
// for those that run at most once.
type row struct {
	idempotent [stageCount]Decision
	once       [stageCount]Decision
}

var (
	endNotRun   = Decision{ActionEnd, NotRun}
	endFailed   = Decision{ActionEnd, Failed}
	endUnknown  = Decision{ActionEnd, Unknown}
	retryNotRun = Decision{ActionRetry, NotRun}
	retryFailed = Decision{ActionRetry, Failed}
	retryUnsure = Decision{ActionRetry, Unknown}
	resume      = Decision{ActionResume, Failed}
	skip        = Decision{ActionSkip, Unknown}
	passFailed  = Decision{ActionPass, Failed}
)

// broken is the row of every fault that leaves open whether the request ran.
var broken = row{
	idempotent: [stageCount]Decision{retryNotRun, retryUnsure, resume},
	once:       [stageCount]Decision{endUnknown, endUnknown, endUnknown},
}

// table says what follows each fault. A request that runs at most once is sent
// again only when no byte of it was sent or the endpoint itself refused it.
var table = [FaultCount]row{
	FaultNoEndpoint: {
		idempotent: [stageCount]Decision{endNotRun, endUnknown, endFailed},
		once:       [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
	FaultNotSent: {
		idempotent: [stageCount]Decision{retryNotRun, retryUnsure, resume},
		once:       [stageCount]Decision{retryNotRun, endUnknown, endUnknown},
	},
	FaultRefused: {
		idempotent: [stageCount]Decision{retryNotRun, retryNotRun, resume},
		once:       [stageCount]Decision{retryNotRun, retryNotRun, endUnknown},
	},
	FaultRejected: {
		idempotent: [stageCount]Decision{passFailed, passFailed, resume},
		once:       [stageCount]Decision{passFailed, passFailed, endUnknown},
	},
	FaultFailed: {
		idempotent: [stageCount]Decision{retryFailed, retryFailed, resume},
		once:       [stageCount]Decision{endFailed, endFailed, endUnknown},
	},
	FaultCut:       broken,
	FaultSilent:    broken,
	FaultForeign:   broken,
	FaultGap:       broken,
	FaultMalformed: broken,
	FaultPreempted: broken, // only idempotent requests are
	FaultDuplicated: {
		idempotent: [stageCount]Decision{skip, skip, skip},
		once:       [stageCount]Decision{skip, skip, skip},
	},
	FaultTooLarge: {
		idempotent: [stageCount]Decision{endFailed, endFailed, endFailed},
		once:       [stageCount]Decision{endFailed, endFailed, endFailed},
	},
	FaultDeadline: {
		idempotent: [stageCount]Decision{endNotRun, endUnknown, endFailed},
		once:       [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
	FaultCallerDisconnected: {
		idempotent: [stageCount]Decision{endNotRun, endUnknown, endUnknown},
		once:       [stageCount]Decision{endNotRun, endUnknown, endUnknown},
	},
}

// Decide returns what follows a fault at a stage.
func Decide(fault Fault, stage Stage, once bool) Decision {
	if once {
		return table[fault].once[stage]
	}
	return table[fault].idempotent[stage]
}

// WriteTable writes the table in Markdown.
func WriteTable(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| fault | idempotent, unsent | idempotent, sent | idempotent, answering | at most once, unsent | at most once, sent | at most once, answering |\n|---|---|---|---|---|---|---|\n")
	for fault := range FaultCount {
		fmt.Fprintf(&b, "| %s |", fault)
		for _, once := range []bool{false, true} {
			for stage := range stageCount {
				d := Decide(fault, stage, once)
				fmt.Fprintf(&b, " %s, else %s |", d.Action, d.Outcome)
			}
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, strings.ReplaceAll(b.String(), "end, else ", "end: "))
	return err
}

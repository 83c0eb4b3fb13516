package rlbroute

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// expectedCells repeats the whole table independently, derived from the
// requirements. Each fault has six cells: idempotent unsent, sent, answering, then
// at most once unsent, sent, answering. R/x means retry, else outcome x; C resume;
// P pass on; S skip; n, f, u end with not-run, failed, unknown.
var expectedCells = map[Fault]string{
	FaultNoEndpoint:         "n u f n u u",
	FaultNotSent:            "R/n R/u C/f R/n u u",
	FaultRefused:            "R/n R/n C/f R/n R/n u",
	FaultRejected:           "P/f P/f C/f P/f P/f u",
	FaultFailed:             "R/f R/f C/f f f u",
	FaultCut:                "R/n R/u C/f u u u",
	FaultSilent:             "R/n R/u C/f u u u",
	FaultForeign:            "R/n R/u C/f u u u",
	FaultGap:                "R/n R/u C/f u u u",
	FaultMalformed:          "R/n R/u C/f u u u",
	FaultDuplicated:         "S/u S/u S/u S/u S/u S/u",
	FaultTooLarge:           "f f f f f f",
	FaultDeadline:           "n u f n u u",
	FaultCallerDisconnected: "n u u n u u",
	FaultPreempted:          "R/n R/u C/f u u u",
}

// cellText returns a decision in the notation of expectedCells.
func cellText(d Decision) string {
	outcome := map[Outcome]string{NotRun: "n", Failed: "f", Unknown: "u"}[d.Outcome]
	switch d.Action {
	case ActionRetry:
		return "R/" + outcome
	case ActionResume:
		return "C/" + outcome
	case ActionPass:
		return "P/" + outcome
	case ActionSkip:
		return "S/" + outcome
	default:
		return outcome
	}
}

// eachCell calls f for every cell of the table.
func eachCell(f func(fault Fault, stage Stage, nonIdempotent bool)) {
	for fault := range FaultCount {
		for stage := range stageCount {
			f(fault, stage, false)
			f(fault, stage, true)
		}
	}
}

func TestTableCells(t *testing.T) {
	for fault := range FaultCount {
		Convey(fault.String(), t, func() {
			want := strings.Fields(expectedCells[fault])
			So(want, ShouldHaveLength, 2*int(stageCount))
			for stage := range stageCount {
				So(cellText(Decide(fault, stage, false)), ShouldEqual, want[stage])
				So(cellText(Decide(fault, stage, true)), ShouldEqual, want[stageCount+stage])
			}
		})
	}
}

func TestTableGuarantees(t *testing.T) {
	Convey("a request that runs at most once is sent again only if it cannot have run", t, func() {
		eachCell(func(fault Fault, stage Stage, nonIdempotent bool) {
			d := Decide(fault, stage, nonIdempotent)
			if !nonIdempotent || d.Action != ActionRetry && d.Action != ActionResume {
				return
			}
			So(fault == FaultRefused || fault == FaultNotSent && stage == StageUnsent, ShouldBeTrue)
		})
	})
	Convey("not-run is reported only if nothing was sent or the endpoint refused the request", t, func() {
		eachCell(func(fault Fault, stage Stage, nonIdempotent bool) {
			if Decide(fault, stage, nonIdempotent).Outcome == NotRun {
				So(stage == StageUnsent || fault == FaultRefused && stage == StageSent, ShouldBeTrue)
			}
		})
	})
	Convey("a partly delivered answer is never restarted", t, func() {
		eachCell(func(fault Fault, stage Stage, nonIdempotent bool) {
			if stage == StageAnswering {
				So(Decide(fault, stage, nonIdempotent).Action, ShouldNotEqual, ActionRetry)
			}
		})
	})
}

func TestTablePage(t *testing.T) {
	Convey("docs/FAULTS.md contains the current table", t, func() {
		var table bytes.Buffer
		So(WriteTable(&table), ShouldBeNil)
		page, err := os.ReadFile("../../../docs/FAULTS.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldContainSubstring, table.String())
	})
}

// exchangeAt returns an exchange whose current attempt is at a stage.
func exchangeAt(stage Stage, nonIdempotent bool, attempts int) *Exchange {
	x := NewExchange(ExchangeOpts{NonIdempotent: nonIdempotent, Deadline: time.Unix(100, 0), MaxAttempts: attempts, Budget: NewRetryBudget(1)})
	x.Begin()
	switch stage {
	case StageSent:
		x.MarkSent()
	case StageAnswering:
		x.MarkSent()
		x.MarkAnswering()
	}
	return x
}

func TestExchangeCells(t *testing.T) {
	now := time.Unix(10, 0)
	Convey("without attempts left, each cell ends with the table's outcome", t, func() {
		eachCell(func(fault Fault, stage Stage, nonIdempotent bool) {
			if fault == FaultPreempted {
				return // does not count as an attempt; tested below
			}
			x := exchangeAt(stage, nonIdempotent, 1)
			x.connectFailures = maxConnectFailures // up to the limit they do not count as attempts; tested below
			want, got := Decide(fault, stage, nonIdempotent), x.HandleFault(now, fault)
			if want.Action == ActionPass || want.Action == ActionSkip {
				So(got, ShouldResemble, want)
				return
			}
			So(got.Action, ShouldEqual, ActionEnd)
			So(got.Outcome, ShouldEqual, want.Outcome)
		})
	})
	Convey("after the deadline nothing is retried", t, func() {
		eachCell(func(fault Fault, stage Stage, nonIdempotent bool) {
			got := exchangeAt(stage, nonIdempotent, 9).HandleFault(time.Unix(100, 0), fault)
			So(got.Action == ActionRetry || got.Action == ActionResume, ShouldBeFalse)
		})
	})
	Convey("a refusal after an attempt that may have run is reported as unknown", t, func() {
		x := exchangeAt(StageSent, false, 2)
		So(x.HandleFault(now, FaultCut).Action, ShouldEqual, ActionRetry)
		x.Begin()
		x.MarkSent()
		So(x.HandleFault(now, FaultRefused).Outcome, ShouldEqual, Unknown)
	})
	Convey("refused by every endpoint: not-run", t, func() {
		x := exchangeAt(StageSent, true, 3)
		So(x.HandleFault(now, FaultRefused).Action, ShouldEqual, ActionRetry)
		So(x.HandleFault(now, FaultNoEndpoint).Outcome, ShouldEqual, NotRun)
	})
	Convey("no endpoint left after a failed attempt: failed", t, func() {
		x := exchangeAt(StageSent, false, 2)
		So(x.HandleFault(now, FaultFailed).Action, ShouldEqual, ActionRetry)
		x.Begin()
		So(x.HandleFault(now, FaultNoEndpoint).Outcome, ShouldEqual, Failed)
	})
	Convey("preemption uses neither attempts nor budget, and ends at the deadline", t, func() {
		x := NewExchange(ExchangeOpts{Deadline: time.Unix(100, 0), MaxAttempts: 1, Budget: NewRetryBudget(0)})
		for range 50 {
			x.Begin()
			x.MarkSent()
			x.MarkAnswering()
			So(x.HandleFault(now, FaultPreempted).Action, ShouldEqual, ActionResume)
		}
		So(x.HandleFault(time.Unix(100, 0), FaultPreempted), ShouldResemble, Decision{ActionEnd, Failed})
	})
	Convey("a limited number of failed connections uses neither attempts nor budget", t, func() {
		budget := NewRetryBudget(0)
		for budget.TrySpend() {
		}
		x := NewExchange(ExchangeOpts{NonIdempotent: true, Deadline: time.Unix(100, 0), MaxAttempts: 1, Budget: budget})
		for range maxConnectFailures {
			x.Begin()
			So(x.HandleFault(now, FaultNotSent).Action, ShouldEqual, ActionRetry)
		}
		x.Begin()
		So(x.HandleFault(now, FaultNotSent), ShouldResemble, Decision{ActionEnd, NotRun})
	})
	Convey("an exhausted budget ends the retries", t, func() {
		budget := NewRetryBudget(0)
		for budget.TrySpend() {
		}
		x := NewExchange(ExchangeOpts{Deadline: time.Unix(100, 0), MaxAttempts: 9, Budget: budget})
		x.Begin()
		x.MarkSent()
		So(x.HandleFault(now, FaultRefused), ShouldResemble, Decision{ActionEnd, NotRun})
	})
}

package rlbroute

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// cells states the whole table a second time, written from the brief: for each
// fault the six cells in the order idempotent unsent, sent, answering, then at
// most once unsent, sent, answering. R/x means retry, else outcome x; C resume;
// P pass on; S skip; n, f, u end with not-run, failed, unknown.
var cells = map[Fault]string{
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

func letters(d Decision) string {
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
func eachCell(f func(fault Fault, stage Stage, once bool)) {
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
			want := strings.Fields(cells[fault])
			So(want, ShouldHaveLength, 2*int(stageCount))
			for stage := range stageCount {
				So(letters(Decide(fault, stage, false)), ShouldEqual, want[stage])
				So(letters(Decide(fault, stage, true)), ShouldEqual, want[stageCount+stage])
			}
		})
	}
}

func TestTableKeepsPromises(t *testing.T) {
	Convey("a request that runs at most once goes again only if it cannot have run", t, func() {
		eachCell(func(fault Fault, stage Stage, once bool) {
			d := Decide(fault, stage, once)
			if !once || d.Action != ActionRetry && d.Action != ActionResume {
				return
			}
			So(fault == FaultRefused || fault == FaultNotSent && stage == StageUnsent, ShouldBeTrue)
		})
	})
	Convey("not-run is said only before anything was sent, or when the endpoint refused", t, func() {
		eachCell(func(fault Fault, stage Stage, once bool) {
			if Decide(fault, stage, once).Outcome == NotRun {
				So(stage == StageUnsent || fault == FaultRefused && stage == StageSent, ShouldBeTrue)
			}
		})
	})
	Convey("an answer that was begun is never begun anew", t, func() {
		eachCell(func(fault Fault, stage Stage, once bool) {
			if stage == StageAnswering {
				So(Decide(fault, stage, once).Action, ShouldNotEqual, ActionRetry)
			}
		})
	})
}

func TestTablePage(t *testing.T) {
	Convey("the page for operators and callers holds the table as it is", t, func() {
		var table bytes.Buffer
		So(WriteTable(&table), ShouldBeNil)
		page, err := os.ReadFile("../../../docs/FAULTS.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldContainSubstring, table.String())
	})
}

// exchangeAt returns an exchange whose present attempt is at a stage.
func exchangeAt(stage Stage, once bool, attempts int) *Exchange {
	x := NewExchange(ExchangeOpts{NonIdempotent: once, Deadline: time.Unix(100, 0), MaxAttempts: attempts, Budget: NewRetryBudget(1)})
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
		eachCell(func(fault Fault, stage Stage, once bool) {
			if fault == FaultPreempted {
				return // costs no attempt: see below
			}
			x := exchangeAt(stage, once, 1)
			x.unsent = maxUnsent // connections that were not made cost none before: see below
			want, got := Decide(fault, stage, once), x.HandleFault(now, fault)
			if want.Action == ActionPass || want.Action == ActionSkip {
				So(got, ShouldResemble, want)
				return
			}
			So(got.Action, ShouldEqual, ActionEnd)
			So(got.Outcome, ShouldEqual, want.Outcome)
		})
	})
	Convey("past the deadline nothing is tried again", t, func() {
		eachCell(func(fault Fault, stage Stage, once bool) {
			got := exchangeAt(stage, once, 9).HandleFault(time.Unix(100, 0), fault)
			So(got.Action == ActionRetry || got.Action == ActionResume, ShouldBeFalse)
		})
	})
	Convey("a refusal after an attempt that may have run is not called not-run", t, func() {
		x := exchangeAt(StageSent, false, 2)
		So(x.HandleFault(now, FaultCut).Action, ShouldEqual, ActionRetry)
		x.Begin()
		x.MarkSent()
		So(x.HandleFault(now, FaultRefused).Outcome, ShouldEqual, Unknown)
	})
	Convey("refused everywhere, then no endpoint left: not-run", t, func() {
		x := exchangeAt(StageSent, true, 3)
		So(x.HandleFault(now, FaultRefused).Action, ShouldEqual, ActionRetry)
		So(x.HandleFault(now, FaultNoEndpoint).Outcome, ShouldEqual, NotRun)
	})
	Convey("a refusal after an attempt that failed is called failed", t, func() {
		x := exchangeAt(StageSent, false, 2)
		So(x.HandleFault(now, FaultFailed).Action, ShouldEqual, ActionRetry)
		x.Begin()
		So(x.HandleFault(now, FaultNoEndpoint).Outcome, ShouldEqual, Failed)
	})
	Convey("being preempted costs neither attempts nor budget, but not past the deadline", t, func() {
		x := NewExchange(ExchangeOpts{Deadline: time.Unix(100, 0), MaxAttempts: 1, Budget: NewRetryBudget(0)})
		for range 50 {
			x.Begin()
			x.MarkSent()
			x.MarkAnswering()
			So(x.HandleFault(now, FaultPreempted).Action, ShouldEqual, ActionResume)
		}
		So(x.HandleFault(time.Unix(100, 0), FaultPreempted), ShouldResemble, Decision{ActionEnd, Failed})
	})
	Convey("connections that are not made cost neither attempts nor budget, a few times", t, func() {
		budget := NewRetryBudget(0)
		for budget.TrySpend() {
		}
		x := NewExchange(ExchangeOpts{NonIdempotent: true, Deadline: time.Unix(100, 0), MaxAttempts: 1, Budget: budget})
		for range maxUnsent {
			x.Begin()
			So(x.HandleFault(now, FaultNotSent).Action, ShouldEqual, ActionRetry)
		}
		x.Begin()
		So(x.HandleFault(now, FaultNotSent), ShouldResemble, Decision{ActionEnd, NotRun})
	})
	Convey("a spent budget ends the retries", t, func() {
		budget := NewRetryBudget(0)
		for budget.TrySpend() {
		}
		x := NewExchange(ExchangeOpts{Deadline: time.Unix(100, 0), MaxAttempts: 9, Budget: budget})
		x.Begin()
		x.MarkSent()
		So(x.HandleFault(now, FaultRefused), ShouldResemble, Decision{ActionEnd, NotRun})
	})
}

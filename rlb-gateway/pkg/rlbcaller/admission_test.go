package rlbcaller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	. "github.com/smartystreets/goconvey/convey"
)

// setTarget gives the test model a target for its first token and tells the
// engines' slots.
func (r *rig) setTarget(d time.Duration, slots int) {
	m := r.update.Note.Models[testModel]
	m.FirstToken = d
	r.update.Note.Models[testModel] = m
	note := *r.update.Note
	note.Version++
	r.update.Note = &note
	for _, e := range r.update.Engines {
		r.update.Loads = append(r.update.Loads, rlbfleetstate.Load{ID: e.ID, Incarnation: 1, Report: 1, Slots: slots})
	}
	for i := range r.update.Engines {
		r.update.Engines[i].Sequence++
	}
	r.fleet.ApplyUpdate(r.update)
}

func TestAdmission(t *testing.T) {
	const slots = 8
	withRig(t, 1, func(r *rig) {
		Convey("a request that would wait longer than its target is refused at once, as not run", t, func() {
			r.setTarget(300*time.Millisecond, slots)
			const load = 4 * slots
			replies := make(chan reply, load)
			for range load {
				go func() { replies <- r.completion(testModel, true) }()
			}
			synctest.Wait()
			began := time.Now()
			got := r.completion(testModel, true)
			So(got.outcome, ShouldEqual, "not-run")
			So(got.code, ShouldEqual, CodeOverloaded)
			So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
			answered := 0
			for range load {
				if (<-replies).outcome == "answered" {
					answered++
				}
			}
			So(answered, ShouldBeGreaterThanOrEqualTo, slots)
			So(r.started(), ShouldEqual, answered)
			_, report := r.server.Report(time.Now())
			So(report.Burn, ShouldHaveLength, 1)
			So(report.Burn[0].Refused, ShouldEqual, load+1-answered)
			So(report.Refusals, ShouldHaveLength, load+1-answered)
			So(report.Refusals[0].Text, ShouldStartWith, "POST /v1/chat/completions: not-run, overloaded after ")
		})
		Convey("a request without a target waits", t, func() {
			assertComplete(r.completion(nonIdempotentModel, true))
		})
	})
}

func TestAdapterFetches(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("fetches of adapters stay within the limit, and every request is answered", t, func() {
			const adapters, limit = 12, 3
			note := *r.update.Note
			note.Version, note.Adapters = note.Version+1, map[string]rlbnote.Adapter{}
			for i := range adapters {
				name := fmt.Sprint("adapter", i)
				note.Adapters[name] = rlbnote.Adapter{Name: name, Model: testModel, Version: "v1"}
			}
			r.update.Note = &note
			r.fleet.ApplyUpdate(r.update)
			r.server.fetches = rlbroute.NewFetchLimit(limit)
			replies := make(chan reply, adapters)
			for i := range adapters {
				go func() { replies <- r.completion(fmt.Sprint("adapter", i), true) }()
			}
			for range adapters {
				assertComplete(<-replies)
			}
			So(r.maxConcurrentFetches(), ShouldEqual, limit)
		})
	})
}

func TestBatchYields(t *testing.T) {
	const slots = 8
	withRig(t, 1, func(r *rig) {
		Convey("batch streams fill the endpoint, give way to an interactive request, and end whole", t, func() {
			note := *r.update.Note
			batch := note.Models[nonIdempotentModel]
			batch.NonIdempotent, batch.Class = false, rlbnote.ClassBatch
			note.Models[nonIdempotentModel] = batch
			r.update.Note = &note
			r.setTarget(50*time.Millisecond, slots)
			const load = 3 * slots
			replies := make(chan reply, load)
			for range load {
				go func() { replies <- r.completion(nonIdempotentModel, true) }()
			}
			time.Sleep(30 * time.Millisecond) // within the first batch's streams
			So(r.started(), ShouldEqual, slots)
			began := time.Now()
			assertComplete(r.completion(testModel, true))
			So(time.Since(began), ShouldBeLessThan, 300*time.Millisecond)
			for range load {
				assertComplete(<-replies)
			}
			// The interrupted one ran twice, unless it still waited for its slot at the
			// engine: two that choose at the same moment may both see the last free one.
			So(r.started(), ShouldBeBetweenOrEqual, load+1, load+2)
		})
	})
}

func TestRefusedBeforeItRanOnly(t *testing.T) {
	const target = 10 * time.Millisecond
	full := rlbroute.NewEndpoint(rlbroute.EndpointOpts{ID: "e", Slots: 1})
	full.BeginRequest()
	deadline := time.Now().Add(time.Minute)
	w := &proxiedRequest{call: &call{deadline: deadline}, firstTokenTarget: target, exchange: rlbroute.NewExchange(rlbroute.ExchangeOpts{Deadline: deadline})}
	Convey("a request that was never sent is refused when it would wait too long", t, func() {
		So(w.wouldMissTarget(full), ShouldBeTrue)
	})
	Convey("one that was preempted may have run, and is not", t, func() {
		w.beginAttempt()
		w.exchange.MarkSent()
		So(w.exchange.HandleFault(time.Now(), rlbroute.FaultPreempted).Action, ShouldEqual, rlbroute.ActionRetry)
		So(w.wouldMissTarget(full), ShouldBeFalse)
	})
}

func TestRefusedByFirstToken(t *testing.T) {
	now := time.Now()
	slow := rlbroute.NewEndpoint(rlbroute.EndpointOpts{ID: "e", Slots: 16})
	slow.BeginRequest()
	slow.AwaitFirstToken(now)(now.Add(time.Second), true)
	w := &proxiedRequest{call: &call{}, firstTokenTarget: 340 * time.Millisecond}
	Convey("an endpoint that was slow, and before which nothing waits, is tried again", t, func() {
		So(w.wouldMissTarget(slow), ShouldBeFalse)
	})
	Convey("while a request waits there for its first token, another is refused, though slots are free", t, func() {
		slow.AwaitFirstToken(now)
		So(w.wouldMissTarget(slow), ShouldBeTrue)
	})
}

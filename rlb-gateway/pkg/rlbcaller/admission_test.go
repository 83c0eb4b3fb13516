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

// setTarget sets the first-token target of the test model and reports the number of
// slots of each engine.
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
		Convey("a request that would wait longer than its target is refused at once, with outcome not-run", t, func() {
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
		Convey("a request without a target waits and is answered", t, func() {
			assertComplete(r.completion(nonIdempotentModel, true))
		})
	})
}

func TestAdapterFetches(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("concurrent adapter fetches stay within the limit, and every request is answered", t, func() {
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
		Convey("batch streams fill the endpoint, one is preempted by an interactive request, and all complete", t, func() {
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
			time.Sleep(30 * time.Millisecond) // the first streams fill the slots
			So(r.started(), ShouldEqual, slots)
			began := time.Now()
			assertComplete(r.completion(testModel, true))
			So(time.Since(began), ShouldBeLessThan, 300*time.Millisecond)
			for range load {
				assertComplete(<-replies)
			}
			// The preempted stream ran twice, unless it was still waiting for a slot at the
			// engine: two streams that choose concurrently may both see the last free slot.
			So(r.started(), ShouldBeBetweenOrEqual, load+1, load+2)
		})
	})
}

func TestRefusedOnlyBeforeFirstAttempt(t *testing.T) {
	const target = 10 * time.Millisecond
	fullEndpoint := rlbroute.NewEndpoint(rlbroute.EndpointOpts{ID: "e", Slots: 1})
	fullEndpoint.BeginRequest()
	deadline := time.Now().Add(time.Minute)
	p := &proxiedRequest{call: &call{deadline: deadline}, firstTokenTarget: target, exchange: rlbroute.NewExchange(rlbroute.ExchangeOpts{Deadline: deadline})}
	Convey("a request that was never sent is refused if it would miss its target", t, func() {
		So(p.wouldMissTarget(fullEndpoint), ShouldBeTrue)
	})
	Convey("a preempted request may have run, and is not refused", t, func() {
		p.beginAttempt()
		p.exchange.MarkSent()
		So(p.exchange.HandleFault(time.Now(), rlbroute.FaultPreempted).Action, ShouldEqual, rlbroute.ActionRetry)
		So(p.wouldMissTarget(fullEndpoint), ShouldBeFalse)
	})
}

func TestRefusedByFirstToken(t *testing.T) {
	now := time.Now()
	slowEndpoint := rlbroute.NewEndpoint(rlbroute.EndpointOpts{ID: "e", Slots: 16})
	slowEndpoint.BeginRequest()
	slowEndpoint.AwaitFirstToken(now)(now.Add(time.Second), true)
	p := &proxiedRequest{call: &call{}, firstTokenTarget: 340 * time.Millisecond}
	Convey("an endpoint that was slow is tried again if no request waits there for its first token", t, func() {
		So(p.wouldMissTarget(slowEndpoint), ShouldBeFalse)
	})
	Convey("while a request waits there for its first token, another is refused although slots are free", t, func() {
		slowEndpoint.AwaitFirstToken(now)
		So(p.wouldMissTarget(slowEndpoint), ShouldBeTrue)
	})
}

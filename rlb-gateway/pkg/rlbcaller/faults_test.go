package rlbcaller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	. "github.com/smartystreets/goconvey/convey"
)

// assertComplete checks that the caller got the complete answer to its own request:
// every token once and in order, and the end marker.
func assertComplete(got reply) {
	So(got.outcome, ShouldEqual, "answered")
	So(got.done, ShouldBeTrue)
	So(got.failed, ShouldBeFalse)
	So(got.tokens, ShouldHaveLength, testTokens)
	digest, _, _ := strings.Cut(got.tokens[0], "-")
	for i, token := range got.tokens {
		So(token, ShouldEqual, fmt.Sprintf("%s-%d", digest, i+1))
	}
	So(got.body, ShouldContainSubstring, got.id)
	So(got.body, ShouldNotContainSubstring, "another-request")
}

// assertPrefix checks that an incomplete answer has a correct prefix of the tokens and
// no end marker.
func assertPrefix(got reply) {
	So(got.done, ShouldBeFalse)
	for i, token := range got.tokens {
		So(token, ShouldEndWith, fmt.Sprintf("-%d", i+1))
	}
	So(got.body, ShouldNotContainSubstring, "another-request")
}

// faultCase is the expected result if a fault is injected into the first endpoint that
// gets the request. An empty want stands for the complete answer; runs is how often
// engines ran the request.
type faultCase struct {
	fault         rlbfault.Fault
	nonIdempotent bool
	want          string // outcome
	runs          int
}

var engineFaults = []faultCase{
	{rlbfault.Refuse, false, "", 1}, {rlbfault.Refuse, true, "", 1},
	{rlbfault.Fail, false, "", 2}, {rlbfault.Fail, true, "failed", 1},
	{rlbfault.Late, false, "", 1}, {rlbfault.Late, true, "", 1},
	{rlbfault.Silent, false, "", 2}, {rlbfault.Silent, true, "unknown", 1},
	{rlbfault.CutBefore, false, "", 2}, {rlbfault.CutBefore, true, "unknown", 1},
	{rlbfault.CutMid, false, "", 2}, {rlbfault.CutMid, true, "unknown", 1},
	{rlbfault.Misdelivered, false, "", 2}, {rlbfault.Misdelivered, true, "unknown", 1},
}

var streamFaults = []faultCase{
	{rlbfault.SilentMid, false, "", 2}, {rlbfault.SilentMid, true, "unknown", 1},
	{rlbfault.MisdeliveredMid, false, "", 2}, {rlbfault.MisdeliveredMid, true, "unknown", 1},
	{rlbfault.Duplicated, false, "", 1}, {rlbfault.Duplicated, true, "", 1},
	{rlbfault.Gap, false, "", 2}, {rlbfault.Gap, true, "unknown", 1},
	{rlbfault.NoEnd, false, "", 2}, {rlbfault.NoEnd, true, "unknown", 1},
}

var documentFaults = []faultCase{{rlbfault.WrongSize, false, "", 2}, {rlbfault.WrongSize, true, "unknown", 1}}

func TestEngineFaults(t *testing.T) {
	check := func(cases []faultCase, stream bool) {
		for _, c := range cases {
			name := fmt.Sprintf("%s, non-idempotent %t, stream %t", c.fault, c.nonIdempotent, stream)
			t.Run(name, func(t *testing.T) { checkEngineFault(t, c, stream) })
		}
	}
	check(engineFaults, true)
	check(streamFaults, true)
	check(engineFaults, false)
	check(documentFaults, false)
}

func checkEngineFault(t *testing.T, c faultCase, stream bool) {
	withRig(t, 2, func(r *rig) {
		Convey("the caller gets the outcome in the table", t, func() {
			injected := injectOnFirst(r, c.fault)
			model := testModel
			if c.nonIdempotent {
				model = nonIdempotentModel
			}
			got := r.completion(model, stream)
			So(injected(), ShouldBeTrue)
			if c.want == "" {
				assertComplete(got)
			} else {
				So(got.outcome, ShouldEqual, c.want)
				assertPrefix(got)
			}
			So(r.started(), ShouldEqual, c.runs)
			if stream {
				So(r.servers[0].counters.tokens.Count(), ShouldEqual, len(got.tokens))
			}
		})
	})
}

// injectOnFirst injects a fault once, into the first engine that gets a request. The
// returned function reports whether the fault was injected exactly once.
func injectOnFirst(r *rig, fault rlbfault.Fault) func() bool {
	shared := &rlbfault.Injector{}
	if err := shared.Set(rlbfault.Plan{Next: []rlbfault.Fault{fault}, Delay: 2 * time.Second}); err != nil {
		panic(err)
	}
	for _, e := range r.engines {
		e.ShareFaults(shared)
	}
	return func() bool { return shared.Injected()[fault] == 1 }
}

func TestSamplingEngines(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		for _, e := range r.engines {
			e.EnableSampling()
		}
		Convey("a cut stream resumes on the engine that started it, which may still have the run, and on no other", t, func() {
			for range 6 {
				injectOnFirst(r, rlbfault.CutMid)
				assertComplete(r.completion(testModel, true))
			}
			for _, e := range r.engines {
				for _, count := range e.Record().Runs {
					So(count.Started, ShouldEqual, 2)
				}
			}
		})
		Convey("if that engine is unreachable, the stream ends with an error event", t, func() {
			injectOnFirst(r, rlbfault.SilentMid)
			running := make(chan reply)
			go func() { running <- r.completion(testModel, true) }()
			time.Sleep(time.Second)
			for i, e := range r.engines {
				if running, _ := e.Counts(); running > 0 {
					r.network.Kill(fmt.Sprint("engine", i))
				}
			}
			got := <-running
			So(got.failed, ShouldBeTrue)
			So(got.outcome, ShouldEqual, "failed")
			assertPrefix(got)
		})
	})
}

func TestEveryEndpointFails(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		Convey("if both cut the connection, the outcome is unknown, never not-run", t, func() {
			for _, e := range r.engines {
				So(e.Faults().Set(rlbfault.Plan{Rates: map[rlbfault.Fault]float64{rlbfault.CutBefore: 1}}), ShouldBeNil)
			}
			got := r.completion(testModel, false)
			So(got.outcome, ShouldEqual, "unknown")
			So(got.code, ShouldEqual, CodeAnswerIncomplete)
		})
		Convey("if both refuse, the outcome is not-run", t, func() {
			for _, e := range r.engines {
				So(e.Faults().Set(rlbfault.Plan{Rates: map[rlbfault.Fault]float64{rlbfault.Refuse: 1}}), ShouldBeNil)
			}
			before := r.started()
			got := r.completion(testModel, false)
			So(got.outcome, ShouldEqual, "not-run")
			So(r.started(), ShouldEqual, before)
		})
	})
}

func TestUnreachableEndpoints(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		Convey("requests avoid an unreachable endpoint; if none is left, the outcome is not-run", t, func() {
			r.network.Kill("engine0")
			for range 4 {
				assertComplete(r.completion(testModel, true))
				assertComplete(r.completion(nonIdempotentModel, false))
			}
			r.network.Kill("engine1")
			got := r.completion(nonIdempotentModel, false)
			So(got.outcome, ShouldEqual, "not-run")
			So(got.status, ShouldEqual, 503)
		})
	})
}

func TestOpenConnectionsGoSilent(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("if every open connection goes silent, each kind of request is answered within its limit", t, func() {
			assertComplete(r.completion(testModel, true))
			running := make(chan reply)
			go func() { running <- r.completion(testModel, true) }()
			synctest.Wait()
			time.Sleep(50 * time.Millisecond) // some tokens have arrived
			r.network.Silence("engine0", false)
			began := time.Now()
			assertComplete(r.completion(nonIdempotentModel, false)) // always on a new connection
			So(time.Since(began), ShouldBeLessThan, time.Second)
			assertComplete(<-running) // resumed within its stream
			So(time.Since(began), ShouldBeLessThan, 3500*time.Millisecond)
		})
		Convey("a silent idle connection delays one request by two seconds; the endpoint stays in use", t, func() {
			assertComplete(r.completion(testModel, true))
			assertComplete(r.completion(testModel, true))
			r.network.Silence("engine0", false)
			began := time.Now()
			assertComplete(r.completion(testModel, true))
			So(time.Since(began), ShouldBeBetween, 2*time.Second, 2500*time.Millisecond)
			began = time.Now()
			assertComplete(r.completion(testModel, true))
			So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
		})
	})
}

// TestCrashingRequest guards against a request that crashes every engine it runs on:
// retries and resends would take down one engine after another. It sends such a
// request together with unrelated streams through 1, 3 and 8 gateways, and resends it
// to another gateway after each refusal.
func TestCrashingRequest(t *testing.T) {
	const engines, unrelated, resends = 12, 40, 6
	for _, gateways := range []int{1, 3, 8} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			withGateways(t, gateways, engines, func(r *rig) {
				Convey("the request takes down two engines, and every unrelated request is answered", t, func() {
					replies := make(chan reply, unrelated)
					for i := range unrelated {
						go func() {
							// Pairs of callers send the same content.
							body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":["innocent %d"]}`, testModel, testTokens, i%(unrelated/2))
							replies <- r.sendTo(i%gateways, "POST", "/v1/chat/completions", body)
						}()
					}
					synctest.Wait()
					body := fmt.Sprintf(`{"model":%q,"messages":[%q]}`, testModel, rlbfakeengine.CrashMarker)
					for i := range resends {
						got := r.sendTo(i%gateways, "POST", "/v1/chat/completions", body)
						So(got.outcome, ShouldEqual, "failed")
						So(got.code, ShouldEqual, CodeCrashesEndpoints)
					}
					for range unrelated {
						assertComplete(<-replies)
					}
					So(r.liveEngines(), ShouldEqual, engines-2)
				})
			})
		})
	}
}

// TestPartThatCrashesEngines guards against different requests that share a message which
// crashes each engine that runs them.
func TestPartThatCrashesEngines(t *testing.T) {
	const engines, requests, mostCrashed = 16, 12, 5
	for _, gateways := range []int{1, 3} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			withGateways(t, gateways, engines, func(r *rig) {
				send := func(i int, shared string) reply {
					body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":["all share this",%q,"own %d"]}`, testModel, testTokens, shared, i)
					return r.sendTo(i%gateways, "POST", "/v1/chat/completions", body)
				}
				Convey("after a few crashes they are refused as not run, other requests are answered", t, func() {
					var last reply
					for i := range requests {
						last = send(i, rlbfakeengine.CrashMarker)
						assertComplete(send(i, "harmless"))
						time.Sleep(time.Second)
					}
					So(r.liveEngines(), ShouldBeGreaterThanOrEqualTo, engines-mostCrashed)
					So(last.outcome, ShouldEqual, "not-run")
					So(last.code, ShouldEqual, CodeCrashingPart)
				})
			})
		})
	}
}

// liveEngines returns how many engines accept connections.
func (r *rig) liveEngines() int {
	n := 0
	for i := range r.engines {
		if c, err := r.network.Dial(background, fmt.Sprintf("engine%d", i)); err == nil {
			_ = c.Close()
			n++
		}
	}
	return n
}

func TestShutdownCutsNothing(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		Convey("streams that are in flight when the drain begins are completed", t, func() {
			const streams = 20
			replies := make(chan reply, streams)
			for range streams {
				go func() { replies <- r.completion(testModel, true) }()
			}
			synctest.Wait()
			So(r.server.InFlight(), ShouldEqual, streams)
			r.server.Drain()
			for range streams {
				assertComplete(<-replies)
			}
			So(r.send("GET", "/ready", "").status, ShouldEqual, 503)
		})
	})
}

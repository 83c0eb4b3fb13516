package rlbcrash

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const service = "s"

var (
	bad    = Property{PromptPart, 1}
	first  = Property{PromptPart, 2} // part of every prompt
	rare   = Property{PromptPart, 3}
	whole  = Property{WholeRequest, 4}
	others = Property{PromptPart, 5}
)

// clock is a clock that a test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newEvidence() (*Evidence, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Opts{Instance: "i1", Now: c.now}), c
}

// crash records a crash of an endpoint that ran a request with the properties, a second
// after the crash before.
func crash(e *Evidence, c *clock, endpoint uint64, properties ...Property) {
	c.advance(time.Second)
	for _, p := range properties {
		e.RecordCrash(p, endpoint, endpoint, c.at)
	}
}

func shouldRefuse(e *Evidence, p Property, refused bool) {
	allowed, _, _ := e.Check(service, []Property{p})
	So(allowed, ShouldNotEqual, refused)
}

func TestCause(t *testing.T) {
	Convey("Given the evidence of an instance", t, func() {
		e, c := newEvidence()
		Convey("a part is refused from the third crash on, one that is answered in between is not", func() {
			for n := range uint64(3) {
				shouldRefuse(e, bad, false)
				crash(e, c, n, first, bad)
				e.RecordAnswer(service, []Property{first})
			}
			shouldRefuse(e, bad, true)
			shouldRefuse(e, first, false)
		})
		Convey("one crash seen for several requests counts once", func() {
			for range 5 {
				crash(e, c, 7, bad)
			}
			shouldRefuse(e, bad, false)
		})
		Convey("of a whole request that is sent on at once each attempt counts", func() {
			for n := range uint64(3) {
				shouldRefuse(e, whole, false)
				began := c.at
				c.advance(simultaneousCrashes / 10)
				e.RecordCrash(whole, n, n, began)
				e.RecordCrash(bad, n, n, began)
				c.advance(time.Millisecond)
			}
			shouldRefuse(e, whole, true)
			shouldRefuse(e, bad, false)
		})
		Convey("crashes that another part explains do not count", func() {
			for n := range uint64(3) {
				crash(e, c, n, bad, rare, whole)
			}
			crash(e, c, 9, bad)
			shouldRefuse(e, bad, true)
			shouldRefuse(e, rare, false)
			shouldRefuse(e, whole, false)
		})
		Convey("of two parts with the same crashes one that was never answered is the cause", func() {
			e.RecordAnswer(service, []Property{first})
			for n := range uint64(3) {
				crash(e, c, n, first, bad)
			}
			for range 2 * minOtherAnswers {
				e.RecordAnswer(service, []Property{others})
			}
			shouldRefuse(e, bad, true)
			shouldRefuse(e, first, false)
		})
		Convey("a part that was answered earlier is refused only if other requests are answered meanwhile", func() {
			e.RecordAnswer(service, []Property{bad})
			for n := range uint64(4) {
				crash(e, c, n, bad)
			}
			shouldRefuse(e, bad, false)
			for range minOtherAnswers {
				e.RecordAnswer("other service", []Property{others})
			}
			shouldRefuse(e, bad, false)
			for range minOtherAnswers {
				e.RecordAnswer(service, []Property{others})
			}
			shouldRefuse(e, bad, true)
		})
		Convey("after the refusals one request is tried, and its outcome decides", func() {
			for n := range uint64(3) {
				crash(e, c, n, bad)
			}
			_, cause, until := e.Check(service, []Property{first, bad})
			So(cause, ShouldResemble, bad)
			So(until, ShouldHappenOnOrBetween, c.now().Add(refusalTime), c.now().Add(2*refusalTime))
			c.at = until
			shouldRefuse(e, bad, false)
			shouldRefuse(e, bad, true)
			Convey("a crash doubles the time", func() {
				crash(e, c, 8, bad)
				_, _, until := e.Check(service, []Property{bad})
				So(until, ShouldHappenOnOrBetween, c.now().Add(2*refusalTime), c.now().Add(4*refusalTime))
			})
			Convey("an answer ends the refusals", func() {
				e.RecordAnswer(service, []Property{bad})
				shouldRefuse(e, bad, false)
				shouldRefuse(e, bad, false)
			})
		})
		Convey("each verdict is reported once as a change, and its withdrawal", func() {
			for n := range uint64(3) {
				crash(e, c, n, bad)
			}
			changes := e.TakeChanges()
			So(changes, ShouldHaveLength, 1)
			So(changes[0].Refused, ShouldBeTrue)
			So(e.Refused(), ShouldEqual, 1)
			So(e.TakeChanges(), ShouldBeEmpty)
			e.RecordAnswer(service, []Property{bad})
			So(e.TakeChanges(), ShouldResemble, []Change{{Property: bad, Crashes: 3}})
		})
	})
}

func TestExchange(t *testing.T) {
	Convey("Given the evidence of two instances", t, func() {
		e, c := newEvidence()
		other := New(Opts{Instance: "i2", Now: c.now})
		Convey("crashes that each saw in part lead to a refusal at both", func() {
			crash(e, c, 1, bad)
			crash(other, c, 2, bad)
			crash(e, c, 3, bad)
			other.Merge(e.Report())
			e.Merge(other.Report())
			shouldRefuse(e, bad, true)
			shouldRefuse(other, bad, true)
		})
		Convey("an answer at one instance refutes the crashes at both, also one before the crashes", func() {
			other.RecordAnswer(service, []Property{first})
			for n := range uint64(3) {
				crash(e, c, n, bad, first)
			}
			other.Merge(e.Report())
			e.Merge(other.Report())
			shouldRefuse(e, bad, true)
			shouldRefuse(e, first, false)
			other.RecordAnswer(service, []Property{bad})
			e.Merge(other.Report())
			shouldRefuse(e, bad, false)
		})
		Convey("single crashes are reported for a while, evidence against a cause until it is outdated", func() {
			for n := range uint64(3) {
				crash(e, c, n, bad)
			}
			crash(e, c, 9, rare)
			So(e.Report(), ShouldHaveLength, 2)
			c.advance(newsTime)
			So(e.Report(), ShouldHaveLength, 1)
			other.Merge(e.Report())
			shouldRefuse(other, bad, true)
			c.advance(recordTTL + time.Second)
			So(e.Report(), ShouldBeEmpty)
			shouldRefuse(e, bad, false)
		})
		Convey("a request that was cut twice is not reported for long, and a report is bounded", func() {
			crash(e, c, 1, whole)
			crash(e, c, 2, whole)
			for n := range uint64(2 * maxReported) {
				e.RecordCrash(Property{PromptPart, 100 + n}, 3, 3, c.at)
			}
			So(e.Report(), ShouldHaveLength, maxReported-1) // one record of two crashes, the others of one
			So(e.Report()[0].Property, ShouldResemble, whole)
			c.advance(newsTime)
			So(e.Report(), ShouldBeEmpty)
		})
		Convey("many requests that are cut do not displace the evidence against a cause", func() {
			for n := range uint64(3) {
				crash(e, c, n, bad)
			}
			for n := range uint64(3 * maxRecords) {
				e.RecordCrash(Property{WholeRequest, 100 + n}, n, n, c.at)
			}
			So(len(e.records), ShouldBeLessThanOrEqualTo, maxRecords)
			So(e.Report()[0].Property, ShouldResemble, bad)
			shouldRefuse(e, bad, true)
		})
	})
}

// TestEqualRequestsThatOneFailureCutsOffAreNotItsCause guards against sound requests that are
// refused for a minute: equal ones ran at an endpoint, or at several, that failed at one moment.
func TestEqualRequestsThatOneFailureCutsOffAreNotItsCause(t *testing.T) {
	Convey("Given equal requests that began one after the other", t, func() {
		e, c := newEvidence()
		var began []time.Time
		for range 5 {
			began = append(began, c.at)
			c.advance(time.Second)
		}
		attempt := uint64(0)
		cutOff := func(e *Evidence, endpoint func(n uint64) uint64) {
			for n, at := range began {
				attempt++
				e.RecordCrash(whole, attempt, endpoint(uint64(n)), at)
				c.advance(simultaneousCrashes / 20)
			}
		}
		for name, endpoint := range map[string]func(n uint64) uint64{
			"one endpoint":      func(uint64) uint64 { return 1 },
			"several endpoints": func(n uint64) uint64 { return n },
		} {
			Convey("the failure of "+name+" counts once, also at instances that hear of it", func() {
				cutOff(e, endpoint)
				shouldRefuse(e, whole, false)
				other := New(Opts{Instance: "i2", Now: c.now})
				other.Merge(e.Report())
				shouldRefuse(other, whole, false)
			})
			Convey("three failures of "+name+" count three times", func() {
				for range 3 {
					shouldRefuse(e, whole, false)
					cutOff(e, endpoint)
					began = []time.Time{c.at, c.at}
					c.advance(time.Second)
				}
				shouldRefuse(e, whole, true)
			})
		}
	})
}

func TestRecordsOfManyCrashesNeitherFlapNorDrift(t *testing.T) {
	Convey("Given three instances that saw more crashes than a record holds, each a part of them", t, func() {
		c := &clock{time.Unix(1000, 0)}
		var all []*Evidence
		for n := range 3 {
			all = append(all, New(Opts{Instance: strconv.Itoa(n), Now: c.now}))
		}
		for n := range uint64(3 * maxCrashes) {
			crash(all[n%3], c, n, bad)
		}
		last := c.now()
		Convey("messages that take time neither change their verdicts nor the times of crashes", func() {
			for range 200 {
				for n, e := range all {
					message := e.Report()
					c.advance(5 * time.Millisecond)
					for i := range message {
						for k := range message[i].Crashes {
							message[i].Crashes[k].At = message[i].Crashes[k].At.Add(5 * time.Millisecond)
						}
					}
					all[(n+1)%3].Merge(message)
				}
				for _, e := range all {
					shouldRefuse(e, bad, true)
				}
			}
			for _, e := range all {
				So(e.records[bad].lastCrash(), ShouldHappenOnOrBefore, last)
				So(e.records[bad].changedAt, ShouldHappenBefore, last.Add(time.Second))
			}
		})
	})
}

// TestMergeOrder draws records of three instances. Whatever the order in which messages
// arrive, and however often, all reach the same records after two exchanges.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{time.Unix(1000, 0)}
		var all []*Evidence
		for n := range 3 {
			all = append(all, New(Opts{Instance: strconv.Itoa(n), Now: c.now}))
		}
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			at := all[rapid.IntRange(0, 2).Draw(t, "instance")]
			c.advance(100 * time.Millisecond)
			p := Property{PromptPart, rapid.Uint64Range(1, 3).Draw(t, "part")}
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				at.RecordAnswer(service, []Property{p})
			} else {
				endpoint := rapid.Uint64Range(1, 5).Draw(t, "endpoint")
				at.RecordCrash(p, endpoint, endpoint, c.at)
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 2 { // an instance reports what it knows of a property once it has heard of it
			var messages [][]Record
			for _, e := range all {
				messages = append(messages, e.Report())
			}
			for _, e := range all {
				for _, n := range random.Perm(len(messages)) {
					e.Merge(messages[n])
					e.Merge(messages[random.IntN(len(messages))])
				}
			}
		}
		for _, e := range all[1:] {
			if got, want := summary(e), summary(all[0]); !slices.Equal(got, want) {
				t.Fatalf("records %v, want %v", got, want)
			}
		}
	})
}

// summary returns the records without the times of crashes, which instances may know
// differently.
func summary(e *Evidence) []string {
	var all []string
	for p, r := range e.records {
		text := strconv.FormatUint(p.ID, 10) + " answered " + strconv.FormatBool(r.Answered)
		var crashes []string
		for _, c := range r.Crashes {
			crashes = append(crashes, " "+strconv.FormatUint(c.ID, 10)+" refuted "+strconv.FormatBool(c.Refuted))
		}
		slices.Sort(crashes)
		for _, c := range crashes {
			text += c
		}
		all = append(all, text)
	}
	slices.Sort(all)
	return all
}

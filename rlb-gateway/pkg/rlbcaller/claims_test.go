package rlbcaller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	. "github.com/smartystreets/goconvey/convey"
)

var background = context.Background()

const keyHeader = "Idempotency-Key"

func (r *rig) postBook(key string) reply {
	return r.send("POST", "/book/part", `{"part":7}`, keyHeader, key)
}

func TestResends(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("after the answer, a resend gets the same answer without running again", t, func() {
			first := r.postBook("a")
			So(first.outcome, ShouldEqual, "answered")
			synctest.Wait()
			again := r.postBook("a")
			So(again.body, ShouldEqual, first.body)
			So(r.runs(), ShouldEqual, 1)
		})
		Convey("the same key with different content is refused", t, func() {
			got := r.send("POST", "/book/part", `{"part":8}`, keyHeader, "a")
			So(got.code, ShouldEqual, CodeKeyReused)
			So(got.outcome, ShouldEqual, "not-run")
			So(r.runs(), ShouldEqual, 1)
		})
		Convey("while the first run is in progress, a resend has outcome unknown", t, func() {
			So(r.services[0].Faults().Set(rlbfault.Plan{Next: []rlbfault.Fault{rlbfault.Late}, Delay: 5 * time.Second}), ShouldBeNil)
			first := make(chan reply)
			go func() { first <- r.postBook("b") }()
			synctest.Wait()
			got := r.postBook("b")
			So(got.outcome, ShouldEqual, "unknown")
			So(got.code, ShouldEqual, CodeInProgress)
			So((<-first).outcome, ShouldEqual, "answered")
			So(r.runs(), ShouldEqual, 2)
		})
		Convey("after a cut connection the outcome stays unknown, and a resend does not run", t, func() {
			So(r.services[0].Faults().Set(rlbfault.Plan{Next: []rlbfault.Fault{rlbfault.CutBefore}}), ShouldBeNil)
			So(r.postBook("c").outcome, ShouldEqual, "unknown")
			synctest.Wait()
			So(r.postBook("c").outcome, ShouldEqual, "unknown")
			So(r.runs(), ShouldEqual, 3)
		})
		Convey("a resend of a rejected request gets the same answer", t, func() {
			send := func() reply {
				return r.send("POST", "/v1/completions", `{"model":"reassign","max_tokens":"many"}`, keyHeader, "rejected")
			}
			first := send()
			So(first.status, ShouldEqual, 400)
			So(first.outcome, ShouldEqual, "failed")
			synctest.Wait()
			again := send()
			So(again.status, ShouldEqual, 400)
			So(again.outcome, ShouldEqual, "failed")
			So(again.body, ShouldEqual, first.body)
		})
		Convey("a refused request releases its key", t, func() {
			So(r.services[0].Faults().Set(rlbfault.Plan{Next: []rlbfault.Fault{rlbfault.Refuse}}), ShouldBeNil)
			So(r.postBook("d").outcome, ShouldEqual, "not-run")
			synctest.Wait()
			So(r.postBook("d").outcome, ShouldEqual, "answered")
			So(r.runs(), ShouldEqual, 4)
		})
		Convey("if the answer to the claim is lost, the outcome is not-run, and a resend runs once", t, func() {
			r.claims.setFaults(false, 1)
			So(r.postBook("e").outcome, ShouldEqual, "not-run")
			synctest.Wait()
			So(r.postBook("e").outcome, ShouldEqual, "answered")
			So(r.runs(), ShouldEqual, 5)
		})
		Convey("while claims are unavailable, the outcome is not-run; idempotent requests are not affected", t, func() {
			r.claims.setFaults(true, 0)
			got := r.postBook("f")
			So(got.code, ShouldEqual, CodeClaimsUnavailable)
			So(got.outcome, ShouldEqual, "not-run")
			So(r.send("GET", "/book/part", "").outcome, ShouldEqual, "answered")
			assertComplete(r.completion(testModel, true))
			r.claims.setFaults(false, 0)
		})
		Convey("a time-stamped key older than the retention time is refused without a run", t, func() {
			id, err := uuid.NewV7()
			So(err, ShouldBeNil)
			time.Sleep(7 * time.Hour)
			runs := r.runs()
			So(r.postBook(id.String()).code, ShouldEqual, CodeKeyExpired)
			So(r.runs(), ShouldEqual, runs)
		})
	})
}

// serviceFaults lists the outcomes for callers of plain services. An empty want stands
// for answered.
var serviceFaults = []faultCase{
	{rlbfault.Refuse, false, "", 1}, {rlbfault.Refuse, true, "not-run", 0},
	{rlbfault.Fail, false, "", 2}, {rlbfault.Fail, true, "failed", 1},
	{rlbfault.CutBefore, false, "", 2}, {rlbfault.CutBefore, true, "unknown", 1},
	{rlbfault.CutMid, false, "", 2}, {rlbfault.CutMid, true, "unknown", 1},
	{rlbfault.WrongSize, false, "", 2}, {rlbfault.WrongSize, true, "unknown", 1},
	{rlbfault.Silent, false, "", 2}, {rlbfault.Silent, true, "unknown", 1},
	{rlbfault.Misdelivered, false, "", 2}, {rlbfault.Misdelivered, true, "unknown", 1},
}

func TestServiceFaults(t *testing.T) {
	for _, c := range serviceFaults {
		t.Run(string(c.fault), func(t *testing.T) { checkServiceFault(t, c) })
	}
}

func checkServiceFault(t *testing.T, c faultCase) {
	withRig(t, 0, func(r *rig) {
		Convey("the caller gets the outcome in the table", t, func() {
			shared := &rlbfault.Injector{}
			So(shared.Set(rlbfault.Plan{Next: []rlbfault.Fault{c.fault}}), ShouldBeNil)
			for _, s := range r.services {
				s.ShareFaults(shared)
			}
			path := "/list/all"
			if c.nonIdempotent {
				path = "/book/part"
			}
			got := r.send("POST", path, "{}")
			want := c.want
			if want == "" {
				want = "answered"
			}
			So(got.outcome, ShouldEqual, want)
			So(r.runs(), ShouldEqual, c.runs)
		})
	})
}

func TestClaimDeadline(t *testing.T) {
	Convey("a claim is kept longer than its request may run", t, func() {
		now := time.Unix(1_000_000, 0)
		short := &call{arrived: now, deadline: now.Add(time.Minute)}
		long := &call{arrived: now, deadline: now.Add(12 * time.Hour)}
		So(claimDeadline(short, 6*time.Hour), ShouldEqual, now.Add(6*time.Hour+maxClockSkew))
		So(claimDeadline(long, 6*time.Hour), ShouldEqual, now.Add(12*time.Hour+maxClockSkew))
	})
}

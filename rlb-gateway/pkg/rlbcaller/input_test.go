package rlbcaller

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfault"
	. "github.com/smartystreets/goconvey/convey"
)

// badRequests are refused before anything runs, with exactly this error.
var badRequests = []struct {
	name, path, body string
	header           []string
	status           int
	code             Code
	message          string
}{
	{"malformed JSON", "/v1/chat/completions", `{"model":`, nil, 400, CodeInvalidRequest, "Correct the request: the body is not JSON: unexpected end of JSON input."},
	{"no model", "/v1/chat/completions", `{}`, nil, 400, CodeInvalidRequest, `Correct the request: "model" is missing.`},
	{"unknown model", "/v1/completions", `{"model":"nope"}`, nil, 404, CodeUnknownModel, "Model or adapter nope is not in force; GET /v1/models lists what is."},
	{"body too large", "/v1/completions", strings.Repeat(" ", 1<<20+1), nil, 413, CodeBodyTooLarge, "Send a body of at most 1MiB."},
	{"wrong timeout", "/v1/completions", `{"model":"draft"}`, []string{HeaderTimeout, "5"}, 400, CodeInvalidRequest, "Correct the request: X-Request-Timeout is not a duration such as 2.5s."},
	{"key too long", "/book/x", ``, []string{keyHeader, strings.Repeat("k", 256)}, 400, CodeInvalidRequest, "Correct the request: the idempotency key is longer than 255 bytes."},
	{"unknown path", "/nowhere", ``, nil, 404, CodeUnknownPath, "No plain service has a prefix of this path."},
	{"encoded slash in place of that of a prefix", "/list%2Fx", ``, nil, 404, CodeUnknownPath, "No plain service has a prefix of this path."},
}

func TestBadRequests(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		for _, c := range badRequests {
			Convey(c.name, t, func() {
				got := r.send("POST", c.path, c.body, c.header...)
				So(got.status, ShouldEqual, c.status)
				So(got.outcome, ShouldEqual, "not-run")
				var document errorDocument
				So(json.Unmarshal([]byte(got.body), &document), ShouldBeNil)
				So(document.Error.Code, ShouldEqual, c.code)
				So(document.Error.Message, ShouldEqual, c.message)
				So(document.Error.RequestID, ShouldEqual, got.id)
			})
		}
		Convey("header larger than the limit", t, func() {
			got := r.send("POST", "/v1/completions", `{}`, "X-Long", strings.Repeat("x", 64<<10))
			So(got.status, ShouldEqual, 431)
		})
		Convey("none of these requests ran", t, func() { So(r.started()+r.runs(), ShouldEqual, 0) })
	})
}

func TestDeadlines(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("a slow request ends at the caller's deadline, with outcome unknown", t, func() {
			So(r.engines[0].Faults().Set(rlbfault.Plan{Next: []rlbfault.Fault{rlbfault.Late}, Delay: time.Hour}), ShouldBeNil)
			began := time.Now()
			got := r.completion(testModel, false, HeaderTimeout, "700ms")
			So(got.outcome, ShouldEqual, "unknown")
			So(got.code, ShouldEqual, CodeDeadline)
			So(time.Since(began), ShouldEqual, 700*time.Millisecond)
		})
	})
}

func TestModelsAndHealth(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("models lists the note in force; readiness requires one, health does not", t, func() {
			var list modelList
			So(json.Unmarshal([]byte(r.send("GET", "/v1/models", "").body), &list), ShouldBeNil)
			So(list.NoteVersion, ShouldEqual, 1)
			So(list.Data, ShouldHaveLength, 2)
			So(list.Data[0], ShouldResemble, modelEntry{testModel, "model", testVersion, "", true})
			So(r.send("GET", "/ready", "").status, ShouldEqual, 200)
			So(r.send("GET", "/health", "").status, ShouldEqual, 200)
			So(r.send("GET", "/metrics", "").status, ShouldEqual, 200)
			So(r.send("GET", "/operator/status", "").status, ShouldEqual, 404)
		})
	})
}

func TestLeavingEndpoint(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		Convey("an endpoint that reports draining gets no new requests, even while still listed", t, func() {
			running := make(chan reply)
			go func() { running <- r.completion(testModel, true) }()
			synctest.Wait()
			for i := range r.update.Engines {
				r.update.Engines[i].Sequence++
			}
			r.update.Engines[0].Draining = true
			r.fleet.ApplyUpdate(r.update)
			before := len(r.engines[0].Record().Runs)
			for range 10 {
				assertComplete(r.completion(testModel, true))
			}
			assertComplete(<-running)
			So(len(r.engines[0].Record().Runs), ShouldEqual, before)
		})
	})
}

func TestChangedVersion(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		Convey("the old version serves until the new one is ready, and a running stream completes", t, func() {
			running := make(chan reply)
			go func() { running <- r.completion(testModel, true) }()
			synctest.Wait()
			note := *r.update.Note
			note.Version++
			changed := note.Models[testModel]
			changed.Version = "v2"
			note.Models[testModel] = changed
			r.update.Note = &note
			r.fleet.ApplyUpdate(r.update)
			assertComplete(<-running)
			assertComplete(r.completion(testModel, true))
			So(r.fleet.Routes().Note().Version, ShouldEqual, 2)
		})
	})
}

func FuzzCompletion(f *testing.F) {
	for _, c := range badRequests {
		f.Add([]byte(c.body))
	}
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		in, refusal := parseCompletion(body)
		if refusal == nil && in.Model == "" {
			t.Fatal("accepted without a model")
		}
		_ = in.prefix() // must not panic
	})
}

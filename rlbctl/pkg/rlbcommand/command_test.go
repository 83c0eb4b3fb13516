package rlbcommand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeController serves the operator API of a controller: it answers every call
// with the given status and answer and records the last call.
type fakeController struct {
	status  int
	answer  any
	request string // method, path and body of the last call
	noteID  string // X-Note-Id of the last call
}

// ServeHTTP implements http.Handler.
func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.noteID = r.Header.Get(rlboperator.HeaderNoteID)
	c.request = r.Method + " " + r.URL.RequestURI() + " " + string(body)
	w.WriteHeader(c.status)
	_ = json.NewEncoder(w).Encode(c.answer)
}

// run executes a command against controller and returns its output.
func run(controller *fakeController, args ...string) (code ExitCode, out, errOut string) {
	server := httptest.NewServer(controller)
	defer server.Close()
	var o, e bytes.Buffer
	args = append(args, "--set", "ctl.controllers=127.0.0.1:1,"+strings.TrimPrefix(server.URL, "http://"))
	code = Execute(args, &o, &e)
	return code, o.String(), e.String()
}

func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "note.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const note = "id: n1\nbase: 3\nadd:\n  models:\n    - {name: a, version: v1}\n"

func TestNote(t *testing.T) {
	path := writeTempFile(t, note)
	stale := rlboperator.Rejection{Problem: "the note builds on version 3, but 4 is in force", Kind: rlboperator.KindStale, Current: 4,
		Since: []rlboperator.HistoryEntry{{Version: 4, Note: rlbnote.Note{ID: "other", Withdraw: rlbnote.Names{Models: []string{"b"}}}}}}
	cases := []struct {
		name       string
		args       []string
		controller *fakeController
		code       ExitCode
		sent       string
		out        string // expected part of the output
		errOut     string
	}{
		{"publish", []string{"note", "publish", path}, &fakeController{status: 200, answer: rlboperator.PublishResult{Version: 4, ID: "n1"}}, ExitOK, "POST /operator/note " + note, "version 4 accepted, note n1", ""},
		{"publish as JSON", []string{"note", "publish", path, "-o", "json"}, &fakeController{status: 200, answer: rlboperator.PublishResult{Version: 4, ID: "n1"}}, ExitOK, "POST /operator/note " + note, `"version": 4`, ""},
		{"stale base", []string{"note", "publish", path}, &fakeController{status: 409, answer: stale}, ExitConflict, "POST /operator/note " + note, "version 4, note other", "stale: the note builds on version 3"},
		{"stale base as JSON", []string{"note", "publish", path, "-o", "json"}, &fakeController{status: 409, answer: stale}, ExitConflict, "POST /operator/note " + note, `"current": 4`, ""},
		{"infeasible", []string{"note", "publish", path}, &fakeController{status: 422, answer: rlboperator.Rejection{Problem: "too big", Kind: rlboperator.KindInfeasible}}, ExitInfeasible, "POST /operator/note " + note, "", "infeasible: too big"},
		{"outcome unknown", []string{"note", "publish", path}, &fakeController{status: 504, answer: rlboperator.Rejection{Problem: "may have been", Kind: rlboperator.KindUnknown}}, ExitUnknown, "POST /operator/note " + note, "", "unsure"},
		{"validate", []string{"note", "validate", path}, &fakeController{status: 200, answer: rlboperator.ValidateResult{Base: 3}}, ExitOK, "POST /operator/note/validate " + note, "is valid on version 3", ""},
		{"diff", []string{"note", "diff", path}, &fakeController{status: 200, answer: rlboperator.ValidateResult{Differences: []rlbnote.Difference{{Item: "model", Name: "a", Action: "added", To: "v1"}}}}, ExitOK, "POST /operator/note/validate " + note, "added     model    a  -> v1", ""},
		{"show", []string{"note", "show"}, &fakeController{status: 200, answer: rlbnote.State{Version: 7, Models: map[string]rlbnote.Model{"a": {Name: "a", Version: "v1"}}}}, ExitOK, "GET /operator/note ", "version 7", ""},
		{"history", []string{"note", "history", "-n", "5"}, &fakeController{status: 200, answer: []rlboperator.HistoryEntry{{Version: 7, Published: time.Unix(0, 0).UTC(), Note: rlbnote.Note{ID: "x"}}}}, ExitOK, "GET /operator/note/history?n=5 ", "1970-01-01T00:00:00Z  x", ""},
		{"status", []string{"status"}, &fakeController{status: 200, answer: rlboperator.Status{Instance: "i", NoteVersion: 7, InForce: true, Gateways: 3}}, ExitOK, "GET /operator/status ", "in force everywhere: 3 gateways, as seen by i", ""},
		{"explain", []string{"explain", "draft"}, &fakeController{status: 200, answer: []rlboperator.Event{{Subject: "model/draft", Text: "load"}}}, ExitOK, "GET /operator/explain?about=draft ", "model/draft", ""},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			code, out, errOut := run(c.controller, c.args...)
			So(code, ShouldEqual, c.code)
			So(c.controller.request, ShouldEqual, c.sent)
			So(out, ShouldContainSubstring, c.out)
			So(errOut, ShouldContainSubstring, c.errOut)
		})
	}
}

func TestOffline(t *testing.T) {
	Convey("an invalid note is refused without a call", t, func() {
		path := writeTempFile(t, "base: 0\nadd:\n  modles: []\n")
		c := &fakeController{}
		code, _, errOut := run(c, "note", "publish", path)
		So(code, ShouldEqual, ExitInvalid)
		So(errOut, ShouldContainSubstring, path+`:3:3: unknown key "modles"; the nearest known one is "models"`)
		So(c.request, ShouldBeBlank)
	})
	Convey("validate --offline makes no call", t, func() {
		c := &fakeController{}
		code, out, _ := run(c, "note", "validate", "--offline", writeTempFile(t, note))
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "is well-formed")
		So(c.request, ShouldBeBlank)
	})
	Convey("a note in JSON without an ID is sent unchanged, with an ID in the header", t, func() {
		text := `{"base": 0, "add": {"models": [{"name": "a", "version": "v1"}]}}`
		c := &fakeController{status: 200, answer: rlboperator.PublishResult{Version: 1}}
		code, _, _ := run(c, "note", "publish", writeTempFile(t, text))
		So(code, ShouldEqual, ExitOK)
		So(c.request, ShouldEqual, "POST /operator/note "+text)
		So(c.noteID, ShouldHaveLength, 36)
	})
	Convey("without a reachable controller the note is not accepted", t, func() {
		var out, errOut bytes.Buffer
		code := Execute([]string{"note", "publish", writeTempFile(t, note), "--set", "ctl.controllers=127.0.0.1:1"}, &out, &errOut)
		So(code, ShouldEqual, ExitUnavailable)
	})
	Convey("settings check reports line and column", t, func() {
		code, _, errOut := run(&fakeController{}, "settings", "check", writeTempFile(t, "[gateway]\ndeadline = 5 sec\n"))
		So(code, ShouldEqual, ExitInvalid)
		So(errOut, ShouldContainSubstring, ":2:1: [gateway] deadline:")
	})
	Convey("settings show prints text and JSON", t, func() {
		code, out, _ := run(&fakeController{}, "settings", "show", "--program", "rlbctl")
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "[ctl]\n")
		code, out, _ = run(&fakeController{}, "settings", "show", "--program", "rlbctl", "-o", "json")
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, `"key": "controllers"`)
	})
	Convey("completion writes a shell script", t, func() {
		code, out, _ := run(&fakeController{}, "completion", "bash")
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "rlbctl")
	})
	Convey("a missing argument is a usage error", t, func() {
		code, _, _ := run(&fakeController{}, "note", "publish")
		So(code, ShouldEqual, ExitUsage)
	})
}

func TestSnapshot(t *testing.T) {
	m := rlbnote.Model{Name: "a", Version: "v1", Memory: 6}
	snapshot := rlboperator.Snapshot{
		Instance: "c0", Leases: map[string]string{"x": "c0"},
		Input: rlbplacement.Input{Note: rlbnote.State{Version: 1, Models: map[string]rlbnote.Model{"a": m}}, Engines: []rlbplacement.Engine{{ID: "e0", Memory: 10}}},
		Opts:  rlbplacement.Opts{Slots: 32, LoadsAtOnce: 8, Replicas: 1},
	}
	snapshot.Plan = rlbplacement.Plan(snapshot.Input, snapshot.Opts)
	first, second := filepath.Join(t.TempDir(), "first"), filepath.Join(t.TempDir(), "second")
	Convey("a saved snapshot can be shown and replays to the recorded plan", t, func() {
		code, out, _ := run(&fakeController{status: 200, answer: snapshot}, "snapshot", "save", first)
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldStartWith, "saved the state of c0")
		code, out, _ = run(&fakeController{}, "snapshot", "show", first)
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "load a@v1 on e0: no replica")
		code, out, _ = run(&fakeController{}, "replay", first)
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "1 proposals, equal to the record: true")
	})
	Convey("a snapshot that replays to another plan is an error, and its changes are shown", t, func() {
		changed := snapshot
		changed.Plan = nil
		changed.Leases = map[string]string{"x": "c1"}
		code, _, _ := run(&fakeController{status: 200, answer: changed}, "snapshot", "save", second)
		So(code, ShouldEqual, ExitOK)
		code, _, _ = run(&fakeController{}, "replay", second)
		So(code, ShouldEqual, ExitInvalid)
		code, out, _ := run(&fakeController{}, "snapshot", "diff", first, second)
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldEqual, "lease x: c0 -> c1\n")
	})
}

func TestBurn(t *testing.T) {
	reports := []rlbburn.Report{{Model: "a", Windows: map[string]rlbburn.Count{
		"5m0s": {Good: 5, Late: 5}, "1h0m0s": {Good: 50, Late: 50}, "30m0s": {Good: 25, Late: 25}, "6h0m0s": {Good: 50, Late: 50},
	}}}
	Convey("burn prints the remaining budget, the cause and the alert, and writes a page", t, func() {
		page := filepath.Join(t.TempDir(), "burn.html")
		code, out, _ := run(&fakeController{status: 200, answer: reports}, "burn", "--html", page)
		So(code, ShouldEqual, ExitOK)
		So(out, ShouldContainSubstring, "-900.0% late     6x over 1h0m0s")
		written, err := os.ReadFile(page)
		So(err, ShouldBeNil)
		So(string(written), ShouldContainSubstring, "<td>50.00%<td>10.00")
	})
}

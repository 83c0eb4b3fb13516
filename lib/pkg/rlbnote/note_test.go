package rlbnote

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// badNotes are invalid notes with their expected problem.
var badNotes = []struct{ name, text, problem string }{
	{"unknown key", "base: 0\nad:\n  models: []\n", `n.yaml:2:1: unknown key "ad"; the nearest known one is "add"`},
	{"missing base", "id: x\n", `n.yaml:1:1: missing key "base"`},
	{"negative base", "base: -1\n", `n.yaml:1:7: "-1" is not a whole number from 0`},
	{"duplicate key", "base: 0\nbase: 1\n", `n.yaml:2:1: key "base" stands twice`},
	{"no version", "base: 0\nadd:\n  models:\n    - name: a\n", `n.yaml:4:7: missing key "version"`},
	{"wrong class", "base: 0\nadd: {models: [{name: a, version: v, class: fast}]}\n", `n.yaml:2:45: class "fast" is neither interactive nor batch`},
	{"wrong unit", "base: 0\nadd: {models: [{name: a, version: v, first_token: 340}]}\n", `n.yaml:2:51: "340" is not a duration, such as 340ms`},
	{"space in a name", "base: 0\nadd: {models: [{name: a b, version: v}]}\n", `n.yaml:2:23: "a b" must not hold spaces, quotes, backslashes or @`},
	{"prefix without end", "base: 0\nadd: {services: [{name: s, prefix: /s}]}\n", `n.yaml:2:36: prefix "/s" must begin and end with / and name a path, such as /stock/`},
	{"prefix of models", "base: 0\nadd: {services: [{name: s, prefix: /v1/x/}]}\n", `n.yaml:2:36: prefix "/v1/x/" belongs to the model interface`},
	{"wrong method", "base: 0\nadd: {services: [{name: s, prefix: /s/, idempotent: [get]}]}\n", `n.yaml:2:54: "get" is not a method in capitals, such as GET`},
	{"list for mapping", "base: 0\nadd: []\n", `n.yaml:2:6: expected a mapping of keys to values`},
	{"empty", "", `n.yaml:1:1: the note is empty`},
}

// assertProblem checks the kind and the end of the text of an error.
func assertProblem(err error, kind Kind, text string) {
	So(err, ShouldNotBeNil)
	So(Is(err, kind), ShouldBeTrue)
	So(err.Error(), ShouldEndWith, text)
}

func TestBadNotes(t *testing.T) {
	for _, c := range badNotes {
		Convey(c.name, t, func() {
			_, err := Parse("n.yaml", []byte(c.text))
			assertProblem(err, KindSyntax, c.problem)
		})
	}
	Convey("malformed JSON", t, func() {
		_, err := Parse("n.json", []byte("{\"base\": 0,\n \"add\": {"))
		assertProblem(err, KindSyntax, "n.json: yaml: line 2: did not find expected node content")
	})
	Convey("more than 1 MiB", t, func() {
		_, err := Parse("n.yaml", []byte("base: 0 #"+strings.Repeat("x", int(MaxBytes))))
		assertProblem(err, KindTooLarge, "n.yaml: 1048585 bytes, more than 1MiB")
	})
}

const firstNote = `{"id": "first", "base": 0, "add": {"models": [{"name": "a", "version": "v1"}, {"name": "b", "version": "v1"}],
	"adapters": [{"name": "a-x", "model": "a", "version": "v1"}]}}`

func applyText(s State, text string) (State, error) {
	note, err := Parse("n", []byte(text))
	So(err, ShouldBeNil)
	return s.Apply(note, time.Unix(0, 0))
}

func TestApply(t *testing.T) {
	Convey("Given the state after a first note", t, func() {
		one, err := applyText(State{}, firstNote)
		So(err, ShouldBeNil)
		So(one.Version, ShouldEqual, 1)
		Convey("a second note returns a new state and does not change the first one", func() {
			two, err := applyText(one, "{id: second, base: 1, change: {models: [{name: a, version: v2}]}, withdraw: {models: [b]}}")
			So(err, ShouldBeNil)
			So(two.Models["a"].Version, ShouldEqual, "v2")
			So(one.Models["a"].Version, ShouldEqual, "v1")
			So(Diff(one, two), ShouldResemble, []Difference{{"model", "a", "changed", "v1", "v2"}, {"model", "b", "withdrawn", "v1", ""}})
			record, found := two.Accepted("first")
			So(found, ShouldBeTrue)
			So(record.Version, ShouldEqual, 1)
		})
		Convey("a note on an older base is stale", func() {
			_, err := applyText(one, "{id: late, base: 0}")
			assertProblem(err, KindStale, "the note builds on version 0, but 1 is in force")
		})
		for text, problem := range map[string]string{
			"{id: x, base: 1, add: {models: [{name: a, version: v}]}}":                             "model a is added but already in force; list it under change",
			"{id: x, base: 1, change: {models: [{name: c, version: v}]}}":                          "model c is changed but not in force; list it under add",
			"{id: x, base: 1, withdraw: {models: [a]}}":                                            "adapter a-x needs model a, which is not in force",
			"{id: x, base: 1, withdraw: {adapters: [zz]}}":                                         "adapter zz is withdrawn but not in force",
			"{id: x, base: 1, withdraw: {models: [b]}, change: {models: [{name: b, version: v}]}}": "model b stands twice in the note",
			"{id: x, base: 1, add: {adapters: [{name: b, model: a, version: v}]}}":                 "adapter b has the name of a model",
			"{id: x, base: 1, add: {services: [{name: s, prefix: /s/}, {name: r, prefix: /s/}]}}":  "services r and s have the same prefix /s/",
			"{base: 1}": "the note has no id",
		} {
			Convey(problem, func() {
				_, err := applyText(one, text)
				assertProblem(err, KindInvalid, problem)
			})
		}
	})
}

func TestResolve(t *testing.T) {
	Convey("a name is resolved to a model or an adapter", t, func() {
		s, err := applyText(State{}, firstNote)
		So(err, ShouldBeNil)
		m, a, found := s.Resolve("a-x")
		So(found, ShouldBeTrue)
		So(m.Name, ShouldEqual, "a")
		So(a.Name, ShouldEqual, "a-x")
		_, _, found = s.Resolve("c")
		So(found, ShouldBeFalse)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	for _, c := range badNotes {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		note, err := Parse("n", text)
		if err == nil {
			_, _ = State{}.Apply(note, time.Unix(0, 0)) // must not panic
		}
	})
}

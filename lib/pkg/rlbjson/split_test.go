package rlbjson

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// deep is nested more deeply than encoding/json accepts.
var deep = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

func texts(all []json.RawMessage) (out []string) {
	for _, raw := range all {
		out = append(out, string(raw))
	}
	return out
}

func TestElements(t *testing.T) {
	for document, want := range map[string][]string{
		`[]`:                          nil,
		` [ 1 , "a,]" , {"b":[2]} ] `: {`1`, `"a,]"`, `{"b":[2]}`},
		`["\"",null]`:                 {`"\""`, `null`},
		`[` + deep + `,1]`:            {deep, `1`},
	} {
		Convey("Elements are separated", t, func() {
			got, err := Elements([]byte(document))
			So(err, ShouldBeNil)
			So(texts(got), ShouldResemble, want)
		})
	}
	for _, document := range []string{``, `{}`, `1`, `[`, `[1`, `[1,`, `[,1]`, `[1 2]`, `["a]`, `[[1]`, `[1]]`, `[1]x`, `["\`} {
		Convey("A malformed array is an error: "+document, t, func() {
			_, err := Elements([]byte(document))
			So(err, ShouldNotBeNil)
		})
	}
}

func TestMembers(t *testing.T) {
	Convey("Members are separated, also beside one that is nested too deeply", t, func() {
		got, err := Members([]byte(` {"a":1, "b" : ` + deep + `,"c":"}","a":2}`))
		So(err, ShouldBeNil)
		So(got, ShouldResemble, map[string]json.RawMessage{"a": json.RawMessage("2"), "b": json.RawMessage(deep), "c": json.RawMessage(`"}"`)})
	})
	for _, document := range []string{``, `[]`, `{`, `{"a"}`, `{"a":}`, `{"a":1`, `{1:2}`, `{"a":1 "b":2}`, `{"a":1}}`, `{"a":1,}`, `null`} {
		Convey("A malformed object is an error: "+document, t, func() {
			_, err := Members([]byte(document))
			So(err, ShouldNotBeNil)
		})
	}
}

// FuzzSplit checks that a document that encoding/json accepts is split as it decodes it.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[]}]`, `{"a":{"b":"\"}"},"c":null}`, `[[[`, `{"a":"\u00e9"}`, deep} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		elements, err := Elements(document)
		var wantElements []json.RawMessage
		if json.Unmarshal(document, &wantElements) == nil && wantElements != nil {
			if err != nil || strings.Join(texts(elements), "\n") != strings.Join(texts(wantElements), "\n") {
				t.Errorf("split into %q, %v; want %q", elements, err, wantElements)
			}
		}
		members, err := Members(document)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(document, &wantMembers) != nil || wantMembers == nil {
			return
		}
		if err != nil || len(members) != len(wantMembers) {
			t.Fatalf("split into %q, %v; want %q", members, err, wantMembers)
		}
		for name, want := range wantMembers {
			if string(members[name]) != string(want) {
				t.Errorf("member %q is %q, want %q", name, members[name], want)
			}
		}
	})
}

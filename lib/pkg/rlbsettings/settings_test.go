package rlbsettings

import (
	"bytes"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// badFiles are invalid settings files, each with the expected problem.
var badFiles = []struct{ name, text, problem string }{
	{"wrong unit", "[gateway]\nlisten = 127.0.0.1:1\ndeadline = 5 sec\n",
		`s.ini:3:1: [gateway] deadline: "5 sec" is not a duration with a known unit; write ns, us, ms, s, m or h, such as 500ms`},
	{"no unit", "[gateway]\nmax_body = 1000\n",
		`s.ini:2:1: [gateway] max_body: "1000" has no known unit; write B, KiB, MiB or GiB, such as 64KiB`},
	{"unknown key", "[gateway]\n  lisen = 127.0.0.1:1\n",
		`s.ini:2:3: [gateway] unknown key lisen; the closest known key is listen in [gateway]`},
	{"unknown section", "[gatewy]\nlisten = 127.0.0.1:1\n",
		`s.ini:2:1: [gatewy] unknown key listen; the closest known key is listen in [gateway]`},
	{"below the minimum", "[controller]\nlease_ttl = 1ms\n",
		`s.ini:2:1: [controller] lease_ttl: 1ms is below the minimum 500ms`},
	{"above the maximum", "[gateway]\nmax_attempts = 99\n",
		`s.ini:2:1: [gateway] max_attempts: 99 is above the maximum 16`},
	{"host name instead of an IP address", "[gateway]\nlisten = localhost:80\n",
		`s.ini:2:1: [gateway] listen: "localhost:80" is not an IP address with a port, such as 127.0.0.1:7000`},
	{"invalid boolean", "[standin]\nfencing = yes\n",
		`s.ini:2:1: [standin] fencing: "yes" must be true or false`},
}

func TestBadSettings(t *testing.T) {
	for _, c := range badFiles {
		Convey(c.name, t, func() {
			_, err := Parse("s.ini", []byte(c.text), ForGateway)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, "check settings: invalid settings: "+c.problem)
		})
	}
	Convey("a malformed line is a syntax error", t, func() {
		_, err := Parse("s.ini", []byte("[gateway\n"), ForGateway)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, "parse settings: syntax error: s.ini: ")
	})
}

func TestGoodSettings(t *testing.T) {
	Convey("values, defaults and overrides", t, func() {
		s, err := Parse("s.ini", []byte("[gateway]\ndeadline = 5s\ncontrollers = 127.0.0.1:1, 127.0.0.1:2\n"), ForGateway)
		So(err, ShouldBeNil)
		So(s.Duration(GatewayDeadline), ShouldEqual, 5*time.Second)
		So(s.Duration(GatewayConnectTimeout), ShouldEqual, 500*time.Millisecond)
		So(s.List(GatewayControllers), ShouldResemble, []string{"127.0.0.1:1", "127.0.0.1:2"})
		So(s.Override("gateway.deadline=7s"), ShouldBeNil)
		So(s.Duration(GatewayDeadline), ShouldEqual, 7*time.Second)
		So(s.Override("gateway.deadline"), ShouldNotBeNil)
	})
	Convey("the output of Show parses to the same values", t, func() {
		s, err := Parse("s.ini", []byte("[gateway]\ndeadline = 5s\n"), ForGateway)
		So(err, ShouldBeNil)
		var shown bytes.Buffer
		So(s.Show(&shown), ShouldBeNil)
		back, err := Parse("shown", shown.Bytes(), ForGateway)
		So(err, ShouldBeNil)
		So(back.Duration(GatewayDeadline), ShouldEqual, 5*time.Second)
	})
	Convey("every default is valid for its key", t, func() {
		for _, key := range Keys {
			if key.Default != "" {
				So(key.check(key.Default), ShouldBeNil)
			}
		}
	})
	Convey("docs/SETTINGS.md matches the table of keys", t, func() {
		var page bytes.Buffer
		So(WritePage(&page), ShouldBeNil)
		committed, err := os.ReadFile("../../../docs/SETTINGS.md")
		So(err, ShouldBeNil)
		So(string(committed), ShouldEqual, page.String())
	})
}

func FuzzParse(f *testing.F) {
	for _, c := range badFiles {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		s, err := Parse("f", text, ForGateway)
		if err == nil {
			for _, key := range Keys {
				_ = s.Text(key) // must not panic
			}
		}
	})
}

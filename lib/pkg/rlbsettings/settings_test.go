package rlbsettings

import (
	"bytes"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// badFiles are settings that are refused, with the problem that is told.
var badFiles = []struct{ name, text, problem string }{
	{"wrong unit", "[gateway]\nlisten = 127.0.0.1:1\ndeadline = 5 sec\n",
		`s.ini:3:1: [gateway] deadline: "5 sec" is not a duration with a known unit; write ns, us, ms, s, m or h, such as 500ms`},
	{"no unit", "[gateway]\nmax_body = 1000\n",
		`s.ini:2:1: [gateway] max_body: "1000" has no known unit; write B, KiB, MiB or GiB, such as 64KiB`},
	{"unknown key", "[gateway]\n  lisen = 127.0.0.1:1\n",
		`s.ini:2:3: [gateway] unknown key lisen; the nearest known one is listen in [gateway]`},
	{"unknown section", "[gatewy]\nlisten = 127.0.0.1:1\n",
		`s.ini:2:1: [gatewy] unknown key listen; the nearest known one is listen in [gateway]`},
	{"below the least", "[controller]\nlease_ttl = 1ms\n",
		`s.ini:2:1: [controller] lease_ttl: 1ms is below the least value 500ms`},
	{"above the greatest", "[gateway]\nmax_attempts = 99\n",
		`s.ini:2:1: [gateway] max_attempts: 99 is above the greatest value 16`},
	{"a name for an address", "[gateway]\nlisten = localhost:80\n",
		`s.ini:2:1: [gateway] listen: "localhost:80" is not an IP address with a port, such as 127.0.0.1:7000`},
	{"not a truth value", "[standin]\nfencing = yes\n",
		`s.ini:2:1: [standin] fencing: "yes" is neither true nor false`},
}

func TestBadSettings(t *testing.T) {
	for _, c := range badFiles {
		Convey(c.name, t, func() {
			_, err := Parse("s.ini", []byte(c.text), ForGateway)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, "check settings: invalid settings: "+c.problem)
		})
	}
	Convey("a line that is no setting", t, func() {
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
	Convey("what is shown is read back as it was", t, func() {
		s, err := Parse("s.ini", []byte("[gateway]\ndeadline = 5s\n"), ForGateway)
		So(err, ShouldBeNil)
		var shown bytes.Buffer
		So(s.Show(&shown), ShouldBeNil)
		back, err := Parse("shown", shown.Bytes(), ForGateway)
		So(err, ShouldBeNil)
		So(back.Duration(GatewayDeadline), ShouldEqual, 5*time.Second)
	})
	Convey("every default is within its own bounds", t, func() {
		for _, key := range Keys {
			if key.Default != "" {
				So(key.check(key.Default), ShouldBeNil)
			}
		}
	})
	Convey("the page holds the table as it is", t, func() {
		var page bytes.Buffer
		So(WritePage(&page), ShouldBeNil)
		kept, err := os.ReadFile("../../../docs/SETTINGS.md")
		So(err, ShouldBeNil)
		So(string(kept), ShouldEqual, page.String())
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

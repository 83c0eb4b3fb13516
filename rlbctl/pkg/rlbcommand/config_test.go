package rlbcommand

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	soundConfig = `{"Version": 7,
"Routes": [{"Name": "r", "Host": "a.example", "PathPrefix": "/r/", "Kind": "safe", "TimeoutMs": 2000, "Service": "llm"}],
"Services": [{"Name": "llm", "Engine": {"Slots": 8, "WeightsMb": 100, "Models": [{"Name": "m", "WeightsMb": 60}, {"Name": "n", "WeightsMb": 60}]}}]}`
	warnedConfig = `{"Version": 8, "Routes": [{"Name": "r", "Host": "a.example", "PathPrefix": "/r/", "Kind": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 3000, "Service": "app"}], "Services": [{"Name": "app"}]}`
	brokenConfig = `{"Version": 9, "Routes": [{"Name": "r", "Host": "a.example", "PathPrefix": "/r/", "Kind": "safe", "TimeoutMs": 2000, "Service": "gone"}]}`
)

// shouldExit checks a config and compares the exit code and parts of the output.
func shouldExit(want ExitCode, args []string, parts ...string) {
	code, out, errOut := run(&fakeController{}, append([]string{"config", "check"}, args...)...)
	So(code, ShouldEqual, want)
	for _, part := range parts {
		So(out+errOut, ShouldContainSubstring, part)
	}
}

func TestConfigCheck(t *testing.T) {
	sound, warned, broken := writeTempFile(t, soundConfig), writeTempFile(t, warnedConfig), writeTempFile(t, brokenConfig)
	Convey("The exit code tells errors, warnings and sound configs apart", t, func() {
		shouldExit(ExitOK, []string{sound}, "version 7 has no findings")
		shouldExit(ExitWarnings, []string{warned}, "warning: routes/r: its target of 3s is beyond its timeout of 2s")
		shouldExit(ExitInvalid, []string{broken}, `error: routes/r: service "gone" is not in the config`)
	})
	Convey("What a config changes is shown", t, func() {
		shouldExit(ExitWarnings, []string{warned, "--against", sound}, "change: version: version 7 -> 8", "change: services/llm: removed")
		shouldExit(ExitInvalid, []string{sound, "--against", warned}, "version 7 does not come after version 8")
	})
	Convey("The number of endpoints makes rules about all of them apply", t, func() {
		shouldExit(ExitWarnings, []string{sound, "--endpoints", "llm=1"}, "its 2 models need")
		shouldExit(ExitOK, []string{sound, "--endpoints", "llm=2"})
		shouldExit(ExitUsage, []string{sound, "--endpoints", "other=2"}, `has no service "other"`)
	})
	Convey("A file that instances cannot decode is shown with the place of the error", t, func() {
		shouldExit(ExitInvalid, []string{writeTempFile(t, "{\n\"Version\": 7,\n\"Routes\": [}\n")}, ":3:12: ")
		shouldExit(ExitInvalid, []string{writeTempFile(t, "{\n\"Version\": \"seven\"}")}, "note.yaml:2:")
		shouldExit(ExitInvalid, []string{writeTempFile(t, strings.Replace(soundConfig, "safe", "odd", 1))}, `route r: unknown kind "odd"`)
		shouldExit(ExitUsage, []string{"/nonexistent"})
	})
	Convey("The result is JSON on request", t, func() {
		_, out, _ := run(&fakeController{}, "config", "check", warned, "--against", sound, "-o", "json")
		var result checkedConfig
		So(json.Unmarshal([]byte(out), &result), ShouldBeNil)
		So(result.Findings, ShouldHaveLength, 1)
		So(result.Findings[0].Path, ShouldEqual, "routes/r")
		So(result.Changes, ShouldNotBeEmpty)
	})
}

package rlbapp

import (
	"os"
	"regexp"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// placeholder is a value that the platform fills into the settings template.
var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// statedValues are the values of the template that every platform states.
var statedValues = map[string]string{
	"NodeName": "a", "Zone": "x", "Region": "r", "Platform.Address": "127.0.0.1:1", "Listen.Front": "127.0.0.1:2", "Listen.Ready": "127.0.0.1:3",
	"Ip": "127.0.0.1", "InternalPorts": "10,20", "Bounds.BudgetRatio": "0.2", "Bounds.BudgetExtra": "50", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": "8",
	"Bounds.LeaseMs": "3000", "Bounds.CeilingWindowS": "5", "HeartbeatMs": "1200", "Bounds.FencingRequired": "true",
}

// TestTemplate guards against instances that do not start where the platform states none of
// the values that later versions of the template have come to use.
func TestTemplate(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/node.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	load := func(more map[string]string) *rlbsettings.Settings {
		text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
			name := placeholder.FindStringSubmatch(found)[1]
			return statedValues[name] + more[name]
		})
		settings, err := rlbsettings.Parse("node.ini", []byte(text), rlbsettings.ForNode)
		So(err, ShouldBeNil)
		return settings
	}
	Convey("Without the limits of a machine the settings are valid and state none", t, func() {
		settings := load(nil)
		So(settings.Bytes(rlbsettings.InstanceMemory), ShouldEqual, 0)
		So(settings.Int(rlbsettings.InstanceDescriptors), ShouldEqual, 0)
		So(settings.Duration(rlbsettings.NodeDrain), ShouldEqual, 0)
	})
	Convey("The limits of a machine are passed on", t, func() {
		settings := load(map[string]string{"Limits.MemoryMb": "284", "Limits.Fds": "4100", "Bounds.DrainMs": "3000"})
		So(settings.Bytes(rlbsettings.InstanceMemory), ShouldEqual, 284<<20)
		So(settings.Int(rlbsettings.InstanceDescriptors), ShouldEqual, 4100)
		So(settings.Duration(rlbsettings.NodeDrain).Milliseconds(), ShouldEqual, 3000)
	})
}

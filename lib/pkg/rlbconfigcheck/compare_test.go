package rlbconfigcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

// shouldChange compares a config with one that a test changed.
func shouldChange(before, after func(*draft), want ...string) {
	b, a := newDraft(), newDraft()
	before(b)
	after(a)
	var got []string
	for _, c := range Compare(b.build(), a.build()) {
		got = append(got, c.String())
	}
	So(got, ShouldResemble, want)
}

func TestCompare(t *testing.T) {
	same := func(*draft) {}
	Convey("Two equal configs do not differ", t, func() { shouldChange(same, same) })
	Convey("Routes are told apart by host and prefix", t, func() {
		shouldChange(same, func(d *draft) {
			d.routes[0].PathPrefix = "/talk/"
			d.routes[1].Timeout = 3 * time.Second
			d.routes[1].Shares = []rlbdeployment.Share{{Service: "app", Weight: 3}, {Service: "llm", Weight: 1}}
		}, "routes/a.example/chat/: removed",
			"routes/a.example/stock/: services app 100% -> app 75%, llm 25%", "routes/a.example/stock/: timeout 2s -> 3s",
			"routes/a.example/talk/: added")
	})
	Convey("Limits, services and models", t, func() {
		shouldChange(same, func(d *draft) {
			d.limits.IdleTimeout = time.Minute
			d.services = nil
			d.engine.Slots = 16
			d.models[0].Adapters = []string{"a2"}
			d.models = append(d.models, rlbdeployment.Model{Name: "n"})
		}, "limits: time until an idle connection is closed 0s -> 1m0s", "services/app: removed", "services/llm: requests at once on an endpoint 8 -> 16",
			"services/llm/models/m: adapter added: a2", "services/llm/models/m: adapter removed: a1", "services/llm/models/n: added")
	})
	Convey("Workspaces, without their keys", t, func() {
		const secret, other = "secret-1", "secret-2"
		before := func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, secret)} }
		after := func(d *draft) {
			d.workspaces = []rlbdeployment.Workspace{workspace("a", tokens(500, 50), other).WithPriority(2), workspace("b", noQuota, secret)}
		}
		shouldChange(before, after, "workspaces/a: 1 keys added", "workspaces/a: 1 keys removed: requests with them are refused",
			"workspaces/a: priority that of the route -> 2",
			"workspaces/a: quota 10 requests a second, burst 20 -> 1000 tokens a second, burst 500, 50 for a request that states none", "workspaces/b: added")
		shouldChange(same, before, "workspaces: callers need a key: false -> true", "workspaces/a: added")
		b, a := newDraft(), newDraft()
		before(b)
		after(a)
		So(strings.Contains(fmt.Sprintf("%+v %+v", Compare(b.build(), a.build()), Check(a.build(), nil)), "secret"), ShouldBeFalse)
	})
}

package rlbconfigcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	. "github.com/smartystreets/goconvey/convey"
)

// draft is a config before it is built, without findings unless a test changes it.
type draft struct {
	version    uint64
	routes     []rlbdeployment.Route
	engine     rlbdeployment.Engine
	models     []rlbdeployment.Model
	services   []string // plain ones
	limits     rlbdeployment.Limits
	workspaces []rlbdeployment.Workspace // nil: callers are not identified
	endpoints  Endpoints
}

func newDraft() *draft {
	return &draft{
		version: 7,
		routes: []rlbdeployment.Route{
			{Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: rlbdeployment.KindStream, Resumable: true, Timeout: 15 * time.Second, TargetLatency: time.Second, MaxEventGap: time.Second, MaxAttempts: 2, Shares: []rlbdeployment.Share{{Service: "llm", Weight: 1}}},
			{Name: "stock", Host: "a.example", PathPrefix: "/stock/", Kind: rlbdeployment.KindIdempotent, Timeout: 2 * time.Second, MaxAttempts: 1, Shares: []rlbdeployment.Share{{Service: "app", Weight: 1}}},
		},
		engine:   rlbdeployment.Engine{Slots: 8, Memory: 100 * rlbunit.GiB, AdapterSlots: 2},
		models:   []rlbdeployment.Model{{Name: "m", Memory: 60 * rlbunit.GiB, Adapters: []string{"a1"}, AdapterMemory: rlbunit.GiB, FromStore: 5 * time.Second, FromDisk: 2 * time.Second, FromMemory: time.Second}},
		services: []string{"app"},
		limits:   rlbdeployment.Limits{HeaderTimeout: time.Second},
	}
}

func (d *draft) build() *rlbdeployment.Config {
	d.engine.Models = map[string]rlbdeployment.Model{}
	for _, m := range d.models {
		d.engine.Models[m.Name] = m
	}
	services := map[string]rlbdeployment.Service{"llm": {Name: "llm", Engine: &d.engine}}
	for _, name := range d.services {
		services[name] = rlbdeployment.Service{Name: name}
	}
	c := rlbdeployment.NewConfig(d.version, d.routes, services, d.limits)
	if d.workspaces != nil {
		c = c.WithWorkspaces(d.workspaces)
	}
	return c
}

func workspace(name string, quota rlbdeployment.Quota, keys ...string) rlbdeployment.Workspace {
	return rlbdeployment.NewWorkspace(name, keys, quota)
}

var (
	noQuota = rlbdeployment.Quota{}
	quota   = rlbdeployment.NewQuota(10, 20, rlbdeployment.UnitRequests, 0)
	tokens  = func(burst float64, ofPlain int) rlbdeployment.Quota {
		return rlbdeployment.NewQuota(1000, burst, rlbdeployment.UnitTokens, ofPlain)
	}
)

// ruleTest has a change that breaks a rule, and a similar one that does not.
type ruleTest struct {
	rule              Rule
	path              string
	broken, neighbour func(*draft)
}

// rulesFound returns the rules that a config breaks, with the paths.
func rulesFound(change func(*draft)) []string {
	d := newDraft()
	change(d)
	var found []string
	for _, f := range Check(d.build(), d.endpoints) {
		found = append(found, string(f.Rule)+" "+f.Path)
	}
	return found
}

func shouldTellApart(tests []ruleTest) {
	for n, t := range tests {
		Convey(fmt.Sprintf("%d. rule %s at %s", n+1, t.rule, t.path), func() {
			So(rulesFound(t.broken), ShouldContain, string(t.rule)+" "+t.path)
			So(rulesFound(t.neighbour), ShouldBeEmpty)
		})
	}
}

var routeTests = []ruleTest{
	{RuleRouteHidden, "routes/late",
		func(d *draft) { late := d.routes[0]; late.Name = "late"; d.routes = append(d.routes, late) },
		func(d *draft) {
			late := d.routes[0]
			late.Name, late.PathPrefix = "late", "/chat/more/"
			d.routes = append(d.routes, late)
		}},
	{RuleRouteName, "routes/chat",
		func(d *draft) { d.routes[1].Name = "chat" },
		func(d *draft) { d.routes[1].Name = "chat2" }},
	{RulePrefix, "routes/chat",
		func(d *draft) { d.routes[0].PathPrefix = "chat/" },
		func(d *draft) { d.routes[0].PathPrefix = "/" }},
	{RulePrefix, "routes/chat",
		func(d *draft) { d.routes[0].PathPrefix = "/chat" },
		func(d *draft) { d.routes[0].PathPrefix = "/chat/a/" }},
	{RuleNoService, "routes/chat",
		func(d *draft) { d.routes[0].Shares[0].Weight = 0 },
		func(d *draft) { d.routes[0].Shares[0].Weight = 100 }},
	{RuleUnknownService, "routes/chat",
		func(d *draft) {
			d.routes[0].Shares = append(d.routes[0].Shares, rlbdeployment.Share{Service: "ap", Weight: 1})
		},
		func(d *draft) {
			d.routes[0].Shares = append(d.routes[0].Shares, rlbdeployment.Share{Service: "app", Weight: 1})
		}},
	{RuleWeight, "routes/stock",
		func(d *draft) { d.routes[1].Shares = append(d.routes[1].Shares, rlbdeployment.Share{Service: "llm"}) },
		func(d *draft) {
			d.routes[1].Shares = append(d.routes[1].Shares, rlbdeployment.Share{Service: "llm", Weight: 1})
		}},
	{RuleWeight, "routes/stock",
		func(d *draft) {
			d.routes[1].Shares = append(d.routes[1].Shares, rlbdeployment.Share{Service: "llm", Weight: -1})
		},
		func(d *draft) { d.routes[1].Shares[0].Weight = 3 }},
	{RuleNoTimeout, "routes/stock",
		func(d *draft) { d.routes[1].Timeout = 0 },
		func(d *draft) { d.routes[1].Timeout = time.Second }},
	{RuleTargetBeyondTime, "routes/chat",
		func(d *draft) { d.routes[0].TargetLatency = d.routes[0].Timeout + 1 },
		func(d *draft) { d.routes[0].TargetLatency = d.routes[0].Timeout }},
	{RuleGapBeyondTime, "routes/chat",
		func(d *draft) { d.routes[0].MaxEventGap = d.routes[0].Timeout + 1 },
		func(d *draft) { d.routes[0].MaxEventGap = d.routes[0].Timeout }},
	{RuleResumable, "routes/stock",
		func(d *draft) { d.routes[1].Resumable = true },
		func(d *draft) { d.routes[0].Resumable = false }},
	{RulePriorityRange, "routes/stock",
		func(d *draft) { d.routes[1].Priority = leastUrgentPriority + 1 },
		func(d *draft) { d.routes[1].Priority = leastUrgentPriority }},
	{RuleReadBeyondTimeouts, "limits",
		func(d *draft) { d.limits.HeaderTimeout = 16 * time.Second },
		func(d *draft) { d.limits.HeaderTimeout = 15 * time.Second }},
}

var serviceTests = []ruleTest{
	{RuleUnusedService, "services/old",
		func(d *draft) { d.services = append(d.services, "old") },
		func(d *draft) {
			d.services = append(d.services, "old")
			d.routes[1].Shares = append(d.routes[1].Shares, rlbdeployment.Share{Service: "old", Weight: 1})
		}},
	{RuleNoSlots, "services/llm",
		func(d *draft) { d.engine.Slots = 0 },
		func(d *draft) { d.engine.Slots = 1 }},
	{RuleNoModels, "services/llm",
		func(d *draft) { d.models = nil },
		func(d *draft) { d.models = append(d.models, rlbdeployment.Model{Name: "n"}) }},
	{RuleModelTooLarge, "services/llm/models/n",
		func(d *draft) {
			d.models = append(d.models, rlbdeployment.Model{Name: "n", Memory: d.engine.Memory + 1})
		},
		func(d *draft) { d.models = append(d.models, rlbdeployment.Model{Name: "n", Memory: d.engine.Memory}) }},
	{RuleAdapterNoPlace, "services/llm/models/m",
		func(d *draft) { d.engine.AdapterSlots = 0 },
		func(d *draft) { d.engine.AdapterSlots, d.models[0].Adapters = 0, nil }},
	{RuleAdapterTooLarge, "services/llm/models/m",
		func(d *draft) { d.models[0].AdapterMemory = 41 * rlbunit.GiB },
		func(d *draft) { d.models[0].AdapterMemory = 40 * rlbunit.GiB }},
	{RuleNearCopySlow, "services/llm/models/m",
		func(d *draft) { d.models[0].FromDisk = 6 * time.Second },
		func(d *draft) { d.models[0].FromDisk = 5 * time.Second }},
	{RuleModelsTooLarge, "services/llm",
		func(d *draft) {
			d.models = append(d.models, rlbdeployment.Model{Name: "n", Memory: 60 * rlbunit.GiB})
			d.endpoints = Endpoints{"llm": 1}
		},
		func(d *draft) {
			d.models = append(d.models, rlbdeployment.Model{Name: "n", Memory: 60 * rlbunit.GiB})
			d.endpoints = Endpoints{"llm": 2}
		}},
}

var workspaceTests = []ruleTest{
	{RuleNoCallers, "workspaces",
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{} },
		func(d *draft) { d.workspaces, d.routes[0].Public = []rlbdeployment.Workspace{}, true }},
	{RuleNoKeys, "workspaces/b",
		func(d *draft) {
			d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, "k"), workspace("b", quota)}
		},
		func(d *draft) {
			d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, "k"), workspace("b", quota, "l")}
		}},
	{RulePublicOnly, "workspaces",
		func(d *draft) {
			d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, "k")}
			d.routes[0].Public, d.routes[1].Public = true, true
		},
		func(d *draft) {
			d.workspaces, d.routes[0].Public = []rlbdeployment.Workspace{workspace("a", quota, "k")}, true
		}},
	{RulePriorityUnused, "routes/stock",
		func(d *draft) {
			d.workspaces, d.routes[1].Priority = []rlbdeployment.Workspace{workspace("a", quota, "k").WithPriority(1)}, 3
		},
		func(d *draft) {
			d.workspaces, d.routes[1].Priority = []rlbdeployment.Workspace{workspace("a", quota, "k").WithPriority(1), workspace("b", quota, "l")}, 3
		}},
	{RulePriorityRange, "workspaces/a",
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, "k").WithPriority(-1)} },
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", quota, "k").WithPriority(0)} }},
	{RuleQuotaNoRate, "workspaces/a/quota",
		func(d *draft) {
			d.workspaces = []rlbdeployment.Workspace{workspace("a", rlbdeployment.NewQuota(0, 5, rlbdeployment.UnitRequests, 0), "k")}
		},
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", noQuota, "k")} }},
	{RuleQuotaBurst, "workspaces/a/quota",
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", tokens(499, 500), "k")} },
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", tokens(500, 500), "k")} }},
	{RuleQuotaTokens, "workspaces/a/quota",
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", tokens(500, 0), "k")} },
		func(d *draft) { d.workspaces = []rlbdeployment.Workspace{workspace("a", tokens(500, 1), "k")} }},
	{RuleQuotaBeyondAll, "workspaces/a/quota",
		func(d *draft) {
			d.workspaces, d.endpoints = []rlbdeployment.Workspace{workspace("a", quota, "k")}, Endpoints{"llm": 2}
		},
		func(d *draft) {
			d.workspaces, d.endpoints = []rlbdeployment.Workspace{workspace("a", quota, "k")}, Endpoints{"llm": 3}
		}},
}

func TestCheck(t *testing.T) {
	Convey("A sound config has no findings", t, func() {
		So(rulesFound(func(*draft) {}), ShouldBeEmpty)
	})
	Convey("Each rule finds a config that breaks it, and not its neighbour:", t, func() {
		shouldTellApart(slices.Concat(routeTests, serviceTests, workspaceTests))
	})
	Convey("A config must come after the one in force", t, func() {
		for version, want := range map[uint64]bool{6: true, 7: true, 8: false} {
			next := newDraft()
			next.version = version
			So(HasErrors(CheckSuccessor(newDraft().build(), next.build(), nil)), ShouldEqual, want)
		}
	})
	Convey("Errors come first", t, func() {
		d := newDraft()
		d.routes[0].Priority, d.routes[1].Timeout = 10, 0
		found := Check(d.build(), nil)
		So(found, ShouldHaveLength, 2)
		So(found[0].Severity, ShouldEqual, SeverityError)
		So(found[0].String(), ShouldEqual, "error: routes/stock: its timeout is 0s: each request ends at once [no-timeout]")
	})
}

package rlbconfigcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Change is a difference between two configs, in an operator's words. It contains no keys.
type Change struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns the change as one line.
func (c Change) String() string { return c.Path + ": " + c.Text }

// changes collects the differences.
type changes struct{ all []Change }

func (c *changes) add(path, format string, args ...any) {
	c.all = append(c.all, Change{path, fmt.Sprintf(format, args...)})
}

// value adds a change of one value of an entry.
func value[T comparable](c *changes, path, name string, before, after T) {
	if before != after {
		c.add(path, "%s %v -> %v", name, before, after)
	}
}

// entries compares the entries of one kind by name, in order of their names.
func entries[T any](c *changes, path string, before, after map[string]T, changed func(path string, before, after T)) {
	names := map[string]T{}
	maps.Copy(names, before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, had := before[name]
		a, has := after[name]
		switch at := path + "/" + name; {
		case !had:
			c.add(at, "added")
		case !has:
			c.add(at, "removed")
		default:
			changed(at, b, a)
		}
	}
}

// Compare returns what a config changes compared with an earlier one.
func Compare(before, after *rlbdeployment.Config) []Change {
	c := &changes{}
	value(c, "version", "version", before.Version, after.Version)
	compareLimits(c, before.Limits, after.Limits)
	entries(c, "routes", routesByMatch(before), routesByMatch(after), c.route)
	entries(c, "services", before.Services, after.Services, c.service)
	value(c, "workspaces", "callers need a key:", before.IdentifiesCallers(), after.IdentifiesCallers())
	entries(c, "workspaces", workspacesByName(before), workspacesByName(after), c.workspace)
	return c.all
}

func compareLimits(c *changes, before, after rlbdeployment.Limits) {
	value(c, "limits", "largest header", before.HeaderBytes, after.HeaderBytes)
	value(c, "limits", "largest body", before.BodyBytes, after.BodyBytes)
	value(c, "limits", "time to read a request", before.HeaderTimeout, after.HeaderTimeout)
	value(c, "limits", "time until an idle connection is closed", before.IdleTimeout, after.IdleTimeout)
}

// routesByMatch returns the routes that get requests by host and path prefix.
func routesByMatch(c *rlbdeployment.Config) map[string]*rlbdeployment.Route {
	routes := map[string]*rlbdeployment.Route{}
	for r := range c.AllRoutes() {
		if at := r.Host + r.PathPrefix; routes[at] == nil {
			routes[at] = r
		}
	}
	return routes
}

func workspacesByName(c *rlbdeployment.Config) map[string]rlbdeployment.Workspace {
	workspaces := map[string]rlbdeployment.Workspace{}
	for w := range c.Workspaces() {
		workspaces[w.Name()] = w
	}
	return workspaces
}

var kindNames = map[rlbdeployment.RouteKind]string{
	rlbdeployment.KindNonIdempotent: "runs at most once", rlbdeployment.KindIdempotent: "idempotent", rlbdeployment.KindStream: "stream",
}

func (c *changes) route(path string, before, after *rlbdeployment.Route) {
	value(c, path, "name", before.Name, after.Name)
	value(c, path, "services", describeShares(before.Shares), describeShares(after.Shares))
	value(c, path, "kind", kindNames[before.Kind], kindNames[after.Kind])
	value(c, path, "resumable", before.Resumable, after.Resumable)
	value(c, path, "timeout", before.Timeout, after.Timeout)
	value(c, path, "target", before.TargetLatency, after.TargetLatency)
	value(c, path, "longest gap between events", before.MaxEventGap, after.MaxEventGap)
	value(c, path, "priority", before.Priority, after.Priority)
	value(c, path, "attempts", before.MaxAttempts, after.MaxAttempts)
	value(c, path, "open without a key", before.Public, after.Public)
}

// describeShares returns the shares of a route in percent.
func describeShares(shares []rlbdeployment.Share) string {
	total := 0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	var parts []string
	for _, s := range shares {
		if s.Weight > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g%%", s.Service, float64(s.Weight)/float64(total)*100))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func (c *changes) service(path string, before, after rlbdeployment.Service) {
	value(c, path, "has model engines:", before.Engine != nil, after.Engine != nil)
	b, a := before.Engine, after.Engine
	if b == nil || a == nil {
		return
	}
	value(c, path, "requests at once on an endpoint", b.Slots, a.Slots)
	value(c, path, "memory of an endpoint", b.Memory, a.Memory)
	value(c, path, "adapters on an endpoint", b.AdapterSlots, a.AdapterSlots)
	value(c, path, "loads a second from the weight store", b.LoadsPerSecond, a.LoadsPerSecond)
	entries(c, path+"/models", b.Models, a.Models, c.model)
}

func (c *changes) model(path string, before, after rlbdeployment.Model) {
	value(c, path, "memory", before.Memory, after.Memory)
	c.names(path, "adapter", before.Adapters, after.Adapters)
	value(c, path, "memory of an adapter", before.AdapterMemory, after.AdapterMemory)
	value(c, path, "load from the weight store", before.FromStore, after.FromStore)
	value(c, path, "load from disk", before.FromDisk, after.FromDisk)
	value(c, path, "load from memory", before.FromMemory, after.FromMemory)
}

// names adds which names of a list are new and which are gone.
func (c *changes) names(path, item string, before, after []string) {
	if added := without(after, before); len(added) > 0 {
		c.add(path, "%s added: %s", item, strings.Join(added, ", "))
	}
	if removed := without(before, after); len(removed) > 0 {
		c.add(path, "%s removed: %s", item, strings.Join(removed, ", "))
	}
}

// without returns the elements of all that are not in others.
func without(all, others []string) []string {
	known := make(map[string]bool, len(others))
	for _, o := range others {
		known[o] = true
	}
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return known[s] })
}

var unitNames = map[rlbdeployment.QuotaUnit]string{rlbdeployment.UnitRequests: "requests", rlbdeployment.UnitTokens: "tokens"}

func (c *changes) workspace(path string, before, after rlbdeployment.Workspace) {
	added, removed := without(after.Keys(), before.Keys()), without(before.Keys(), after.Keys())
	if len(added) > 0 {
		c.add(path, "%d keys added", len(added))
	}
	if len(removed) > 0 {
		c.add(path, "%d keys removed: requests with them are refused", len(removed))
	}
	value(c, path, "priority", describePriority(before), describePriority(after))
	value(c, path, "quota", describeQuota(before.Quota()), describeQuota(after.Quota()))
}

func describePriority(w rlbdeployment.Workspace) string {
	if !w.HasPriority() {
		return "that of the route"
	}
	return fmt.Sprint(w.Priority(0))
}

func describeQuota(q rlbdeployment.Quota) string {
	if !q.Limited() {
		return "none"
	}
	text := fmt.Sprintf("%v %s a second, burst %v", q.PerSecond(), unitNames[q.Unit()], q.Burst())
	if q.Unit() == rlbdeployment.UnitTokens {
		text += fmt.Sprintf(", %v for a request that states none", q.Cost(0, false))
	}
	return text
}

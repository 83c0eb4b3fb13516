package rlbcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// Status returns this controller's state of the fleet for operators.
func (c *Controller) Status() rlboperator.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	note := c.fleet.Note()
	status := rlboperator.Status{Instance: c.id, NoteVersion: note.Version, NoteID: note.Last.ID}
	gateways, lowest := c.gatewayVersions(now)
	status.Gateways, status.InForce = gateways, note.Version > 0 && lowest >= note.Version
	c.fleet.Processes().All(func(key rlbfleetstate.ProcessKey, process rlbfleetstate.Process) bool {
		status.Processes = append(status.Processes, rlboperator.Process{Process: process, Silent: now.Sub(c.fleet.LastHeartbeat(key)).Seconds()})
		return true
	})
	slices.SortFunc(status.Processes, func(a, b rlboperator.Process) int {
		return strings.Compare(string(a.Type)+a.ID, string(b.Type)+b.ID)
	})
	for _, name := range slices.Sorted(maps.Keys(note.Models)) {
		m := note.Models[name]
		status.Models = append(status.Models, rlboperator.Model{Name: name, Version: m.Version, Ready: c.readyEndpoints(name, m.Version), Demand: c.demand[name]})
	}
	c.fleet.Instances().All(func(_ string, i rlbfleetstate.Instance) bool {
		status.Endpoints = append(status.Endpoints, c.endpointStatus(i))
		return true
	})
	slices.SortFunc(status.Endpoints, func(a, b rlboperator.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return status
}

// readyEndpoints returns the endpoints in service that have the model's version
// ready; c.mu is held.
func (c *Controller) readyEndpoints(name, version string) []string {
	ready := []string{}
	c.fleet.Engines().All(func(id string, e rlbfleetstate.Engine) bool {
		if i, _ := c.fleet.Instances().Get(id); i.Serves() && e.Ready(name, version) {
			ready = append(ready, id)
		}
		return true
	})
	slices.Sort(ready)
	return ready
}

func (c *Controller) endpointStatus(i rlbfleetstate.Instance) rlboperator.Endpoint {
	e := rlboperator.Endpoint{ID: i.ID, Type: string(i.Type), FailureDomain: i.FailureDomain, Role: i.Role, State: "live"}
	engine, known := c.fleet.Engines().Get(i.ID)
	switch {
	case i.Removed:
		e.State = "removed"
	case i.Leaving:
		e.State = "leaving"
	case known && engine.Draining:
		e.State = "draining"
	case known && engine.Unreachable:
		e.State = "lost"
	}
	if !known {
		return e
	}
	var used rlbunit.Bytes
	for _, r := range engine.Residents {
		used += r.Memory
		e.Residents = append(e.Residents, r.Name+"@"+r.Version+" "+string(r.Phase))
	}
	e.Memory, e.Used = engine.Memory.String(), used.String()
	load, _ := c.fleet.Loads().Get(i.ID)
	e.Running, e.Waiting = load.Running, load.Waiting
	return e
}

// Explain returns the journal's events whose subject or text contains word,
// oldest first.
func (c *Controller) Explain(word string) []rlboperator.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []rlboperator.Event{}
	for _, e := range c.journal.about(word) {
		events = append(events, rlboperator.Event{Time: e.Time, Instance: c.id, Subject: e.Subject, Text: e.Text})
	}
	return events
}

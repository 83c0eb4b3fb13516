package rlbnote

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Difference is a difference between two states in one model, adapter or service.
type Difference struct {
	Item   string `json:"item"`   // model, adapter or service
	Name   string `json:"name"`   // name of the model, adapter or service
	Action string `json:"action"` // added, changed or withdrawn
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	line := fmt.Sprintf("%-9s %-8s %s", d.Action, d.Item, d.Name)
	if d.From != "" || d.To != "" {
		line += fmt.Sprintf(" %s -> %s", d.From, d.To)
	}
	return line
}

// Diff returns the differences between two states: models, then adapters, then
// services, each sorted by name.
func Diff(from, to State) []Difference {
	var all []Difference
	all = diffItems(all, "model", from.Models, to.Models, func(m Model) string { return m.Version })
	all = diffItems(all, "adapter", from.Adapters, to.Adapters, func(a Adapter) string { return a.Version })
	return diffItems(all, "service", from.Services, to.Services, func(s Service) string { return s.Prefix })
}

func diffItems[T any](all []Difference, item string, from, to map[string]T, label func(T) string) []Difference {
	names := map[string]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := from[name]
		after, has := to[name]
		switch {
		case !had:
			all = append(all, Difference{item, name, "added", "", label(after)})
		case !has:
			all = append(all, Difference{item, name, "withdrawn", label(before), ""})
		case !reflect.DeepEqual(before, after):
			all = append(all, Difference{item, name, "changed", label(before), label(after)})
		}
	}
	return all
}

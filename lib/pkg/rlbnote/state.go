package rlbnote

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// maxRecords is how many accepted notes the state keeps, so that a note whose
// publish response was lost can be found by its id.
const maxRecords = 64

// State holds the models, adapters and services in force after a series of notes.
// States are immutable: Apply returns a new state and does not change the old one.
type State struct {
	Version  uint64             `json:"version" msgpack:"v"`
	Models   map[string]Model   `json:"models" msgpack:"m"`
	Adapters map[string]Adapter `json:"adapters" msgpack:"a"`
	Services map[string]Service `json:"services" msgpack:"s"`
	Recent   []Record           `json:"recent" msgpack:"r"` // latest accepted notes, newest last
	Last     Note               `json:"last" msgpack:"l"`   // the note that produced this version
}

// Newer reports whether this state has a higher version than old.
func (s State) Newer(old State) bool { return s.Version > old.Version }

// Accepted returns the record of the note with the given id.
func (s State) Accepted(id string) (Record, bool) {
	for _, r := range s.Recent {
		if r.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// Resolve returns the model, and the adapter if any, for the model name of a
// request, which is the name of either a model or an adapter.
func (s State) Resolve(name string) (Model, *Adapter, bool) {
	if m, found := s.Models[name]; found {
		return m, nil, true
	}
	if a, found := s.Adapters[name]; found {
		m, found := s.Models[a.Model]
		return m, &a, found
	}
	return Model{}, nil, false
}

// ServiceFor returns the plain service with the longest matching prefix of path.
func (s State) ServiceFor(path string) (service Service, found bool) {
	for _, candidate := range s.Services {
		if strings.HasPrefix(path, candidate.Prefix) && len(candidate.Prefix) > len(service.Prefix) {
			service, found = candidate, true
		}
	}
	return service, found
}

// Apply returns the state that results from a note published at the given time.
func (s State) Apply(note Note, published time.Time) (State, error) {
	if note.Base != s.Version {
		return s, rlberror.Newf("apply note", KindStale, "the note builds on version %d, but %d is in force", note.Base, s.Version)
	}
	if note.ID == "" {
		return s, rlberror.Newf("apply note", KindInvalid, "the note has no id")
	}
	next := State{
		Version:  s.Version + 1,
		Models:   maps.Clone(s.Models),
		Adapters: maps.Clone(s.Adapters),
		Services: maps.Clone(s.Services),
		Recent:   append([]Record(nil), s.Recent...),
		Last:     note,
	}
	c := changeApplier{}
	next.Models = applyChanges(&c, "model", next.Models, Model.key, note.Add.Models, note.Change.Models, note.Withdraw.Models)
	next.Adapters = applyChanges(&c, "adapter", next.Adapters, Adapter.key, note.Add.Adapters, note.Change.Adapters, note.Withdraw.Adapters)
	next.Services = applyChanges(&c, "service", next.Services, Service.key, note.Add.Services, note.Change.Services, note.Withdraw.Services)
	c.checkReferences(next)
	if len(c.problems) > 0 {
		return s, rlberror.New("apply note", KindInvalid, errors.Join(c.problems...))
	}
	next.Recent = append(next.Recent, Record{next.Version, note.ID, published})
	if excess := len(next.Recent) - maxRecords; excess > 0 {
		next.Recent = next.Recent[excess:]
	}
	return next, nil
}

func (m Model) key() string   { return m.Name }
func (a Adapter) key() string { return a.Name }
func (s Service) key() string { return s.Name }

// changeApplier collects the problems found while applying one note.
type changeApplier struct{ problems []error }

func (c *changeApplier) addProblem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Errorf(format, args...))
}

// applyChanges applies the additions, changes and withdrawals of one kind of item
// to all.
func applyChanges[T any](c *changeApplier, kind string, all map[string]T, key func(T) string, add, change []T, withdraw []string) map[string]T {
	if all == nil {
		all = map[string]T{}
	}
	listed := map[string]bool{}
	markListed := func(name string) {
		if listed[name] {
			c.addProblem("%s %s stands twice in the note", kind, name)
		}
		listed[name] = true
	}
	for _, item := range add {
		name := key(item)
		markListed(name)
		if _, found := all[name]; found {
			c.addProblem("%s %s is added but already in force; list it under change", kind, name)
		}
		all[name] = item
	}
	for _, item := range change {
		name := key(item)
		markListed(name)
		if _, found := all[name]; !found {
			c.addProblem("%s %s is changed but not in force; list it under add", kind, name)
		}
		all[name] = item
	}
	for _, name := range withdraw {
		markListed(name)
		if _, found := all[name]; !found {
			c.addProblem("%s %s is withdrawn but not in force", kind, name)
		}
		delete(all, name)
	}
	return all
}

// checkReferences reports adapters without their model, adapters with the name of
// a model, and services with the same prefix.
func (c *changeApplier) checkReferences(s State) {
	for name, a := range s.Adapters {
		if _, found := s.Models[a.Model]; !found {
			c.addProblem("adapter %s needs model %s, which is not in force", name, a.Model)
		}
		if _, found := s.Models[name]; found {
			c.addProblem("adapter %s has the name of a model", name)
		}
	}
	prefixes := map[string]string{}
	for name, service := range s.Services {
		if other, found := prefixes[service.Prefix]; found {
			c.addProblem("services %s and %s have the same prefix %s", min(name, other), max(name, other), service.Prefix)
		}
		prefixes[service.Prefix] = name
	}
}

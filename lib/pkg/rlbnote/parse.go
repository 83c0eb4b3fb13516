package rlbnote

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"go.yaml.in/yaml/v3"
)

// fields maps the known keys of a mapping to the functions that parse their
// values.
type fields map[string]func(*yaml.Node)

// parser parses one note and collects its problems, each with line and column.
type parser struct {
	name     string
	problems []error
}

// Parse parses a note in YAML or JSON. The error joins all problems, each in the
// form name:line:column: problem.
func Parse(name string, text []byte) (Note, error) {
	var note Note
	if len(text) > int(MaxBytes) {
		return note, rlberror.Newf("parse note", KindTooLarge, "%s: %d bytes, more than %s", name, len(text), MaxBytes)
	}
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return note, rlberror.Newf("parse note", KindSyntax, "%s: %w", name, err)
	}
	if len(document.Content) == 0 {
		return note, rlberror.Newf("parse note", KindSyntax, "%s:1:1: the note is empty", name)
	}
	p := &parser{name: name}
	p.mapping(document.Content[0], fields{
		"id":       func(n *yaml.Node) { note.ID = p.text(n) },
		"base":     func(n *yaml.Node) { note.Base = p.number(n) },
		"add":      func(n *yaml.Node) { note.Add = p.items(n) },
		"change":   func(n *yaml.Node) { note.Change = p.items(n) },
		"withdraw": func(n *yaml.Node) { note.Withdraw = p.names(n) },
	}, "base")
	if len(p.problems) > 0 {
		return note, rlberror.New("parse note", KindSyntax, errors.Join(p.problems...))
	}
	return note, nil
}

func (p *parser) addProblem(n *yaml.Node, format string, args ...any) {
	where := fmt.Sprintf("%s:%d:%d: ", p.name, n.Line, n.Column)
	p.problems = append(p.problems, fmt.Errorf(where+format, args...))
}

// mapping parses a mapping with the known keys and reports unknown, duplicate and
// missing keys.
func (p *parser) mapping(n *yaml.Node, known fields, required ...string) {
	if n.Kind != yaml.MappingNode {
		p.addProblem(n, "expected a mapping of keys to values")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		read, found := known[key.Value]
		switch {
		case !found:
			p.addProblem(key, "unknown key %q; the nearest known one is %q", key.Value, nearestKey(key.Value, known))
		case seen[key.Value]:
			p.addProblem(key, "key %q stands twice", key.Value)
		default:
			read(n.Content[i+1])
		}
		seen[key.Value] = true
	}
	for _, key := range required {
		if !seen[key] {
			p.addProblem(n, "missing key %q", key)
		}
	}
}

// nearestKey returns the known key with the smallest edit distance to word.
func nearestKey(word string, known fields) string {
	best, least := "", 1<<30
	for key := range known {
		distance := levenshtein.ComputeDistance(word, key)
		if distance < least || distance == least && key < best {
			best, least = key, distance
		}
	}
	return best
}

// eachItem calls read for each item of a list.
func (p *parser) eachItem(n *yaml.Node, read func(*yaml.Node)) {
	if n.Kind != yaml.SequenceNode {
		p.addProblem(n, "expected a list")
		return
	}
	for _, item := range n.Content {
		read(item)
	}
}

// text parses a non-empty text that can be used as a name.
func (p *parser) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Value == "" || n.Tag == "!!null" {
		p.addProblem(n, "expected a text")
		return ""
	}
	if strings.ContainsAny(n.Value, " \t\n\"\\@") {
		p.addProblem(n, "%q must not hold spaces, quotes, backslashes or @", n.Value)
	}
	return n.Value
}

func (p *parser) number(n *yaml.Node) uint64 {
	v, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		p.addProblem(n, "%q is not a whole number from 0", n.Value)
	}
	return v
}

func (p *parser) boolean(n *yaml.Node) bool {
	if n.Value != "true" && n.Value != "false" {
		p.addProblem(n, "%q is neither true nor false", n.Value)
	}
	return n.Value == "true"
}

func (p *parser) duration(n *yaml.Node) time.Duration {
	d, err := time.ParseDuration(n.Value)
	if err != nil || d < 0 {
		p.addProblem(n, "%q is not a duration, such as 340ms", n.Value)
	}
	return d
}

func (p *parser) class(n *yaml.Node) Class {
	class := Class(n.Value)
	if class != ClassInteractive && class != ClassBatch {
		p.addProblem(n, "class %q is neither %s nor %s", n.Value, ClassInteractive, ClassBatch)
	}
	return class
}

func (p *parser) items(n *yaml.Node) Items {
	var items Items
	p.mapping(n, fields{
		"models": func(n *yaml.Node) {
			p.eachItem(n, func(n *yaml.Node) { items.Models = append(items.Models, p.model(n)) })
		},
		"adapters": func(n *yaml.Node) {
			p.eachItem(n, func(n *yaml.Node) { items.Adapters = append(items.Adapters, p.adapter(n)) })
		},
		"services": func(n *yaml.Node) {
			p.eachItem(n, func(n *yaml.Node) { items.Services = append(items.Services, p.service(n)) })
		},
	})
	return items
}

func (p *parser) names(n *yaml.Node) Names {
	var names Names
	list := func(to *[]string) func(*yaml.Node) {
		return func(n *yaml.Node) { p.eachItem(n, func(n *yaml.Node) { *to = append(*to, p.text(n)) }) }
	}
	p.mapping(n, fields{"models": list(&names.Models), "adapters": list(&names.Adapters), "services": list(&names.Services)})
	return names
}

func (p *parser) model(n *yaml.Node) Model {
	m := Model{Class: ClassInteractive}
	p.mapping(n, fields{
		"name":        func(n *yaml.Node) { m.Name = p.text(n) },
		"version":     func(n *yaml.Node) { m.Version = p.text(n) },
		"role":        func(n *yaml.Node) { m.Role = p.text(n) },
		"class":       func(n *yaml.Node) { m.Class = p.class(n) },
		"first_token": func(n *yaml.Node) { m.FirstToken = p.duration(n) },
		"next_token":  func(n *yaml.Node) { m.NextToken = p.duration(n) },
		"once":        func(n *yaml.Node) { m.NonIdempotent = p.boolean(n) },
	}, "name", "version")
	return m
}

func (p *parser) adapter(n *yaml.Node) Adapter {
	var a Adapter
	p.mapping(n, fields{
		"name":    func(n *yaml.Node) { a.Name = p.text(n) },
		"model":   func(n *yaml.Node) { a.Model = p.text(n) },
		"version": func(n *yaml.Node) { a.Version = p.text(n) },
	}, "name", "model", "version")
	return a
}

var methods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

func (p *parser) service(n *yaml.Node) Service {
	s := Service{Idempotent: []string{"GET", "HEAD", "OPTIONS"}}
	p.mapping(n, fields{
		"name":   func(n *yaml.Node) { s.Name = p.text(n) },
		"prefix": func(n *yaml.Node) { s.Prefix = p.prefix(n) },
		"idempotent": func(n *yaml.Node) {
			s.Idempotent = nil
			p.eachItem(n, func(n *yaml.Node) { s.Idempotent = append(s.Idempotent, p.method(n)) })
		},
	}, "name", "prefix")
	return s
}

func (p *parser) method(n *yaml.Node) string {
	if !slices.Contains(methods, n.Value) {
		p.addProblem(n, "%q is not a method in capitals, such as GET", n.Value)
	}
	return n.Value
}

func (p *parser) prefix(n *yaml.Node) string {
	prefix := p.text(n)
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || prefix == "/" {
		p.addProblem(n, "prefix %q must begin and end with / and name a path, such as /stock/", prefix)
	}
	if strings.HasPrefix(prefix, "/v1/") {
		p.addProblem(n, "prefix %q belongs to the model interface", prefix)
	}
	return prefix
}

// Package rlbjson takes JSON documents apart without decoding the parts. A part that
// encoding/json rejects, such as one that is nested too deeply, does not spoil the others
// that way.
package rlbjson

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindMalformed Kind = iota // the document is no JSON or ends too early
	KindType                  // the document is no array or no object
)

// String returns the text of the kind for error messages.
func (k Kind) String() string { return [...]string{"malformed JSON", "wrong type"}[k] }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

var errTooShort = errors.New("the document ends within a value")

// Elements returns the elements of a JSON array. What is inside of them is not checked,
// except that brackets and strings end.
func Elements(document []byte) ([]json.RawMessage, error) {
	const op = "split array"
	s := scanner{rest: bytes.TrimSpace(document)}
	if !s.take('[') {
		return nil, rlberror.New(op, KindType, nil)
	}
	var elements []json.RawMessage
	for first := true; !s.take(']'); first = false {
		if !first && !s.take(',') {
			return nil, rlberror.Newf(op, KindMalformed, "no comma between elements")
		}
		element, err := s.value()
		if err != nil {
			return nil, rlberror.New(op, KindMalformed, err)
		}
		elements = append(elements, element)
	}
	return elements, s.end(op)
}

// Members returns the members of a JSON object by name. What is inside of them is not
// checked, as in Elements. Of members with the same name the last one counts.
func Members(document []byte) (map[string]json.RawMessage, error) {
	const op = "split object"
	s := scanner{rest: bytes.TrimSpace(document)}
	if !s.take('{') {
		return nil, rlberror.New(op, KindType, nil)
	}
	members := map[string]json.RawMessage{}
	for first := true; !s.take('}'); first = false {
		if !first && !s.take(',') {
			return nil, rlberror.Newf(op, KindMalformed, "no comma between members")
		}
		name, value, err := s.member()
		if err != nil {
			return nil, rlberror.New(op, KindMalformed, err)
		}
		members[name] = value
	}
	return members, s.end(op)
}

// scanner reads a document from its start.
type scanner struct{ rest []byte }

// take skips white space and then c, if it is next, and reports whether it was.
func (s *scanner) take(c byte) bool {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// end checks that nothing follows.
func (s *scanner) end(op string) error {
	if len(bytes.TrimSpace(s.rest)) > 0 {
		return rlberror.Newf(op, KindMalformed, "bytes after the document")
	}
	return nil
}

// member reads the name and the value of an object's member.
func (s *scanner) member() (name string, value json.RawMessage, err error) {
	raw, err := s.value()
	if err != nil {
		return "", nil, err
	}
	if err := json.Unmarshal(raw, &name); err != nil {
		return "", nil, err
	}
	if !s.take(':') {
		return "", nil, errors.New("no colon after a name")
	}
	value, err = s.value()
	return name, value, err
}

// value reads one value.
func (s *scanner) value() (json.RawMessage, error) {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	n, err := valueLength(s.rest)
	if err != nil {
		return nil, err
	}
	value := s.rest[:n]
	s.rest = s.rest[n:]
	return json.RawMessage(value), nil
}

// valueLength returns the length of the value that data begins with. It keeps no stack:
// for a sound value it is enough to count the brackets outside of strings.
func valueLength(data []byte) (int, error) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '"':
			n, err := stringLength(data[i:])
			if err != nil {
				return 0, err
			}
			i += n - 1
			if depth == 0 {
				return i + 1, nil
			}
		case c == '{' || c == '[':
			depth++
		case depth == 0:
			return scalarLength(data)
		case c == '}' || c == ']':
			if depth--; depth == 0 {
				return i + 1, nil
			}
		}
	}
	return 0, errTooShort
}

// stringLength returns the length of the string that data begins with, with its quotes.
func stringLength(data []byte) (int, error) {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errTooShort
}

// scalarLength returns the length of the number, true, false or null that data begins
// with.
func scalarLength(data []byte) (int, error) {
	n := bytes.IndexAny(data, ",]} \t\r\n")
	if n < 0 {
		n = len(data)
	}
	if n == 0 {
		return 0, errors.New("a value is missing")
	}
	return n, nil
}

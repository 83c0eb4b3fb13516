// Package rlbobject defines the interface to the platform's object API and
// implements an HTTP client for it. Users of the interface do not depend on the
// paths and headers of the protocol.
//
// Protocol: GET, PUT and DELETE on /objects/KIND/NAME with ETag, If-Match and
// If-None-Match; GET /objects/KIND lists; GET /objects/KIND?after=N&wait=MS
// waits up to MS milliseconds for a change after revision N.
package rlbobject

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// MaxValueBytes is the maximum length of a value.
const MaxValueBytes = 1 * rlbunit.MiB

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is a stored value. Deleted objects appear only in Changes.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Changes are objects of one kind at a revision: all of them, or those changed after
// the revision of a watch.
type Changes struct {
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
	// Undecodable is the number of objects that are left out, because another writer left
	// something in them that cannot be decoded.
	Undecodable int `json:"-"`
}

// API is the object API. Errors are of type *Error. After an error of KindUnknown
// a write may have taken effect; after any other kind it has not. A write that expects a
// version of another era than the one in which it is answered has an unknown outcome,
// since revisions are given out again.
type API interface {
	// Get returns the object. With an error of KindNotFound it returns an object whose
	// version names the era, if the API has eras.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes value if the version of the object is still the expected one. An
	// expected version without revision creates the object; 0 does so in any era.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is still the expected one.
	Delete(ctx context.Context, key Key, expected Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Changes, error)
	// Watch waits for changes of a kind after a revision, at most until deadline.
	// Without changes it returns none, and may do so before deadline.
	Watch(ctx context.Context, kind string, after Version, deadline time.Time) (Changes, error)
}

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindNotFound    Kind = iota
	KindConflict         // the version is not the expected one
	KindUnavailable      // refused or not reachable: a write had no effect
	KindUnknown          // no response: a write may have taken effect
	KindTooLarge         // the value is longer than MaxValueBytes
	KindExpired          // the history since the version of a watch is gone: list again
	KindInvalid          // the platform rejected the call
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"not found", "version conflict", "unavailable", "outcome unknown", "value too large", "revision expired", "invalid call"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Is reports whether err is an Error of kind.
func Is(err error, kind Kind) bool { return rlberror.Is(err, kind) }

// Package rlbobject is the interface to the platform's object API and its HTTP
// client. Only this package knows the API's names and details.
//
// Protocol: GET, PUT and DELETE on /objects/KIND/NAME with ETag, If-Match and
// If-None-Match; GET /objects/KIND lists; GET /objects/KIND?after=N&wait=MS
// waits for a change after revision N.
package rlbobject

import (
	"context"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

// MaxValueBytes is the longest value the platform holds.
const MaxValueBytes = 1 * rlbunit.MiB

// Version is the revision of the platform at an object's latest write; 0 means
// that the object does not exist.
type Version uint64

// Key names an object.
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

// Changes are objects of one kind, as of a revision.
type Changes struct {
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
}

// API is the object API. Errors are *Error; after KindUnknown a write may have
// taken effect, after every other kind it has not.
type API interface {
	// Get returns the object.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes value if the object's version is still given; 0 creates it.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is still given.
	Delete(ctx context.Context, key Key, expected Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Changes, error)
	// Watch waits until deadline for changes of a kind after a revision.
	Watch(ctx context.Context, kind string, after Version, deadline time.Time) (Changes, error)
}

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindNotFound    Kind = iota
	KindConflict         // the version is not the given one
	KindUnavailable      // refused or not reached: nothing happened
	KindUnknown          // no answer: a write may have taken effect
	KindTooLarge         // the value is longer than MaxValue
	KindExpired          // a watch's revision is too old: list again
	KindInvalid          // the platform does not accept the call
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"not found", "version conflict", "unavailable", "outcome unknown", "value too large", "revision expired", "invalid call"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Is reports whether err is an Error of kind.
func Is(err error, kind Kind) bool { return rlberror.Is(err, kind) }

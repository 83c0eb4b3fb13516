package rlbclaim

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindEncoding Kind = iota // a stored value cannot be read or written
	KindStore                // the object API cannot be reached
)

// String names the kind.
func (k Kind) String() string { return [...]string{"bad encoding", "object API unavailable"}[k] }

// Error is this package's error.
type Error = rlberror.Error[Kind]

package rlbclaim

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of an error.
type Kind int

// Kinds of errors.
const (
	KindEncoding Kind = iota // a stored value cannot be encoded or decoded
	KindStore                // the object API is unavailable
)

// String returns a description of the kind.
func (k Kind) String() string { return [...]string{"bad encoding", "object API unavailable"}[k] }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

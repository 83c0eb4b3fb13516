package rlbclaim

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindEncoding Kind = iota // a stored value cannot be encoded or decoded
	KindStore                // the object API is unavailable
)

// String returns the text of the kind for error messages.
func (k Kind) String() string { return [...]string{"bad encoding", "object API unavailable"}[k] }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

package rlbnote

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindSyntax     Kind = iota // the text is not a release note
	KindTooLarge               // the text or the resulting state is too large
	KindInvalid                // the note contradicts itself or the state
	KindStale                  // the note builds on a version that is not current
	KindInfeasible             // the endpoints cannot hold the result
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"syntax error", "too large", "invalid note", "stale base version", "infeasible note"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Is reports whether err is an Error of kind.
func Is(err error, kind Kind) bool { return rlberror.Is(err, kind) }

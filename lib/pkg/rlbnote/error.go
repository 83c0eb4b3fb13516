package rlbnote

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindSyntax     Kind = iota // the text is not a release note
	KindTooLarge               // the text or the resulting state is too large
	KindInvalid                // the note contradicts itself or the state that it changes
	KindStale                  // the base of the note is not the current version
	KindInfeasible             // the endpoints cannot hold the resulting models and adapters
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"syntax error", "too large", "invalid note", "stale base version", "infeasible note"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Is reports whether err is an Error of kind.
func Is(err error, kind Kind) bool { return rlberror.Is(err, kind) }

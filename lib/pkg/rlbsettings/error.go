package rlbsettings

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindRead Kind = iota
	KindSyntax
	KindInvalid
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"cannot read", "syntax error", "invalid settings"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

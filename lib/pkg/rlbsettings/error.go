package rlbsettings

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of a settings error.
type Kind int

// The kinds of settings errors.
const (
	KindRead Kind = iota
	KindSyntax
	KindInvalid
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"cannot read", "syntax error", "invalid settings"}[k]
}

// Error is this package's error.
type Error = rlberror.Error[Kind]

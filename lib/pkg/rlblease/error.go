package rlblease

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind classifies the errors of this package.
type Kind int

// KindEncoding means that a stored value cannot be encoded or decoded.
const KindEncoding Kind = 0

// String returns the text of the kind for error messages.
func (k Kind) String() string { return "bad encoding" }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

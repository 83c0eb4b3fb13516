package rlblease

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of a failure.
type Kind int

// KindEncoding means that a stored value cannot be read or written.
const KindEncoding Kind = 0

// String names the kind.
func (k Kind) String() string { return "bad encoding" }

// Error is this package's error.
type Error = rlberror.Error[Kind]

package rlborder

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"

// Kind is the kind of an error.
type Kind int

// KindEncoding means that a stored value cannot be encoded or decoded.
const KindEncoding Kind = 0

// String names the kind.
func (k Kind) String() string { return "bad encoding" }

// Error is this package's error.
type Error = rlberror.Error[Kind]

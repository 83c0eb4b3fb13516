// Package rlberror provides a generic error type that other packages instantiate
// with their own kinds. An error names the failed operation and the kind of
// failure, and wraps the cause.
package rlberror

import (
	"errors"
	"fmt"
)

// Error is an error of a package that enumerates its kinds of errors in K.
type Error[K fmt.Stringer] struct {
	op   string
	kind K
	err  error
}

// New returns an error of kind in operation op; err is the cause and may be nil.
func New[K fmt.Stringer](op string, kind K, err error) *Error[K] {
	return &Error[K]{op: op, kind: kind, err: err}
}

// Newf returns an error whose cause is built by fmt.Errorf.
func Newf[K fmt.Stringer](op string, kind K, format string, args ...any) *Error[K] {
	return New(op, kind, fmt.Errorf(format, args...))
}

// Error returns "op: kind: cause", or "op: kind" without a cause.
func (e *Error[K]) Error() string {
	if e.err == nil {
		return fmt.Sprintf("%s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err)
}

// Op returns the operation that failed.
func (e *Error[K]) Op() string { return e.op }

// Kind returns the kind of failure.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.err }

// KindOf returns the kind of the first Error[K] in err's chain.
func KindOf[K fmt.Stringer](err error) (kind K, ok bool) {
	var e *Error[K]
	if !errors.As(err, &e) {
		return kind, false
	}
	return e.kind, true
}

// Is reports whether the first Error[K] in err's chain has the given kind.
func Is[K interface {
	comparable
	fmt.Stringer
}](err error, kind K) bool {
	got, ok := KindOf[K](err)
	return ok && got == kind
}

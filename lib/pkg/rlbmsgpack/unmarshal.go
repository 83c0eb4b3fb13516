// Package rlbmsgpack decodes msgpack received from other processes.
package rlbmsgpack

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrTrailing is returned if there are bytes after the value.
var ErrTrailing = errors.New("bytes after the value")

// Unmarshal decodes data into v. It first checks that the data holds all elements that the
// headers of lists and maps state, and does not nest them deeply: the library allocates
// as many elements as a header states and recurses for each level, so that a few bytes
// could otherwise exhaust memory or stack.
func Unmarshal(data []byte, v any) error {
	if err := validate(data); err != nil {
		return fmt.Errorf("validate msgpack: %w", err)
	}
	return msgpack.Unmarshal(data, v)
}

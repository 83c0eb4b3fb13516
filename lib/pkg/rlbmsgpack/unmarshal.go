// Package rlbmsgpack decodes msgpack received from other processes.
package rlbmsgpack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrTrailing is returned if there are bytes after the value.
var ErrTrailing = errors.New("bytes after the value")

// Unmarshal decodes data into v. It first skips through the data without storing
// it: the library allocates as many elements as a list header states, so a few
// bytes could otherwise exhaust the memory.
func Unmarshal(data []byte, v any) error {
	reader := bytes.NewReader(data)
	if err := msgpack.NewDecoder(reader).Skip(); err != nil {
		return fmt.Errorf("validate msgpack: %w", err)
	}
	if reader.Len() > 0 {
		return ErrTrailing
	}
	return msgpack.Unmarshal(data, v)
}

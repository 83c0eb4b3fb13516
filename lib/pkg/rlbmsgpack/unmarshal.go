// Package rlbmsgpack decodes msgpack from outside this process.
package rlbmsgpack

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrTrailing is returned for bytes after the value.
var ErrTrailing = errors.New("bytes after the value")

// Unmarshal decodes data into v. It first walks the data without storing it:
// the library makes room for as many elements as a list announces, so that a
// few bytes could ask for all memory.
func Unmarshal(data []byte, v any) error {
	reader := bytes.NewReader(data)
	if err := msgpack.NewDecoder(reader).Skip(); err != nil {
		return fmt.Errorf("walk msgpack: %w", err)
	}
	if reader.Len() > 0 {
		return ErrTrailing
	}
	return msgpack.Unmarshal(data, v)
}

package rlbmsgpack

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxDepth is how deeply lists and maps may be nested. Messages between processes need
// fewer than ten levels; decoders recurse for each.
const maxDepth = 32

// Errors of validate.
var (
	errTooShort  = errors.New("the data ends within a value")
	errTooDeep   = fmt.Errorf("lists and maps are nested more than %d times", maxDepth)
	errUndefined = errors.New("undefined type")
)

// validate checks that data is one value whose lists and maps have all the elements that
// their headers state, without storing anything and without recursion.
func validate(data []byte) error {
	pending := []uint64{1} // values that are still to come, of each list or map that is open
	for len(pending) > 0 {
		last := len(pending) - 1
		if pending[last] == 0 {
			pending = pending[:last]
			continue
		}
		pending[last]--
		length, elements, err := header(data)
		if err != nil {
			return err
		}
		if uint64(len(data)) < length {
			return errTooShort
		}
		data = data[length:]
		if elements == 0 {
			continue
		}
		if len(pending) > maxDepth {
			return errTooDeep
		}
		pending = append(pending, elements)
	}
	if len(data) > 0 {
		return ErrTrailing
	}
	return nil
}

// header returns the length of the value that data begins with, without its elements, and
// the number of these; a map has two for each key.
func header(data []byte) (length, elements uint64, err error) {
	if len(data) == 0 {
		return 0, 0, errTooShort
	}
	switch c := data[0]; {
	case c <= 0x7f || c >= 0xe0: // small integers
		return 1, 0, nil
	case c <= 0x8f:
		return 1, 2 * uint64(c&0x0f), nil
	case c <= 0x9f:
		return 1, uint64(c & 0x0f), nil
	case c <= 0xbf:
		return 1 + uint64(c&0x1f), 0, nil
	default:
		return longHeader(data)
	}
}

// format describes values with an explicit type.
type format struct {
	size     uint64 // of the value after the type and the size field
	sizeLen  int    // length of the size field
	list     bool
	entries  bool // a map
	reserved bool // undefined
}

// formats are the types from 0xc0 to 0xdf.
var formats = [...]format{
	{}, {reserved: true}, {}, {}, // nil, undefined, false, true
	{sizeLen: 1}, {sizeLen: 2}, {sizeLen: 4}, // binary
	{sizeLen: 1, size: 1}, {sizeLen: 2, size: 1}, {sizeLen: 4, size: 1}, // extensions with a size, and a type of one byte
	{size: 4}, {size: 8}, // floating point
	{size: 1}, {size: 2}, {size: 4}, {size: 8}, // unsigned integers
	{size: 1}, {size: 2}, {size: 4}, {size: 8}, // signed integers
	{size: 2}, {size: 3}, {size: 5}, {size: 9}, {size: 17}, // extensions of a fixed size
	{sizeLen: 1}, {sizeLen: 2}, {sizeLen: 4}, // strings
	{sizeLen: 2, list: true}, {sizeLen: 4, list: true},
	{sizeLen: 2, entries: true}, {sizeLen: 4, entries: true},
}

func longHeader(data []byte) (length, elements uint64, err error) {
	f := formats[data[0]-0xc0]
	if f.reserved {
		return 0, 0, errUndefined
	}
	if len(data) < 1+f.sizeLen {
		return 0, 0, errTooShort
	}
	var size uint64
	switch f.sizeLen {
	case 1:
		size = uint64(data[1])
	case 2:
		size = uint64(binary.BigEndian.Uint16(data[1:]))
	case 4:
		size = uint64(binary.BigEndian.Uint32(data[1:]))
	}
	length = 1 + uint64(f.sizeLen)
	switch {
	case f.list:
		return length, size, nil
	case f.entries:
		return length, 2 * size, nil
	default:
		return length + f.size + size, 0, nil
	}
}

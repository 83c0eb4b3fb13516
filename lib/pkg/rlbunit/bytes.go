// Package rlbunit provides types for quantities with a unit.
package rlbunit

import (
	"fmt"
	"strconv"
	"strings"
)

// Bytes is a size in bytes.
type Bytes int64

// Binary units of Bytes.
const (
	Byte Bytes = 1
	KiB        = 1024 * Byte
	MiB        = 1024 * KiB
	GiB        = 1024 * MiB
)

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String formats b in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(b/u.size), u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// ParseBytes parses a whole number with one of the units B, KiB, MiB and GiB.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(s, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number with a unit, such as 64KiB", s)
		}
		if n < 0 || n > int64(1<<62)/int64(u.size) {
			return 0, fmt.Errorf("%q is out of range", s)
		}
		return Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("%q has no known unit; write B, KiB, MiB or GiB, such as 64KiB", s)
}

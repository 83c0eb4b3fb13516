package rlbsettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
)

func lookupKey(section, name string) (*Key, error) {
	closest, minDistance := (*Key)(nil), 1<<30
	for _, key := range Keys {
		if key.Section == section && key.Name == name {
			return key, nil
		}
		distance := levenshtein.ComputeDistance(section+"."+name, key.Section+"."+key.Name)
		if distance < minDistance {
			closest, minDistance = key, distance
		}
	}
	return nil, fmt.Errorf("unknown key %s; the closest known key is %s in [%s]", name, closest.Name, closest.Section)
}

// check returns an error if value is not of the type of k or is out of its bounds.
func (k *Key) check(value string) error {
	switch k.Type {
	case TypeDuration:
		return checkRange(k, value, parseDuration)
	case TypeInt:
		return checkRange(k, value, parseInt)
	case TypeRatio:
		return checkRange(k, value, parseRatio)
	case TypeBytes:
		return checkRange(k, value, rlbunit.ParseBytes)
	case TypeAddress:
		return checkAddress(k, value)
	case TypeBool:
		return checkBool(k, value)
	default:
		return nil
	}
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration with a known unit; write ns, us, ms, s, m or h, such as 500ms", s)
	}
	return d, nil
}

func parseInt(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", s)
	}
	return n, nil
}

func parseRatio(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return f, nil
}

func checkRange[T int64 | float64 | time.Duration | rlbunit.Bytes](k *Key, value string, parse func(string) (T, error)) error {
	v, err := parse(value)
	if err != nil {
		return fmt.Errorf("%s: %w", k.Name, err)
	}
	if k.Min != "" {
		if minimum, _ := parse(k.Min); v < minimum {
			return fmt.Errorf("%s: %s is below the minimum %s", k.Name, value, k.Min)
		}
	}
	if k.Max != "" {
		if maximum, _ := parse(k.Max); v > maximum {
			return fmt.Errorf("%s: %s is above the maximum %s", k.Name, value, k.Max)
		}
	}
	return nil
}

func checkAddress(k *Key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an IP address with a port, such as 127.0.0.1:7000", k.Name, value)
	}
	return nil
}

func checkBool(k *Key, value string) error {
	if value != "true" && value != "false" {
		return fmt.Errorf("%s: %q must be true or false", k.Name, value)
	}
	return nil
}

// position is a line and a column, both counted from 1.
type position struct{ line, column int }

// positions maps a section and a key to the position of the key in the file.
type positions map[[2]string]position

// locateKeys returns the position of each key in an INI text.
func locateKeys(text []byte) positions {
	keyPositions := positions{}
	section := "DEFAULT"
	for i, line := range strings.Split(string(text), "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") && strings.HasSuffix(trimmed, "]") {
			section = strings.TrimSpace(trimmed[1 : len(trimmed)-1])
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if !found {
			continue
		}
		indent := len(name) - len(strings.TrimLeft(name, " \t"))
		keyPositions[[2]string{section, strings.TrimSpace(name)}] = position{i + 1, indent + 1}
	}
	return keyPositions
}

// addPosition prefixes err with the file name, position and section of a key.
func (p positions) addPosition(name, section, key string, err error) error {
	pos := p[[2]string{section, key}]
	return fmt.Errorf("%s:%d:%d: [%s] %w", name, pos.line, pos.column, section, err)
}

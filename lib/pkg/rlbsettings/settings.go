package rlbsettings

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"gopkg.in/ini.v1"
)

// Settings holds the validated values of one program.
type Settings struct {
	program Program
	values  map[*Key]string
}

// Load reads and validates the INI file at path for program. An empty path
// returns the defaults. The error joins all problems, each with its line and
// column.
func Load(path string, program Program) (*Settings, error) {
	if path == "" {
		return Parse("defaults", nil, program)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, rlberror.New("load settings", KindRead, err)
	}
	return Parse(path, text, program)
}

// Parse parses and validates an INI text for program. The name prefixes each
// reported problem.
func Parse(name string, text []byte, program Program) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, rlberror.Newf("parse settings", KindSyntax, "%s: %w", name, err)
	}
	s := &Settings{program: program, values: map[*Key]string{}}
	var problems []error
	keyPositions := locateKeys(text)
	for _, section := range file.Sections() {
		for _, entry := range section.Keys() {
			if err := s.set(section.Name(), entry.Name(), entry.Value()); err != nil {
				problems = append(problems, keyPositions.addPosition(name, section.Name(), entry.Name(), err))
			}
		}
	}
	if len(problems) > 0 {
		return nil, rlberror.New("check settings", KindInvalid, errors.Join(problems...))
	}
	return s, nil
}

func (s *Settings) set(section, name, value string) error {
	key, err := lookupKey(section, name)
	if err != nil {
		return err
	}
	if err := key.check(value); err != nil {
		return err
	}
	s.values[key] = value
	return nil
}

// Override sets a value from a command-line assignment section.name=value.
func (s *Settings) Override(assignment string) error {
	path, value, found := strings.Cut(assignment, "=")
	section, name, dotted := strings.Cut(path, ".")
	if !found || !dotted {
		return rlberror.Newf("override settings", KindSyntax, "%q: write section.key=value", assignment)
	}
	if err := s.set(section, name, value); err != nil {
		return rlberror.Newf("override settings", KindInvalid, "[%s] %w", section, err)
	}
	return nil
}

// Text returns the value of key, or its default if the key is not set.
func (s *Settings) Text(key *Key) string {
	if v, ok := s.values[key]; ok {
		return v
	}
	return key.Default
}

// Duration returns the value of a key of TypeDuration.
func (s *Settings) Duration(key *Key) time.Duration {
	d, _ := time.ParseDuration(s.Text(key)) // validated when set
	return d
}

// Int returns the value of a key of TypeInt.
func (s *Settings) Int(key *Key) int {
	n, _ := strconv.Atoi(s.Text(key)) // validated when set
	return n
}

// Ratio returns the value of a key of TypeRatio.
func (s *Settings) Ratio(key *Key) float64 {
	f, _ := strconv.ParseFloat(s.Text(key), 64) // validated when set
	return f
}

// Bytes returns the value of a key of TypeBytes.
func (s *Settings) Bytes(key *Key) rlbunit.Bytes {
	b, _ := rlbunit.ParseBytes(s.Text(key)) // validated when set
	return b
}

// Bool returns the value of a key of TypeBool.
func (s *Settings) Bool(key *Key) bool { return s.Text(key) == "true" }

// List returns the non-empty items of a key of TypeList.
func (s *Settings) List(key *Key) []string {
	var items []string
	for _, item := range strings.Split(s.Text(key), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

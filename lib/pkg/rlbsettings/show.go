package rlbsettings

import (
	"fmt"
	"io"
	"strings"
)

// Value is a key and its effective value.
type Value struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Values returns the effective values of all keys that the program reads.
func (s *Settings) Values() []Value {
	var all []Value
	for _, key := range Keys {
		if key.Programs&s.program != 0 {
			all = append(all, Value{key.Section, key.Name, s.Text(key)})
		}
	}
	return all
}

// Show writes the effective values as an INI file.
func (s *Settings) Show(w io.Writer) error {
	section := ""
	for _, v := range s.Values() {
		if v.Section != section {
			section = v.Section
			if _, err := fmt.Fprintf(w, "[%s]\n", section); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%s = %s\n", v.Key, v.Value); err != nil {
			return err
		}
	}
	return nil
}

// WritePage writes docs/SETTINGS.md, the reference of all keys, in Markdown.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `lib/pkg/rlbsettings/keys.go` by `rlbctl settings page`.\n")
	section := ""
	for _, key := range Keys {
		if key.Section != section {
			section = key.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type and unit | default | minimum | maximum | read by | description |\n|---|---|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", key.Name, key.Type, key.Default, key.Min, key.Max, key.Programs, key.Doc)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// String returns the names of the programs in the set, comma-separated.
func (p Program) String() string {
	var names []string
	for _, entry := range ProgramNames {
		if p&entry.Program != 0 {
			names = append(names, entry.Name)
		}
	}
	return strings.Join(names, ", ")
}

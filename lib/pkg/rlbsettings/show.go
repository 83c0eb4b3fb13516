package rlbsettings

import (
	"fmt"
	"io"
	"strings"
)

// Value is one key with its value in force.
type Value struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Values returns every key of the program with its value in force.
func (s *Settings) Values() []Value {
	var all []Value
	for _, key := range Keys {
		if key.Programs&s.program != 0 {
			all = append(all, Value{key.Section, key.Name, s.Text(key)})
		}
	}
	return all
}

// Show writes the values in force as an INI file.
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

// WritePage writes the documentation page of all keys in Markdown.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the table in `lib/pkg/rlbsettings/keys.go` by `rlbctl settings page`.\n")
	section := ""
	for _, key := range Keys {
		if key.Section != section {
			section = key.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type and unit | default | least | greatest | read by | meaning |\n|---|---|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", key.Name, key.Type, key.Default, key.Min, key.Max, key.Programs, key.Doc)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// String lists the names of the programs in the set.
func (p Program) String() string {
	var names []string
	for _, entry := range ProgramNames {
		if p&entry.Program != 0 {
			names = append(names, entry.Name)
		}
	}
	return strings.Join(names, ", ")
}

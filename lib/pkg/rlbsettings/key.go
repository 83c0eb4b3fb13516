// Package rlbsettings reads and validates the INI files of all programs. The
// table Keys holds the type, default, bounds and description of each key;
// validation, output of settings and the documentation page are derived from it.
package rlbsettings

// Type is the type of a key's value and determines the accepted units.
type Type int

// Types of values.
const (
	TypeText Type = iota
	TypeDuration
	TypeInt
	TypeRatio
	TypeBytes
	TypeAddress
	TypeList
	TypeBool
)

// String describes the type and its units for the documentation.
func (t Type) String() string {
	names := []string{"text", "duration (ns, us, ms, s, m, h)", "whole number", "number", "bytes (B, KiB, MiB, GiB)", "IP:port", "list, comma-separated", "true or false"}
	return names[t]
}

// Program is a bit set of the programs that read a key.
type Program int

// Programs that read settings.
const (
	ForGateway Program = 1 << iota
	ForController
	ForCtl
	ForStandin
	ForLoad
	ForNode
)

// ProgramNames lists the bit and the name of each program.
var ProgramNames = []struct {
	Program Program
	Name    string
}{{ForGateway, "rlb-gateway"}, {ForController, "rlb-controller"}, {ForCtl, "rlbctl"}, {ForStandin, "rlb-standin"}, {ForLoad, "rlb-load"}, {ForNode, "rlb-node"}}

// Key describes one key of a section.
type Key struct {
	Section  string
	Name     string
	Type     Type
	Default  string
	Min, Max string // empty means no bound
	Doc      string // description in the documentation page
	Programs Program
}

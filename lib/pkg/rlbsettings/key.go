// Package rlbsettings reads the INI files of all programs. One table (Keys)
// holds each key's meaning, unit, default and bounds; checking, showing and the
// documentation page are made from that table.
package rlbsettings

// Type is the type of a key's value, which also fixes its unit.
type Type int

// The types of values.
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

// String names the type with its unit for messages and the documentation.
func (t Type) String() string {
	names := []string{"text", "duration (ns, us, ms, s, m, h)", "whole number", "number", "bytes (B, KiB, MiB, GiB)", "IP:port", "list, comma-separated", "true or false"}
	return names[t]
}

// Program is a set of programs that read a key.
type Program int

// The programs that read settings.
const (
	ForGateway Program = 1 << iota
	ForController
	ForCtl
	ForStandin
	ForLoad
	ForNode
)

// ProgramNames maps each program's bit to its name.
var ProgramNames = []struct {
	Program Program
	Name    string
}{{ForGateway, "rlb-gateway"}, {ForController, "rlb-controller"}, {ForCtl, "rlbctl"}, {ForStandin, "rlb-standin"}, {ForLoad, "rlb-load"}, {ForNode, "rlb-node"}}

// Key describes one key of one section.
type Key struct {
	Section  string
	Name     string
	Type     Type
	Default  string
	Min, Max string // empty: no bound
	Doc      string
	Programs Program
}

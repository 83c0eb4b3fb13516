// Package rlbconfigcheck finds errors, entries without effect and contradictions in the
// config of a deployment before it is published, and says in words what it changes. It does
// no I/O.
package rlbconfigcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says how bad a finding is.
type Severity string

// Severities.
const (
	SeverityError   Severity = "error"   // requests or models are not served as the config says
	SeverityWarning Severity = "warning" // an entry has no effect, or contradicts another
)

// Rule names a rule of the check. The names are stable, so that scripts may rely on them.
type Rule string

// Finding is a place in a config that breaks a rule.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	Path     string   `json:"path"` // such as routes/NAME or services/NAME/models/NAME
	Problem  string   `json:"problem"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s [%s]", f.Severity, f.Path, f.Problem, f.Rule)
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(all []Finding) bool {
	return slices.ContainsFunc(all, func(f Finding) bool { return f.Severity == SeverityError })
}

// findings collects what a check finds.
type findings struct{ all []Finding }

func (f *findings) add(severity Severity, rule Rule, path, format string, args ...any) {
	f.all = append(f.all, Finding{severity, rule, path, fmt.Sprintf(format, args...)})
}

// sorted returns the findings, errors first, then by path and rule.
func (f *findings) sorted() []Finding {
	slices.SortFunc(f.all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Problem, b.Problem))
	})
	return f.all
}

package rlbworld

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// Update tells a subscriber what changed since the update before it. Rows are
// merged, so that a lost, late or doubled update does no harm.
type Update struct {
	Note      *rlbnote.State `msgpack:"n,omitempty"`
	Instances []Instance     `msgpack:"i,omitempty"`
	Engines   []Engine       `msgpack:"e,omitempty"`
	Loads     []Load         `msgpack:"l,omitempty"`
	Nodes     []Node         `msgpack:"o,omitempty"`
	Strikes   []Strike       `msgpack:"s,omitempty"`
}

// Scope selects what a subscriber is told.
type Scope uint8

// The scopes. Loads and nodes change all the time, so that a subscriber with
// several sources asks each only for what that source collects itself.
const (
	ScopeAll  Scope = iota // everything: a gateway's only source
	ScopeOwn               // of loads and nodes, only what the source collects itself
	ScopeSlow              // no loads and, of nodes, only the source's own
)

// Cursor is how far one subscriber has been told.
type Cursor struct {
	scope                                     Scope
	note                                      uint64
	instances, engines, loads, nodes, strikes rlbtable.Revision
}

// NewCursor returns the cursor of a subscriber that knows nothing.
func NewCursor(scope Scope) *Cursor { return &Cursor{scope: scope} }

// Sources says which rows an instance collects itself.
type Sources interface {
	OwnsEngine(id string) bool
	OwnsNode(key NodeKey) bool
}

// Delta returns what changed since the cursor, and moves the cursor.
func (w *World) Delta(c *Cursor, sources Sources) Update {
	var u Update
	if w.note.Version > c.note {
		note := w.note
		u.Note, c.note = &note, note.Version
	}
	all := func(string) bool { return true }
	ownEngine, ownNode := all, func(NodeKey) bool { return true }
	if c.scope != ScopeAll {
		ownEngine, ownNode = sources.OwnsEngine, sources.OwnsNode
	}
	if c.scope == ScopeSlow {
		ownEngine = func(string) bool { return false }
	}
	u.Instances = delta(w.instances.Table, &c.instances, all)
	u.Engines = delta(w.engines.Table, &c.engines, all)
	u.Loads = delta(w.loads.Table, &c.loads, ownEngine)
	u.Nodes = delta(w.nodes.Table, &c.nodes, ownNode)
	u.Strikes = delta(w.strikes.Table, &c.strikes, func(StrikeKey) bool { return true })
	return u
}

// delta returns the rows changed since *revision. Deleted rows are not told:
// each instance drops them by its own clock.
func delta[K comparable, R any](t *rlbtable.Table[K, R], revision *rlbtable.Revision, include func(K) bool) []R {
	changes, _ := t.Since(*revision)
	*revision = t.Revision()
	var rows []R
	for _, change := range changes {
		if !change.Deleted && include(change.Key) {
			rows = append(rows, change.Row)
		}
	}
	return rows
}

// Merge takes an update that came at now.
func (w *World) Merge(u Update, now time.Time) {
	if u.Note != nil {
		w.MergeNote(*u.Note)
	}
	for _, row := range u.Instances {
		w.instances.Merge(row.ID, row)
	}
	for _, row := range u.Engines {
		w.engines.Merge(row.ID, row)
	}
	for _, row := range u.Loads {
		if w.loads.Merge(row.ID, row) {
			w.reported[row.ID] = now
		}
	}
	for _, row := range u.Nodes {
		w.MergeNode(row, now)
	}
	for _, row := range u.Strikes {
		w.MergeStrike(row)
	}
}

package rlbfleetstate

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
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
	Crashes   []Crash        `msgpack:"s,omitempty"`
	// Burn and Refusals are only in a gateway's report. They are counted and
	// told to operators, not merged.
	Burn     []Burn    `msgpack:"b,omitempty"`
	Refusals []Refusal `msgpack:"r,omitempty"`
}

// Refusal says why a gateway did not answer a request.
type Refusal struct {
	RequestID string `msgpack:"i"`
	Text      string `msgpack:"t"`
}

// Burn is what became of a model's requests since a gateway's last report.
type Burn struct {
	Model         string `msgpack:"m"`
	rlbburn.Count `msgpack:",inline"`
}

// Scope selects what a subscriber is told, so that each row reaches it once or
// twice and not from every instance that knows it. The release note and strikes
// are told in every scope.
type Scope uint8

// The scopes.
const (
	ScopeAll         Scope = iota // everything: a gateway's only source
	ScopeSameDomain               // a controller of the same failure domain: what the source collects itself or hears from other domains
	ScopeOtherDomain              // a controller of another failure domain: what the source's own domain collects; loads only of a small domain
)

// Origin is where an instance has a row from.
type Origin uint8

// The origins.
const (
	OriginSelf        Origin = iota // collected by this instance
	OriginSameDomain                // told by an instance of the same failure domain
	OriginOtherDomain               // told by an instance of another failure domain
)

// scopeOrigins lists the origins of the rows that each scope is told.
var scopeOrigins = map[Scope][]Origin{
	ScopeAll:         {OriginSelf, OriginSameDomain, OriginOtherDomain},
	ScopeSameDomain:  {OriginSelf, OriginOtherDomain},
	ScopeOtherDomain: {OriginSelf, OriginSameDomain},
}

// Cursor is how far one subscriber has been told.
type Cursor struct {
	scope                                     Scope
	noteVersion                               uint64
	instances, engines, loads, nodes, strikes rlbtable.Revision
}

// NewCursor returns the cursor of a subscriber that knows nothing.
func NewCursor(scope Scope) *Cursor { return &Cursor{scope: scope} }

// Delta returns what changed since the cursor, and moves the cursor.
func (w *State) Delta(c *Cursor) Update {
	var u Update
	if w.note.Version > c.noteVersion {
		note := w.note
		u.Note, c.noteVersion = &note, note.Version
	}
	scope := scopeOrigins[c.scope]
	u.Instances = delta(w.instances.Table, &c.instances, w.origins.instances.filter(scope))
	u.Engines = delta(w.engines.Table, &c.engines, w.origins.engines.filter(scope))
	u.Nodes = delta(w.nodes.Table, &c.nodes, w.origins.nodes.filter(scope))
	u.Crashes = delta(w.strikes.Table, &c.strikes, func(CrashKey) bool { return true })
	loads := w.origins.loads.filter(scope)
	if c.scope == ScopeOtherDomain {
		if w.loads.Len() > maxOtherDomainLoads {
			loads = func(string) bool { return false }
		}
		u.Nodes = slices.DeleteFunc(u.Nodes, func(n Node) bool { return n.Domain == nil && w.nodes.Len() > maxOtherDomainNodes })
	}
	u.Loads = delta(w.loads.Table, &c.loads, loads)
	return u
}

// Limits up to which a failure domain's details are told to other domains.
// Beyond them only summaries are.
const (
	maxOtherDomainLoads = 64
	maxOtherDomainNodes = 64
)

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

// Merge takes an update that came at now from an instance of the same failure
// domain (OriginDomain), of another one, or collected here (OriginSelf).
func (w *State) Merge(u Update, origin Origin, now time.Time) {
	if u.Note != nil {
		w.MergeNote(*u.Note)
	}
	for _, row := range u.Instances {
		if w.instances.Merge(row.ID, row) {
			w.origins.instances[row.ID] = origin
		}
	}
	for _, row := range u.Engines {
		if w.engines.Merge(row.ID, row) {
			w.origins.engines[row.ID] = origin
		}
	}
	for _, row := range u.Loads {
		if w.loads.Merge(row.ID, row) {
			w.lastReports[row.ID] = now
			w.origins.loads[row.ID] = origin
		}
	}
	for _, row := range u.Nodes {
		w.MergeNode(row, origin, now)
	}
	for _, row := range u.Crashes {
		w.MergeCrash(row)
	}
}

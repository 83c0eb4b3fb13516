package rlbfleetstate

import (
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtable"
)

// Update holds the rows that changed since the previous update to a subscriber.
// Rows are merged by version, so lost, late or duplicated updates are harmless.
type Update struct {
	Note      *rlbnote.State `msgpack:"n,omitempty"`
	Instances []Instance     `msgpack:"i,omitempty"`
	Engines   []Engine       `msgpack:"e,omitempty"`
	Loads     []Load         `msgpack:"l,omitempty"`
	Processes []Process      `msgpack:"o,omitempty"`
	Crashes   []Crash        `msgpack:"s,omitempty"`
	// Burn and Refusals occur only in reports of gateways. They are counted and
	// shown to operators, not merged.
	Burn     []Burn    `msgpack:"b,omitempty"`
	Refusals []Refusal `msgpack:"r,omitempty"`
}

// Refusal is the reason why a gateway refused a request.
type Refusal struct {
	RequestID string `msgpack:"i"`
	Text      string `msgpack:"t"`
}

// Burn counts the outcomes of the requests for a model since the gateway's last
// report.
type Burn struct {
	Model         string `msgpack:"m"`
	rlbburn.Count `msgpack:",inline"`
}

// Scope selects the rows that a subscriber receives, so that each row reaches it
// once or twice and not from every instance that has it. The release note and
// crash records are sent in every scope.
type Scope uint8

// The scopes.
const (
	ScopeAll         Scope = iota // all rows, for a gateway, which has no other source
	ScopeSameDomain               // for a controller of the same failure domain: rows that the sender collects itself or receives from other domains
	ScopeOtherDomain              // for a controller of another failure domain: rows collected in the sender's domain; loads only of a small domain
)

// Origin is the source from which an instance received a row.
type Origin uint8

// The origins.
const (
	OriginSelf        Origin = iota // collected by this instance
	OriginSameDomain                // received from an instance of the same failure domain
	OriginOtherDomain               // received from an instance of another failure domain
)

// scopeOrigins lists the origins of the rows that belong to each scope.
var scopeOrigins = map[Scope][]Origin{
	ScopeAll:         {OriginSelf, OriginSameDomain, OriginOtherDomain},
	ScopeSameDomain:  {OriginSelf, OriginOtherDomain},
	ScopeOtherDomain: {OriginSelf, OriginSameDomain},
}

// Cursor is the position of a subscriber in the changes sent to it.
type Cursor struct {
	scope                                         Scope
	noteVersion                                   uint64
	instances, engines, loads, processes, crashes rlbtable.Revision
}

// NewCursor returns the cursor of a subscriber that has received nothing.
func NewCursor(scope Scope) *Cursor { return &Cursor{scope: scope} }

// Delta returns the rows changed since the cursor, and advances the cursor.
func (s *State) Delta(c *Cursor) Update {
	var u Update
	if s.note.Version > c.noteVersion {
		note := s.note
		u.Note, c.noteVersion = &note, note.Version
	}
	included := scopeOrigins[c.scope]
	u.Instances = delta(s.instances.Table, &c.instances, s.origins.instances.filter(included))
	u.Engines = delta(s.engines.Table, &c.engines, s.origins.engines.filter(included))
	u.Processes = delta(s.processes.Table, &c.processes, s.origins.processes.filter(included))
	u.Crashes = delta(s.crashes.Table, &c.crashes, func(CrashKey) bool { return true })
	loads := s.origins.loads.filter(included)
	if c.scope == ScopeOtherDomain {
		if s.loads.Len() > maxOtherDomainLoads {
			loads = func(string) bool { return false }
		}
		u.Processes = slices.DeleteFunc(u.Processes, func(p Process) bool { return p.Domain == nil && s.processes.Len() > maxOtherDomainProcesses })
	}
	u.Loads = delta(s.loads.Table, &c.loads, loads)
	return u
}

// Limits for the loads and nodes of a failure domain that are sent to other
// domains. Above them, no loads and only nodes with a domain summary are sent.
const (
	maxOtherDomainLoads     = 64
	maxOtherDomainProcesses = 64
)

// delta returns the rows changed since *revision. Deleted rows are not sent:
// each instance expires them by its own clock.
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

// Merge applies an update received at now from an instance of the same failure
// domain (OriginSameDomain) or of another one (OriginOtherDomain), or collected by
// this instance (OriginSelf).
func (s *State) Merge(u Update, origin Origin, now time.Time) {
	if u.Note != nil {
		s.MergeNote(*u.Note)
	}
	for _, row := range u.Instances {
		if s.instances.Merge(row.ID, row) {
			s.origins.instances[row.ID] = origin
		}
	}
	for _, row := range u.Engines {
		if s.engines.Merge(row.ID, row) {
			s.origins.engines[row.ID] = origin
		}
	}
	for _, row := range u.Loads {
		if s.loads.Merge(row.ID, row) {
			s.lastReports[row.ID] = now
			s.origins.loads[row.ID] = origin
		}
	}
	for _, row := range u.Processes {
		s.MergeHeartbeat(row, origin, now)
	}
	for _, row := range u.Crashes {
		s.MergeCrash(row)
	}
}

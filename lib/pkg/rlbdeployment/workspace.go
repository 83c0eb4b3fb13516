package rlbdeployment

import "slices"

// QuotaUnit says what a quota counts.
type QuotaUnit int

// Units of quotas.
const (
	UnitRequests QuotaUnit = iota // each request counts as one
	UnitTokens                    // a request counts as its prompt tokens and the most that it may generate
)

// Quota limits what the callers of a workspace may ask of all instances together. It is
// immutable. The zero value is no limit.
type Quota struct {
	perSecond     float64
	burst         float64
	unit          QuotaUnit
	defaultTokens int
}

// NewQuota returns a quota of perSecond units a second and a burst beyond these; perSecond 0
// is no limit. A request that does not state its tokens counts as defaultTokens.
func NewQuota(perSecond, burst float64, unit QuotaUnit, defaultTokens int) Quota {
	return Quota{perSecond: perSecond, burst: burst, unit: unit, defaultTokens: defaultTokens}
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.perSecond > 0 }

// PerSecond returns the rate of the quota in units a second.
func (q Quota) PerSecond() float64 { return q.perSecond }

// Burst returns how many units may be used at once beyond the rate.
func (q Quota) Burst() float64 { return q.burst }

// Unit returns what the quota counts.
func (q Quota) Unit() QuotaUnit { return q.unit }

// Cost returns what a request with a number of tokens counts as; stated says whether the
// caller stated the number.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.unit == UnitRequests:
		return 1
	case stated:
		return float64(tokens)
	default:
		return float64(q.defaultTokens)
	}
}

// Workspace is a group of callers that are identified by keys and share a quota. It is
// immutable.
type Workspace struct {
	name     string
	keys     func() []string // a function, so that printing a workspace or a config shows no key
	priority int
	ranked   bool // priority applies in place of those of the routes
	quota    Quota
}

// NewWorkspace returns a workspace without a priority of its own.
func NewWorkspace(name string, keys []string, quota Quota) Workspace {
	own := slices.Clone(keys)
	return Workspace{name: name, keys: func() []string { return own }, quota: quota}
}

// WithPriority returns a copy of the workspace whose requests have a priority whatever that
// of their route is; 0 is the highest.
func (w Workspace) WithPriority(priority int) Workspace {
	w.priority, w.ranked = priority, true
	return w
}

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.name }

// Keys returns the keys of the callers of the workspace. They are secrets.
func (w Workspace) Keys() []string {
	if w.keys == nil {
		return nil
	}
	return w.keys()
}

// String returns the name of the workspace, without its keys.
func (w Workspace) String() string { return w.name }

// Quota returns the quota of the workspace.
func (w Workspace) Quota() Quota { return w.quota }

// HasPriority reports whether the workspace has a priority of its own.
func (w Workspace) HasPriority() bool { return w.ranked }

// Priority returns the priority of a request on a route with a priority.
func (w Workspace) Priority(ofRoute int) int {
	if w.ranked {
		return w.priority
	}
	return ofRoute
}

// Package rlbleaving divides the time within which all instances must stop using an
// endpoint, counted from the acknowledgement that it leaves, among the steps on the way:
// the hand-over after the loss of the instance that watches the object API, the grace
// period of a removed entry, and the messages between instances.
package rlbleaving

import (
	"cmp"
	"time"
)

// DefaultBound is the bound of deployments that set none.
const DefaultBound = 2 * time.Second

// BatchDelay is how long a watcher waits after a change, so that its next call returns
// several changes.
const BatchDelay = 250 * time.Millisecond

// RemovalGrace is the time in which a removed entry may come back, as the platform may remove
// that of a live endpoint in an outage too short to be detected.
const RemovalGrace = 900 * time.Millisecond

const (
	// publishDelay is the time between what a watcher knows and its receipt by others.
	publishDelay = 50 * time.Millisecond
	// reserveShare is the part of the bound, as a divisor, that is kept for late messages
	// and for requests that were sent just before.
	reserveShare = 5
	// Limits of the silence after which a watcher counts as lost: at least two digests are
	// missing, and at most it no longer counts as live for any other duty either.
	minSilence = 600 * time.Millisecond
	maxSilence = 1200 * time.Millisecond
)

// Budget is the division of a bound.
type Budget struct{ bound time.Duration }

// NewBudget returns the budget of a bound, the longest time between the acknowledgement
// that an endpoint leaves and the last request to it. Zero stands for DefaultBound.
func NewBudget(bound time.Duration) Budget { return Budget{cmp.Or(bound, DefaultBound)} }

// Bound returns the whole time.
func (b Budget) Bound() time.Duration { return b.bound }

// Silence returns the time without a message after which the next instance takes over
// from a watcher.
func (b Budget) Silence() time.Duration {
	return min(max(b.bound*3/10, minSilence), maxSilence)
}

// DropAt returns the end of the grace period of an entry whose removal became known at
// now from an answer without delay.
func (b Budget) DropAt(now time.Time) time.Time {
	return now.Add(max(0, min(RemovalGrace, b.bound-b.bound/reserveShare-BatchDelay-publishDelay)))
}

// LatestDropAt returns the end of the grace periods of all entries that may have been
// removed since the latest message of a watcher, received at heardAt.
func (b Budget) LatestDropAt(heardAt time.Time) time.Time {
	return heardAt.Add(b.bound - b.bound/reserveShare - BatchDelay - publishDelay)
}

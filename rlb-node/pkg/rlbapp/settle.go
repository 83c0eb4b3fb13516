package rlbapp

import "time"

// settleTime is how long after its start an instance waits for digests of the others before
// it takes up duties that one instance of a failure domain has. Without it each instance of
// a fleet that starts would watch the object API and contend for the lease.
const settleTime = 700 * time.Millisecond

// settled reports whether the instance knows well enough which other instances there are:
// after settleTime, or at once if it is registered from before its restart as the first of
// its domain.
func (a *app) settled() bool {
	return a.firstRegistered.Load() || a.now().Sub(a.startedAt) >= settleTime
}

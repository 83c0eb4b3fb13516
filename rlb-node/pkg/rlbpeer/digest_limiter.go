package rlbpeer

import "time"

// Timing of digests and summaries.
const (
	checkInterval = 50 * time.Millisecond  // interval between checks whether a message is due
	digestPeriod  = 250 * time.Millisecond // longest time between two digests
	summaryPeriod = 150 * time.Millisecond // shortest time between two summaries
	// digestBytesPerSecond limits the digests that an instance sends because of changes, so that instances of a large domain send fewer of them.
	digestBytesPerSecond = 128 << 10
)

// digestLimiter determines when digests and summaries are due. A change of the load is
// published as soon as the limit allows: instances that receive it late send their
// requests to the same endpoint at once. So is a stream that begins: what its instance has not
// published is lost with it.
type digestLimiter struct {
	changes     uint64    // number of changes in the latest digest
	nextDigest  time.Time // when the next digest is due without a change
	nextAllowed time.Time // when a digest with changes is allowed
	nextSummary time.Time // when the next summary is due
}

// digestDue reports whether a digest is due. changes increases with each change.
func (l *digestLimiter) digestDue(now time.Time, changes uint64) bool {
	if now.Before(l.nextDigest) && (changes == l.changes || now.Before(l.nextAllowed)) {
		return false
	}
	l.changes, l.nextDigest = changes, now.Add(digestPeriod)
	return true
}

// digestSent records the number of bytes that a digest took for all targets.
func (l *digestLimiter) digestSent(now time.Time, bytes int) {
	l.nextAllowed = now.Add(time.Duration(bytes) * time.Second / digestBytesPerSecond)
}

// summaryDue reports whether a summary is due.
func (l *digestLimiter) summaryDue(now time.Time) bool {
	if now.Before(l.nextSummary) {
		return false
	}
	l.nextSummary = now.Add(summaryPeriod)
	return true
}

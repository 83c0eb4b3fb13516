package rlbpeer

import "time"

// Timing of digests and summaries.
const (
	checkInterval = 50 * time.Millisecond  // interval between checks whether a message is due
	digestPeriod  = 250 * time.Millisecond // longest time between two digests
	summaryPeriod = 150 * time.Millisecond // shortest time between two summaries
	// digestBytesPerSecond limits the digests that an instance sends because of changes
	// of its load, so that instances of a large domain send fewer of them.
	digestBytesPerSecond = 128 << 10
)

// digestLimiter determines when digests and summaries are due. A change of the load is
// published as soon as the limit allows: instances that receive it late send their
// requests to the same endpoint at once.
type digestLimiter struct {
	loadVersion uint64    // load version in the latest digest
	nextDigest  time.Time // when the next digest is due without a change of the load
	nextAllowed time.Time // when a digest with a changed load is allowed
	nextSummary time.Time // when the next summary is due
}

// digestDue reports whether a digest is due. loadVersion increases with each change of
// the load.
func (l *digestLimiter) digestDue(now time.Time, loadVersion uint64) bool {
	if now.Before(l.nextDigest) && (loadVersion == l.loadVersion || now.Before(l.nextAllowed)) {
		return false
	}
	l.loadVersion, l.nextDigest = loadVersion, now.Add(digestPeriod)
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

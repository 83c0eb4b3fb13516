package rlbpeer

import "time"

// Terms of how often the others are told.
const (
	checkInterval = 50 * time.Millisecond  // between two looks whether there is news
	digestPeriod  = 250 * time.Millisecond // longest time between two digests
	summaryPeriod = 150 * time.Millisecond // between two summaries
	// digestBytesPerSecond is what digests of news may cost an instance in a second: a large
	// domain is told less often.
	digestBytesPerSecond = 128 << 10
)

// digestLimiter says when digests and summaries are due. Load that is told late sends
// several instances to one endpoint at once, so news is told soon.
type digestLimiter struct {
	loadVersion uint64    // as told last
	nextDigest  time.Time // when the next one is due anyhow
	nextAllowed time.Time // when news may be told
	nextSummary time.Time // when the next one is due
}

// digestDue reports whether a digest is due; news counts up with each change of
// the load.
func (l *digestLimiter) digestDue(now time.Time, loadVersion uint64) bool {
	if now.Before(l.nextDigest) && (loadVersion == l.loadVersion || now.Before(l.nextAllowed)) {
		return false
	}
	l.loadVersion, l.nextDigest = loadVersion, now.Add(digestPeriod)
	return true
}

// digestSent notes how many bytes a digest took.
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

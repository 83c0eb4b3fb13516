package rlbpeer

import "time"

// Terms of how often the others are told.
const (
	paceTick      = 50 * time.Millisecond  // between two looks whether there is news
	digestPeriod  = 250 * time.Millisecond // longest time between two digests
	summaryPeriod = 150 * time.Millisecond // between two summaries
	// digestBytes is what digests of news may cost an instance in a second: a large
	// domain is told less often.
	digestBytes = 128 << 10
)

// pace says when digests and summaries are due. Load that is told late sends
// several instances to one endpoint at once, so news is told soon.
type pace struct {
	news      uint64    // as told last
	digest    time.Time // when the next one is due anyhow
	rested    time.Time // when news may be told
	summaryAt time.Time // when the next one is due
}

// digestDue reports whether a digest is due; news counts up with each change of
// the load.
func (p *pace) digestDue(now time.Time, news uint64) bool {
	if now.Before(p.digest) && (news == p.news || now.Before(p.rested)) {
		return false
	}
	p.news, p.digest = news, now.Add(digestPeriod)
	return true
}

// told notes how many bytes a digest took.
func (p *pace) told(now time.Time, bytes int) {
	p.rested = now.Add(time.Duration(bytes) * time.Second / digestBytes)
}

// summaryDue reports whether a summary is due.
func (p *pace) summaryDue(now time.Time) bool {
	if now.Before(p.summaryAt) {
		return false
	}
	p.summaryAt = now.Add(summaryPeriod)
	return true
}

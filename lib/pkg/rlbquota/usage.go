package rlbquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key returns the key of a workspace in messages, a hash of its name.
func Key(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace)) }

// Usage is what an instance or a failure domain publishes about a workspace. Amounts are in
// units of the quota.
type Usage struct {
	Workspace uint32  // see Key
	Used      float64 // sum of what was admitted, of which each part decays with usedTime
	Asked     float64 // units a second that callers ask for
	Reserved  float64 // share of the limit that silent instances of the domain may use
	Level     float64 // of the bucket as the source follows it; the mean if it is a domain
}

// finite returns a number from a message, 0 if it is none that can be meant.
func finite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// decaying is an amount that decays exponentially.
type decaying struct {
	amount float64 // at updated
	at     time.Time
}

// value returns the amount at now if it decays with a time constant.
func (d decaying) value(now time.Time, constant time.Duration) float64 {
	if d.amount == 0 || !now.After(d.at) {
		return d.amount
	}
	return d.amount * math.Exp(-now.Sub(d.at).Seconds()/constant.Seconds())
}

// add adds an amount at now.
func (d *decaying) add(now time.Time, constant time.Duration, amount float64) {
	d.amount, d.at = max(0, d.value(now, constant)+amount), now
}

// maxMembers is the largest number of members that a message can mean.
const maxMembers = 1 << 20

// Message identifies a message of a source.
type Message struct {
	Source      string // name of the instance, or of the failure domain
	Sender      string // name of the instance that sent it
	Incarnation int64  // of the sender
	Sequence    uint64 // increases within an incarnation
	Members     int    // live instances that the message is about
	Draining    bool   // the source takes no new requests; what it does not use is given back
}

// source is another instance of the own failure domain, or another domain.
type source struct {
	latest Message
	heard  time.Time // when the latest message was received
	domain bool      // another failure domain
}

// supersededBy reports whether a message received at now is newer than the latest one.
func (s *source) supersededBy(now time.Time, m Message) bool {
	if m.Sender != s.latest.Sender {
		return true
	}
	if m.Incarnation == s.latest.Incarnation {
		return m.Sequence > s.latest.Sequence
	}
	return m.Incarnation > s.latest.Incarnation || s.silent(now)
}

// silent reports whether the source counts as cut off.
func (s *source) silent(now time.Time) bool { return now.Sub(s.heard) > silenceTime }

// fresh reports whether the latest message is as recent as one expects.
func (s *source) fresh(now time.Time) bool { return now.Sub(s.heard) <= freshTime }

// continuityOf returns how the usages of a message received at now relate to those before.
func (s *source) continuityOf(now time.Time, m Message) continuity {
	switch {
	case s.heard.IsZero():
		return unknown
	case !s.domain && s.latest.Incarnation != m.Incarnation:
		return restarted
	case s.latest.Sender != m.Sender || s.latest.Incarnation != m.Incarnation || s.silent(now):
		return interrupted
	default:
		return continued
	}
}

// report is what is known about the use of a workspace by a source.
type report struct {
	used     decaying // what it published
	residue  decaying // what is counted beside that, see follow
	asked    decaying
	reserved float64 // share of the limit reserved for silent instances of the source
	level    float64
	usual    float64    // asked, averaged over usualTime
	likely   float64    // rate that its callers are likely to ask for now
	unseen   float64    // likely to have been used before an interruption and not published
	next     continuity // of the next usage
	share    float64    // of the limit when the source was last heard, without reserved
}

// total returns what the source has used as far as it is counted.
func (r *report) total(now time.Time) float64 {
	return max(0, r.used.value(now, usedTime)+r.residue.value(now, usedTime))
}

// continuity says how a usage that is published relates to the usage before.
type continuity int

const (
	continued   continuity = iota // what is more was used since then
	restarted                     // the instance has used nothing before its start
	interrupted                   // by another sender or a silence
	unknown                       // nothing was heard of the source before
)

// follow takes in a usage that is published. It returns what was used since the usage
// before. What an instance used before a restart remains as a residue. After an interruption
// the two usages can't be compared: what it is likely to have used counts, unless it was silent
// and had a share of its own, and the residue makes up for the difference.
func (r *report) follow(now time.Time, u Usage) float64 {
	before, c := r.total(now), r.next
	r.next = continued
	if c == restarted {
		r.residue = decaying{before, now}
	}
	r.used = decaying{finite(u.Used), now}
	r.usual += (finite(u.Asked) - r.usual) * (1 - math.Exp(-now.Sub(r.asked.at).Seconds()/usualTime.Seconds()))
	r.asked, r.reserved = decaying{finite(u.Asked), now}, min(finite(u.Reserved), 1)
	r.level = finite(u.Level) - finite(-u.Level)
	switch c {
	case continued, restarted:
		return r.total(now) - before
	case interrupted:
		r.residue = decaying{before + r.unseen - r.used.amount, now}
		return r.unseen
	case unknown:
	}
	return 0
}

// reservedAt returns the share of the limit reserved for silent instances of the source.
func (r *report) reservedAt(now time.Time, silent bool) float64 {
	if !silent && now.Sub(r.asked.at) > publishedTime {
		return 0 // no longer published
	}
	return r.reserved
}

// askedAt returns the rate that callers of the source asked for when it was heard last. It
// stays for a while, within which another usage is published if there are requests.
func (r *report) askedAt(heard time.Time) float64 {
	return r.asked.value(heard.Add(-freshTime), askedTime)
}

package rlbcrash

import (
	"cmp"
	"slices"
	"time"
)

// Rules of refusals.
const (
	// crashThreshold is the number of crashes that only the property explains from which
	// on requests with it are refused.
	crashThreshold = 3
	// simultaneousCrashes is the time within which crashes count as one: endpoints that fail
	// together were running many requests with the same parts, and maybe equal ones.
	simultaneousCrashes = 50 * time.Millisecond
	// refusalTime is how long requests are refused after the crash that reaches the
	// threshold. Each further crash doubles it.
	refusalTime = time.Minute
	// recordTTL is how long after its latest crash a record is kept.
	recordTTL = 2 * time.Hour
	// minOtherAnswers is the number of other requests of the service that must have been
	// answered since the crashes began before a property is suspected that was answered
	// earlier: the endpoints may all have failed for another reason.
	minOtherAnswers = 10
)

// verdict is the decision about a property.
type verdict struct {
	until   time.Time // requests are refused until then; afterwards single ones are tried
	crashes int
	since   time.Time // first crash that counts
	// contrast reports that the property was answered earlier, so that requests with it are
	// refused only while other requests of the service are answered.
	contrast bool
}

// candidate is a property with its unrefuted crashes.
type candidate struct {
	record *Record
	open   []Crash
}

// decide returns the verdicts about the properties that explain crashThreshold crashes or
// more. Crashes that one property explains do not count for those after it: first come
// properties that were never answered, then prompt parts, which explain the crashes of
// many requests, then those with the most crashes.
func decide(records map[Property]*tracked) map[Property]verdict {
	var all []candidate
	for _, t := range records {
		if t.countOpen() >= crashThreshold {
			all = append(all, candidate{&t.Record, t.open()})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			compareBools(a.record.Answered, b.record.Answered),
			cmp.Compare(b.record.Property.Kind, a.record.Property.Kind),
			cmp.Compare(len(b.open), len(a.open)),
			cmp.Compare(a.record.Property.ID, b.record.Property.ID),
		)
	})
	explained := map[uint64]bool{}
	verdicts := map[Property]verdict{}
	for _, c := range all {
		left := slices.DeleteFunc(slices.Clone(c.open), func(crash Crash) bool { return explained[crash.Endpoint] })
		counted := countSeparate(left, c.record.Property.Kind)
		if counted < crashThreshold {
			continue
		}
		for _, crash := range left {
			explained[crash.Endpoint] = true
		}
		verdicts[c.record.Property] = verdict{
			until: c.record.lastCrash().Add(min(refusalTime<<(counted-crashThreshold), recordTTL)), crashes: counted, since: left[0].At, contrast: c.record.Answered,
		}
	}
	return verdicts
}

// countSeparate returns the number of crashes; those at the same moment count as one. A whole
// request that is sent on after a crash may bring about the next one within that moment: its
// attempt has begun after the crash before, while the attempts that one failure cuts off
// have all begun earlier.
func countSeparate(crashes []Crash, kind Kind) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		sentOn := kind == WholeRequest && c.Began.After(last)
		if n == 0 || sentOn || c.At.Sub(last) >= simultaneousCrashes {
			n, last = n+1, c.At
		}
	}
	return n
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

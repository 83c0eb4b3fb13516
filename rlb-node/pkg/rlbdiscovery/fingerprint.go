package rlbdiscovery

import (
	"encoding/binary"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// fingerprint is a number that two views have in common if they hold the same entries. It is
// computed again only after a change.
type fingerprint struct {
	value uint64
	valid bool
}

// sumOf returns what an entry adds to the fingerprint of a view, in any order.
func sumOf(name string, version rlbobject.Version) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name) // it never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(version)))
	return digest.Sum64()
}

// Fingerprint returns a number that other instances compare with theirs, and the revision of
// the entries. What one instance knows up to a revision another one may lack for good if it
// read a list that was old and learned of the removals before that list from nobody: changes
// alone do not show it. It returns 0 while entries up to the revision may be missing.
func (v *View) Fingerprint() (uint64, rlbobject.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.beyondList {
		return 0, v.revision
	}
	if !v.fingerprint.valid {
		sum := uint64(0)
		for _, e := range v.entries {
			if e.dropAt.IsZero() { // grace periods differ: who reads a removal first has the longest one
				sum ^= e.sum
			}
		}
		v.fingerprint = fingerprint{sum, true}
	}
	return v.fingerprint.value, v.revision
}

// Known returns the versions of all entries by name, also of those in their grace period, and
// the revision up to which no entry is missing; 0: some may be.
func (v *View) Known() (map[string]rlbobject.Version, rlbobject.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.beyondList {
		return nil, 0
	}
	known := make(map[string]rlbobject.Version, len(v.entries))
	for id, e := range v.entries {
		known[id] = e.version
	}
	return known, v.revision
}

// KeepKnown drops the entries that another instance does not know although it knows the
// changes up to a revision: they were removed before, so that no grace period is left. It takes
// over none: what is missing here up to that revision was removed here.
func (v *View) KeepKnown(known map[string]rlbobject.Version, revision rlbobject.Version, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	dropped := 0
	for id, e := range v.entries {
		if _, kept := known[id]; kept || e.version > revision {
			continue
		}
		v.keepRemoval(id, revision, false)
		v.dropEntry(id, "another instance that knows the same changes does not have the entry")
		dropped++
	}
	v.publish()
	v.log.WithFields(log.Fields{"source": source, "revision": revision.String(), "dropped": dropped}).Warn("compared all entries with those of another instance")
}

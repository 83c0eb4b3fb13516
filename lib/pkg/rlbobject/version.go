package rlbobject

import (
	"strconv"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// FirstEra is the era of an object API that was never restored.
const FirstEra = 1

// Sizes of the two parts of a Version. A number below 2^53 survives clients that decode
// numbers as floats, as those of endpoints may do with a fencing number.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(53-revisionBits) - 1
)

// Version orders the states of the object API and the writes of an object. It consists of
// an era, which rises with each restore from a copy, and the revision within that era,
// which a restore takes back. What was read in a later era replaces everything of an earlier
// one. APIs without eras use 0. A version without revision stands for a missing object.
type Version uint64

// NewVersion returns the version of a revision within an era.
func NewVersion(era, revision uint64) (Version, error) {
	if era > maxEra || revision > maxRevision {
		return 0, rlberror.Newf("combine era and revision", KindInvalid, "era %d or revision %d is out of range", era, revision)
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the era.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// Exists reports whether the version is that of an object that exists.
func (v Version) Exists() bool { return v.Revision() != 0 }

// String returns "ERA/REVISION", or the revision alone if there is no era.
func (v Version) String() string {
	revision := strconv.FormatUint(v.Revision(), 10)
	if v.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(v.Era(), 10) + "/" + revision
}

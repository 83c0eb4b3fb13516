package rlborigin

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// leftUnit is the unit of the times in a record.
const leftUnit = 100 * time.Millisecond

// Kind classifies the errors of this package.
type Kind int

// KindEncoding means that a record could not be encoded or decoded.
const KindEncoding Kind = iota

// String returns the text of the kind for error messages.
func (Kind) String() string { return "bad encoding" }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// storedOrigin is a version that serves, with the streams that began there. These are left
// out while the service, with those whose streams move there or from it, has only one version:
// then the origin of each stream is clear.
type storedOrigin struct {
	Service string         `json:"service"`
	Version string         `json:"version"`
	Era     uint64         `json:"era,omitempty"` // of the object API when the record was written
	Streams []storedStream `json:"streams,omitempty"`
	// MovedTo holds the services that callers of such streams go to since a config has moved
	// their route, and for how long that matters, in leftUnit.
	MovedTo map[string]uint64 `json:"moved_to,omitempty"`
}

func (o storedOrigin) origin() Origin { return Origin{o.Service, o.Version} }

// storedStream is the key of a stream, and for how long it may be taken up, in leftUnit. Times
// are relative, as clocks of processes differ.
type storedStream [2]uint64

// Record is what other processes need to know after the loss of this one.
type Record struct {
	Value []byte
	// Fingerprint changes with the value, but not as time alone passes, and as a stream begins
	// or ends only while its service has several versions.
	Fingerprint uint64
	origins     []Origin
}

// Record returns the record of this process as of now, to be stored in an era.
func (r *Registry) Record(era uint64) (Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var record Record
	origins := []storedOrigin{}
	now, digest := r.now(), xxhash.New()
	for _, origin := range slices.SortedFunc(maps.Keys(r.serving), compareOrigins) {
		if !now.Before(r.serving[origin]) {
			continue
		}
		stored := storedOrigin{Service: origin.Service, Version: origin.Version, Era: era, MovedTo: r.movesFrom(origin.Service)}
		if len(r.servingVersions(r.joined(origin.Service))) > 1 {
			stored.Streams = r.ownStreams(origin)
		}
		origins, record.origins = append(origins, stored), append(record.origins, origin)
		stored.addTo(digest)
	}
	value, err := json.Marshal(origins)
	if err != nil {
		return Record{}, rlberror.New("encode origins", KindEncoding, err)
	}
	record.Value, record.Fingerprint = value, digest.Sum64()
	return record, nil
}

// Storing records that a record is about to replace the stored one: until Stored is called,
// streams may begin only at what is in both.
func (r *Registry) Storing(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for origin := range r.stored {
		if !slices.Contains(record.origins, origin) {
			delete(r.stored, origin)
		}
	}
}

// Stored records that a record is stored.
func (r *Registry) Stored(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = map[Origin]bool{}
	for _, origin := range record.origins {
		r.stored[origin] = true
	}
}

// addTo adds all but the times to a digest.
func (o storedOrigin) addTo(digest *xxhash.Digest) {
	_, _ = digest.WriteString(o.Service + "\x00" + o.Version + "\x00")
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, o.Era))
	for _, to := range slices.Sorted(maps.Keys(o.MovedTo)) {
		_, _ = digest.WriteString("\x01" + to)
	}
	for _, s := range o.Streams {
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, s[0]))
	}
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// ownStreams returns the streams of this process that began at origin. r.mu is held.
func (r *Registry) ownStreams(origin Origin) []storedStream {
	var all []storedStream
	now := r.now()
	for key, s := range r.streams {
		if s.own && s.origin == origin && now.Before(s.expires) {
			all = append(all, storedStream{key, uint64((s.expires.Sub(now) + leftUnit - 1) / leftUnit)})
		}
	}
	slices.SortFunc(all, func(a, b storedStream) int { return cmp.Compare(a[0], b[0]) })
	return all
}

// StoredRecord is the record of an instance as it was read.
type StoredRecord struct {
	Value []byte
	Own   bool // stored by this process or by its predecessor of the same name
}

// Merge merges the records of all instances, which were read together in an era. It returns
// an error for those that cannot be decoded; what is unknown then stays so. A process
// continues the record of its predecessor, whose streams can be taken up for as long as a
// request lasts at most.
//
// A record of an earlier era may be a copy without what its instance stored last, for as long
// as streams of before the restore can be taken up.
func (r *Registry) Merge(records []StoredRecord, era uint64, longestRequest time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.era || r.eraSeenAt.IsZero() {
		r.era, r.eraSeenAt = era, r.now()
	}
	restoredLately := r.now().Sub(r.eraSeenAt) < longestRequest
	var failed []error
	r.recorded, r.recordedMoves, r.complete = map[Origin]bool{}, map[move]time.Time{}, true
	for _, record := range records {
		var origins []storedOrigin
		if err := json.Unmarshal(record.Value, &origins); err != nil {
			failed = append(failed, rlberror.New("decode origins", KindEncoding, err))
			r.complete = false
			continue
		}
		if restoredLately && slices.ContainsFunc(origins, func(o storedOrigin) bool { return o.Era < era }) {
			r.complete = false
		}
		r.mergeOrigins(origins, record.Own, longestRequest)
	}
	r.merged = true
	return errors.Join(failed...)
}

// mergeOrigins merges what a record contains. r.mu is held.
func (r *Registry) mergeOrigins(origins []storedOrigin, own bool, longestRequest time.Duration) {
	now, ofPredecessor := r.now(), own && !r.merged
	for _, o := range origins {
		r.recorded[o.origin()] = true
		if ofPredecessor {
			r.stored[o.origin()] = true
			r.extend(o.origin(), now.Add(longestRequest))
		}
		r.mergeMoves(o, ofPredecessor, now)
		for _, s := range o.Streams {
			r.merge(s, o.origin(), own, now)
		}
	}
}

// mergeMoves adds the moves of a record. r.mu is held.
func (r *Registry) mergeMoves(o storedOrigin, ofPredecessor bool, now time.Time) {
	for to, left := range o.MovedTo {
		m, until := move{o.Service, to}, now.Add(time.Duration(min(left, maxLeft))*leftUnit)
		if until.After(r.recordedMoves[m]) {
			r.recordedMoves[m] = until
		}
		if ofPredecessor {
			r.extendMove(m, until)
		}
	}
}

// maxLeft limits the times in a record, whatever it says, in leftUnit.
const maxLeft = uint64(24 * time.Hour / leftUnit)

// merge adds a stream of a record unless it is known. r.mu is held.
func (r *Registry) merge(s storedStream, origin Origin, own bool, now time.Time) {
	if _, known := r.streams[s[0]]; known || len(r.streams) >= maxStreams {
		return
	}
	r.streams[s[0]] = stream{origin, now.Add(time.Duration(min(s[1], maxLeft)) * leftUnit), own}
}

package rlborigin

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
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
// out while the service has only one version: then the origin of each stream is clear.
type storedOrigin struct {
	Service string         `json:"service"`
	Version string         `json:"version"`
	Streams []storedStream `json:"streams,omitempty"`
}

// storedStream is the key of a stream, and for how long it may be taken up, in leftUnit. Times
// are relative, as clocks of processes differ.
type storedStream [2]uint64

// Record encodes what other processes need to know after the loss of this one, and returns
// a number that changes with it. Passing time alone does not change the number, and a stream
// that begins or ends only while its service has several versions.
func (r *Registry) Record() (value []byte, fingerprint uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	origins := []storedOrigin{}
	now, digest := r.now(), xxhash.New()
	for _, origin := range slices.SortedFunc(maps.Keys(r.serving), compareOrigins) {
		if !now.Before(r.serving[origin]) {
			continue
		}
		stored := storedOrigin{Service: origin.Service, Version: origin.Version}
		if len(r.versionsOf(origin.Service)) > 1 {
			stored.Streams = r.ownStreams(origin)
		}
		origins = append(origins, stored)
		stored.addTo(digest)
	}
	if value, err = json.Marshal(origins); err != nil {
		return nil, 0, rlberror.New("encode origins", KindEncoding, err)
	}
	return value, digest.Sum64(), nil
}

// addTo adds all but the times to a digest.
func (o storedOrigin) addTo(digest *xxhash.Digest) {
	_, _ = digest.WriteString(o.Service + "\x00" + o.Version + "\x00")
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

// Merge adds a record. Own reports that a process of this one's name stored it. The
// versions in records count once, see MarkComplete: what serves later is observed.
func (r *Registry) Merge(value []byte, own bool, longestRequest time.Duration) error {
	var origins []storedOrigin
	if err := json.Unmarshal(value, &origins); err != nil {
		return rlberror.New("decode origins", KindEncoding, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, o := range origins {
		origin := Origin{o.Service, o.Version}
		if !r.complete {
			r.extend(origin, now.Add(longestRequest))
		}
		for _, s := range o.Streams {
			r.merge(s, origin, own, now)
		}
	}
	return nil
}

// merge adds a stream of a record unless it is known. r.mu is held.
func (r *Registry) merge(s storedStream, origin Origin, own bool, now time.Time) {
	const maxLeft = uint64(24 * time.Hour / leftUnit)
	if _, known := r.streams[s[0]]; known || len(r.streams) >= maxStreams {
		return
	}
	r.streams[s[0]] = stream{origin, now.Add(time.Duration(min(s[1], maxLeft)) * leftUnit), own}
}

// MarkComplete records that all records were merged since the start of the process.
func (r *Registry) MarkComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// Package rlborigin tracks which software version began which stream. What two versions
// write for one request does not fit together, so that a stream that its caller takes up
// again may go on only at the version that began it. The instance that relayed the
// beginning may be gone by then: instances announce the streams that they begin to relay to
// others at once, see Announcements, and store what they know, see Record.
//
// An instance that does not remember a stream must not conclude from what it has heard
// which versions there are: it may hear of a version after others have begun streams there.
// So a stream begins only at a version that is in the stored record of its instance, see
// MayBegin, and a stream that nobody remembers is of the only version in all stored records,
// if these were read after the caller took it up, see Check. This package does no I/O.
package rlborigin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endedTTL is how long a stream that was relayed to its end is remembered: its last events
// may still be lost on the way to the caller.
const endedTTL = 2 * time.Second

// maxStreams limits the streams that are remembered, whatever other instances stored.
const maxStreams = 200_000

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the endpoint's software
}

// Verdict is what is known about the origin of a stream.
type Verdict int

// Verdicts.
const (
	Unknown Verdict = iota // it may be any of several versions, or one that nobody has named
	Known                  // the stream is remembered, or only one version can have begun it
)

// String returns the text of the verdict for the log.
func (v Verdict) String() string { return [...]string{"unknown", "known"}[v] }

// Registry holds the origins of streams. It is safe for concurrent use.
type Registry struct {
	now func() time.Time

	mu       sync.Mutex
	streams  map[uint64]stream
	serving  map[Origin]time.Time // observed by this process; until when streams that began there may be taken up
	stored   map[Origin]bool      // in the stored record of this instance
	recorded map[Origin]bool      // in the records of all instances that were merged last
	complete bool                 // these records contain all versions that may have begun streams

	moves         map[move]time.Time // observed by this process; until when streams from before may be taken up
	recordedMoves map[move]time.Time // the same in the records of all instances that were merged last

	merged bool // the records from before the start of the process were merged

	begun      []begunStream // to be announced
	begunCount uint64

	era       uint64    // in which the records were read
	eraSeenAt time.Time // when records were read in it first
}

// stream is the origin of one stream.
type stream struct {
	origin  Origin
	expires time.Time
	own     bool // relayed by this process, or by its predecessor of the same name
}

// New returns an empty registry.
func New(now func() time.Time) *Registry {
	return &Registry{now: now, streams: map[uint64]stream{}, serving: map[Origin]time.Time{}, stored: map[Origin]bool{}, recorded: map[Origin]bool{}, moves: map[move]time.Time{}, recordedMoves: map[move]time.Time{}}
}

func keyOf(request string) uint64 { return xxhash.Sum64String(request) }

// Observe records the origins that serve now. Streams that begin there may be taken up for
// as long as a request lasts at most.
func (r *Registry) Observe(serving []Origin, longestRequest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.now().Add(longestRequest)
	for _, origin := range serving {
		r.extend(origin, until)
	}
}

// extend records that streams of an origin may be taken up until a time. r.mu is held.
func (r *Registry) extend(origin Origin, until time.Time) {
	if until.After(r.serving[origin]) {
		r.serving[origin] = until
	}
}

// Began records that the first event of a request's stream came from origin. The caller may
// take the stream up until its deadline.
func (r *Registry) Began(request string, origin Origin, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extend(origin, deadline)
	if key := keyOf(request); len(r.streams) < maxStreams {
		r.streams[key] = stream{origin, deadline, true}
		r.announce(key, origin)
	}
}

// Ended records that a request's stream was relayed to its end.
func (r *Registry) Ended(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(request)
	ended, known := r.streams[key]
	if forget := r.now().Add(endedTTL); known && forget.Before(ended.expires) {
		ended.expires = forget
		r.streams[key] = ended
	}
}

// Lookup returns the origin of the stream of a request, if this process remembers the stream.
func (r *Registry) Lookup(request string) (origin Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.streams[keyOf(request)]
	return s.origin, known
}

// Check returns what is known about the stream that a request began, and its version if that
// is known; service is the one that the request goes to now. A config may have moved the route
// since, so that a remembered stream may be of another service: it goes on at its version all
// the same. About a stream that is not remembered the verdict holds only if the records of all
// instances were merged since the caller took the stream up: other instances may have begun it
// at a version of which this one has not heard.
func (r *Registry) Check(service, request string) (version string, verdict Verdict) {
	if origin, known := r.Lookup(request); known {
		return origin.Version, Known
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if versions := r.versionsOf(service); r.complete && len(versions) == 1 {
		return versions[0], Known
	}
	return "", Unknown
}

// versionsOf returns the versions that may have begun the streams which can be taken up at a
// service now: those that this process has observed, and those that any instance has
// stored, of the service and of those whose streams have moved there. r.mu is held.
func (r *Registry) versionsOf(service string) []string {
	var versions []string
	services := r.joined(service)
	for origin := range r.recorded {
		if slices.Contains(services, origin.Service) {
			versions = append(versions, origin.Version)
		}
	}
	versions = append(versions, r.servingVersions(services)...)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// servingVersions returns the versions of services that this process has observed and
// whose streams can be taken up now. r.mu is held.
func (r *Registry) servingVersions(services []string) []string {
	now := r.now()
	var versions []string
	for origin, until := range r.serving {
		if now.Before(until) && slices.Contains(services, origin.Service) {
			versions = append(versions, origin.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// MayBegin reports whether a stream may begin at an origin: it is in the stored record of
// this instance, so that every process learns of it, whatever happens to this one.
func (r *Registry) MayBegin(origin Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored[origin]
}

// Merged reports whether the records from before the start of the process were merged.
func (r *Registry) Merged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merged
}

// Expire forgets streams that can no longer be taken up.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for key, s := range r.streams {
		if !now.Before(s.expires) {
			delete(r.streams, key)
		}
	}
	for origin, until := range r.serving {
		if !now.Before(until) {
			delete(r.serving, origin)
		}
	}
	for m, until := range r.moves {
		if !now.Before(until) {
			delete(r.moves, m)
		}
	}
}

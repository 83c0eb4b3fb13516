// Package rlborigin tracks which software version began which stream. What two versions
// write for one request does not fit together, so that a stream that its caller takes up
// again may go on only at the version that began it. The instance that relayed the
// beginning may be gone by then: instances store what they know, see Record. This package
// does no I/O.
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
	Unknown Verdict = iota // it may be any of several versions
	Any                    // no endpoint can have begun it
	Known                  // the stream is remembered, or the service had only one version
)

// Registry holds the origins of streams. It is safe for concurrent use.
type Registry struct {
	now func() time.Time

	mu       sync.Mutex
	streams  map[uint64]stream
	serving  map[Origin]time.Time // until when streams that began there may be taken up
	complete bool                 // the records from before the start of the process were merged
}

// stream is the origin of one stream.
type stream struct {
	origin  Origin
	expires time.Time
	own     bool // relayed by this process, or by its predecessor of the same name
}

// New returns an empty registry.
func New(now func() time.Time) *Registry {
	return &Registry{now: now, streams: map[uint64]stream{}, serving: map[Origin]time.Time{}}
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
	if len(r.streams) < maxStreams {
		r.streams[keyOf(request)] = stream{origin, deadline, true}
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

// Check returns what is known about the stream that a request of a service began, and its
// version if that is known.
func (r *Registry) Check(service, request string) (version string, verdict Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, known := r.streams[keyOf(request)]; known && s.origin.Service == service {
		return s.origin.Version, Known
	}
	versions := r.versionsOf(service)
	switch {
	case !r.complete || len(versions) > 1:
		return "", Unknown
	case len(versions) == 1:
		return versions[0], Known
	default:
		return "", Any
	}
}

// versionsOf returns the versions of a service that may have begun streams which can be
// taken up now. r.mu is held.
func (r *Registry) versionsOf(service string) []string {
	now := r.now()
	var versions []string
	for origin, until := range r.serving {
		if origin.Service == service && now.Before(until) {
			versions = append(versions, origin.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Complete reports whether the records from before the start of the process were merged.
func (r *Registry) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
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
}

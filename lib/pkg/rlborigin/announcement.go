package rlborigin

import (
	"maps"
	"slices"
	"time"
)

// Limits of the announcements of an instance.
const (
	announceFor  = 600 * time.Millisecond // repeated for this long, as messages may be lost
	maxAnnounced = 1024                   // streams in one message; the latest stay
	// maxLearned limits the streams that other instances relay, so that there is always room
	// for those of this one.
	maxLearned = maxStreams / 2
)

// Announcement names streams that began at an origin lately, so that other instances know
// them whenever this one is gone.
type Announcement struct {
	Origin  Origin
	Streams []uint64
}

// begunStream is a stream that this process has begun to relay.
type begunStream struct {
	key    uint64
	origin Origin
	until  time.Time // end of its announcements
}

// announce makes a stream of this process part of the next announcements. r.mu is held.
func (r *Registry) announce(key uint64, origin Origin) {
	r.begun = append(r.begun, begunStream{key, origin, r.now().Add(announceFor)})
	r.begunCount++
}

// BegunCount returns how many streams this process has begun to relay.
func (r *Registry) BegunCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begunCount
}

// Announcements returns the streams of this process that began within announceFor.
func (r *Registry) Announcements() []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.begun = slices.DeleteFunc(r.begun, func(s begunStream) bool { return !now.Before(s.until) })
	if excess := len(r.begun) - maxAnnounced; excess > 0 {
		r.begun = slices.Delete(r.begun, 0, excess)
	}
	streams := map[Origin][]uint64{}
	for _, s := range r.begun {
		streams[s.origin] = append(streams[s.origin], s.key)
	}
	var all []Announcement
	for _, origin := range slices.SortedFunc(maps.Keys(streams), compareOrigins) {
		all = append(all, Announcement{origin, streams[origin]})
	}
	return all
}

// Learn adds the streams that another instance has announced. They may be taken up for as
// long as a request lasts at most.
func (r *Registry) Learn(announcements []Announcement, longestRequest time.Duration) {
	if len(announcements) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expires := r.now().Add(longestRequest)
	for _, a := range announcements {
		for _, key := range a.Streams {
			if _, known := r.streams[key]; !known && len(r.streams) < maxLearned {
				r.streams[key] = stream{a.Origin, expires, false}
			}
		}
	}
}

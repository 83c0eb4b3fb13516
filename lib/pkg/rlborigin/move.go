package rlborigin

import (
	"slices"
	"time"
)

// move says that a config sends the callers of streams of one service to another one. What
// these take up again may have begun at either.
type move struct{ from, to string }

// Moved records that a config sends callers who took their streams from one service to another
// one. Streams from before can be taken up for as long as a request lasts at most, or longer if
// their callers wait longer.
func (r *Registry) Moved(from, to string, longestRequest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.now().Add(longestRequest)
	for origin, takenUpUntil := range r.serving {
		if origin.Service == from && takenUpUntil.After(until) {
			until = takenUpUntil
		}
	}
	r.extendMove(move{from, to}, until)
}

// extendMove records a move that matters until a time. r.mu is held.
func (r *Registry) extendMove(m move, until time.Time) {
	if until.After(r.moves[m]) {
		r.moves[m] = until
	}
}

// joined returns a service and those that streams have moved between it and, in one step or
// several. An instance with an older config still sends callers the other way, so that the
// direction says nothing. r.mu is held.
func (r *Registry) joined(service string) []string {
	all, now := []string{service}, r.now()
	for i := 0; i < len(all); i++ {
		add := func(m move) {
			switch {
			case m.from == all[i] && !slices.Contains(all, m.to):
				all = append(all, m.to)
			case m.to == all[i] && !slices.Contains(all, m.from):
				all = append(all, m.from)
			}
		}
		for _, moves := range []map[move]time.Time{r.moves, r.recordedMoves} {
			for m, until := range moves {
				if now.Before(until) {
					add(m)
				}
			}
		}
	}
	return all
}

// movesFrom returns the services that streams of a service have moved to, with the time for
// which that matters, in leftUnit. r.mu is held.
func (r *Registry) movesFrom(service string) map[string]uint64 {
	var to map[string]uint64
	now := r.now()
	for m, until := range r.moves {
		if m.from != service || !now.Before(until) {
			continue
		}
		if to == nil {
			to = map[string]uint64{}
		}
		to[m.to] = uint64((until.Sub(now) + leftUnit - 1) / leftUnit)
	}
	return to
}

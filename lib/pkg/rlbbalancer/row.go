package rlbbalancer

import (
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Times for which an endpoint that fails gets no requests while others can.
const (
	firstPause = 300 * time.Millisecond
	longPause  = 5 * time.Second
	closedFor  = 300 * time.Millisecond // a model whose request the endpoint refused
	wrongFor   = 2 * time.Second        // an endpoint that is not what its entry says, until the entry changes
)

// Outcome is how an endpoint dealt with a request.
type Outcome int

// The outcomes.
const (
	OutcomeNeutral Outcome = iota // says nothing of the endpoint
	OutcomeSucceeded
	OutcomeFailed   // it answered, and failed
	OutcomeNoAnswer // it was not reached, or its answer broke off or did not come
)

type row struct {
	born     time.Time // of the life that the row is about
	inFlight int
	urgent   int                     // of those in flight, the urgent ones
	unread   int                     // prompt tokens of requests that have no answer yet
	slow     float64                 // part of its latest streams with a pause that was too long
	failures int                     // in a row
	paused   time.Time               // until when others are preferred
	lost     time.Time               // until when other instances are told that it was lost
	closed   map[string]time.Time    // models and adapters that it refused requests for, until when
	wrong    *rlbdeployment.Endpoint // entry that the endpoint does not match
	wrongTo  time.Time               // until when that counts
}

func (t *Balancer) row(e *rlbdeployment.Endpoint) *row {
	r := t.rows[e.ID]
	if r == nil {
		r = &row{born: e.StartedAt}
		t.rows[e.ID] = r
	}
	if e.StartedAt.After(r.born) {
		r.born, r.slow, r.failures, r.paused, r.lost, r.closed = e.StartedAt, 0, 0, time.Time{}, time.Time{}, nil
	}
	if r.wrong != nil && r.wrong != e {
		r.wrong = nil // it has another entry since
	}
	return r
}

// misplaced reports whether the endpoint does not match its entry.
func (r *row) misplaced(now time.Time) bool { return r.wrong != nil && now.Before(r.wrongTo) }

// doubtful reports whether the endpoint's latest answers were bad, or it does not
// match its entry.
func (r *row) doubtful(now time.Time) bool { return now.Before(r.paused) || r.misplaced(now) }

func (r *row) load() Load {
	return Load{InFlight: r.inFlight, Urgent: r.urgent, UnreadTokens: r.unread, SlowShare: r.slow}
}

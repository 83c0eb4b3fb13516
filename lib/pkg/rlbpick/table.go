// Package rlbpick chooses the endpoint of a request from what this instance and
// the others have in progress there, where the endpoint is, and how its latest
// answers were. It does no I/O.
package rlbpick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsite"
)

// Terms of an expected wait.
const (
	readPerMS   = 19                     // prompt tokens that an engine reads in a millisecond
	engineStay  = 4 * time.Second        // of a request at an engine, until one has ended
	plainStay   = 60 * time.Millisecond  // the same at a plain service
	stayWeight  = 0.05                   // of the latest request in the mean stay
	otherDomain = 30 * time.Millisecond  // that an endpoint in the own failure domain may be slower
	perRequest  = 4 * time.Millisecond   // by which each request in progress slows the others
	crowding    = 300 * time.Millisecond // that prompts being read delay the streams of an endpoint that pauses
	slowWeight  = 0.2                    // of the latest stream in an endpoint's share of slow ones
	urgentPart  = 6                      // of an engine's slots, one in so many is left to urgent requests
	tie         = 2 * time.Millisecond   // random, so that equal endpoints share the work
)

// Times for which an endpoint that fails gets no requests while others can.
const (
	firstPause = 300 * time.Millisecond
	longPause  = 5 * time.Second
	closedFor  = 300 * time.Millisecond // a model whose request the endpoint refused
	wrongFor   = 2 * time.Second        // an endpoint that is not what its entry says, until the entry changes
)

// enoughDoubts is how many other instances must have met an endpoint's failures
// for it to be passed over here: one alone may have met its own link's.
const enoughDoubts = 2

// Outcome is how an endpoint dealt with a request.
type Outcome int

// The outcomes.
const (
	OutcomeNeutral Outcome = iota // says nothing of the endpoint
	OutcomeGood
	OutcomeBad  // it answered, and failed
	OutcomeLost // it was not reached, or its answer broke off or did not come
)

// Table knows the load and the latest outcomes of endpoints. Its methods may be
// called from any goroutine.
type Table struct {
	mu    sync.Mutex
	news  uint64 // counts changes of load
	rows  map[string]*row
	stays map[string]time.Duration // mean time that a request takes at an endpoint, by service
}

type row struct {
	born     time.Time // of the life that the row is about
	inFlight int
	urgent   int                  // of those in flight, the urgent ones
	unread   int                  // prompt tokens of requests that have no answer yet
	slow     float64              // part of its latest streams with a pause that was too long
	failures int                  // in a row
	paused   time.Time            // until when others are preferred
	lost     time.Time            // until when other instances are told that it was lost
	closed   map[string]time.Time // models and adapters that it refused requests for, until when
	wrong    *rlbsite.Endpoint    // entry that the endpoint does not match
	wrongTo  time.Time            // until when that counts
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]*row{}, stays: map[string]time.Duration{}} }

func (t *Table) row(e *rlbsite.Endpoint) *row {
	r := t.rows[e.ID]
	if r == nil {
		r = &row{born: e.Born}
		t.rows[e.ID] = r
	}
	if e.Born.After(r.born) {
		r.born, r.slow, r.failures, r.paused, r.lost, r.closed = e.Born, 0, 0, time.Time{}, time.Time{}, nil
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

// Work is what a request asks of an endpoint.
type Work struct {
	Tokens int  // of its prompt
	Urgent bool // of the most urgent rank: engines run it before others, and in their place
}

// Begin notes that a request is sent to an endpoint. Answered notes, once, that its
// answer has begun.
func (t *Table) Begin(e *rlbsite.Endpoint, work Work) (answered func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight++
	t.news++
	r.unread += work.Tokens
	if work.Urgent {
		r.urgent++
	}
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.unread -= work.Tokens
		t.news++
	})
}

// End notes how a request that began at an endpoint ended, and how long it was
// there.
func (t *Table) End(now time.Time, e *rlbsite.Endpoint, work Work, outcome Outcome, stayed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.inFlight--
	if work.Urgent {
		r.urgent--
	}
	t.news++
	switch outcome {
	case OutcomeGood:
		r.failures, r.paused, r.lost = 0, time.Time{}, time.Time{}
		t.noteStay(e.Service, stayed)
	case OutcomeBad, OutcomeLost:
		pause := min(firstPause<<min(r.failures, 8), longPause)
		r.failures++
		r.paused = now.Add(pause)
		if outcome == OutcomeLost {
			r.lost = r.paused
		}
	case OutcomeNeutral:
	}
}

func (t *Table) noteStay(service string, stayed time.Duration) {
	mean, known := t.stays[service]
	if !known {
		t.stays[service] = stayed
		return
	}
	t.stays[service] = mean + time.Duration(stayWeight*float64(stayed-mean))
}

// Refused notes that an endpoint did not run a request for a model, or for an
// adapter as MODEL/ADAPTER: it may be about to unload it, or be full.
func (t *Table) Refused(now time.Time, e *rlbsite.Endpoint, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	if r.closed == nil {
		r.closed = map[string]time.Time{}
	}
	r.closed[what] = now.Add(closedFor)
}

// Wrong notes that an endpoint is not what its entry says: another one has its
// address, or it does not hold what it should.
func (t *Table) Wrong(now time.Time, e *rlbsite.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.wrong, r.wrongTo = e, now.Add(wrongFor)
}

// Loads calls yield for each endpoint with requests in progress, or in doubt.
func (t *Table) Loads(now time.Time, yield func(id string, load Load)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		load := r.load()
		if now.Before(r.lost) || r.misplaced(now) {
			load.Doubts = 1
		}
		if load.InFlight > 0 || load.Doubts > 0 {
			yield(id, load)
		}
	}
}

// Streamed notes whether a stream of an endpoint had a pause that was too long.
func (t *Table) Streamed(e *rlbsite.Endpoint, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e)
	r.slow *= 1 - slowWeight
	if slow {
		r.slow += slowWeight
	}
}

func (r *row) load() Load {
	return Load{InFlight: r.inFlight, Urgent: r.urgent, Unread: r.unread, Slow: r.slow}
}

// Load is the work at an endpoint.
type Load struct {
	InFlight int     // requests in progress
	Urgent   int     // of these, those of the most urgent rank
	Unread   int     // prompt tokens of those that have no answer yet
	Slow     float64 // part of the latest streams with a pause that was too long
	Doubts   int     // instances to which it was lost, or not what its entry says
}

// Place is what an endpoint has for requests.
type Place struct {
	Slots  int
	Stay   time.Duration // mean time that a request takes there
	Engine bool          // prompts are read before an answer begins
}

// Place returns what an endpoint has for requests, as far as is known.
func (t *Table) Place(e *rlbsite.Endpoint, engine bool) Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(e, engine)
}

func (t *Table) place(e *rlbsite.Endpoint, engine bool) Place {
	stay, known := t.stays[e.Service]
	switch {
	case known:
	case engine:
		stay = engineStay
	default:
		stay = plainStay
	}
	return Place{Slots: e.Slots, Stay: stay, Engine: engine}
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, Urgent: l.Urgent + other.Urgent, Unread: l.Unread + other.Unread,
		Slow: max(l.Slow, other.Slow), Doubts: l.Doubts + other.Doubts,
	}
}

// crowding returns what a prompt more costs the streams that run.
func (l Load) crowding() time.Duration {
	if l.Unread == 0 {
		return 0
	}
	return time.Duration(l.Slow * float64(crowding))
}

// Wait returns how long a request is expected to wait for its answer to begin at
// a place. An urgent one waits for its like only; others leave it some slots, so
// that it need not take theirs.
func (l Load) Wait(p Place, urgent bool) time.Duration {
	before := l.InFlight
	switch {
	case p.Engine && urgent:
		before = l.Urgent
	case p.Engine:
		before += p.Slots / urgentPart
	}
	queued := max(before-p.Slots+1, 0)
	wait := time.Duration(queued) * p.Stay / time.Duration(max(p.Slots, 1))
	if p.Engine {
		wait += time.Duration(l.Unread) * time.Millisecond / readPerMS
	}
	return wait
}

// News counts up with each change of this instance's load.
func (t *Table) News() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// Own returns this instance's load on an endpoint.
func (t *Table) Own(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.load()
	}
	return Load{}
}

// Paused reports whether the latest answers of an endpoint were bad.
func (t *Table) Paused(now time.Time, e *rlbsite.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(e).doubtful(now)
}

// Forget drops the rows of endpoints that are not known any more.
func (t *Table) Forget(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.rows {
		if r.inFlight == 0 && !known(id) {
			delete(t.rows, id)
		}
	}
}

// Cost returns what speaks against an endpoint with this load, as a wait: the
// wait of a request that is not urgent, since one that is would make another wait
// in its place; what one more request costs those that run; and distance.
func (l Load) Cost(p Place, near bool) time.Duration {
	cost := l.Wait(p, false) + l.crowding() + time.Duration(l.InFlight)*perRequest
	if !near {
		cost += otherDomain
	}
	return cost
}

// Wanted describes the endpoint that a request needs.
type Wanted struct {
	Domain string                       // of this instance
	Model  string                       // with its adapter, as MODEL/ADAPTER; empty: of a plain service
	Urgent bool                         // of the most urgent rank
	Fits   func(*rlbsite.Endpoint) bool // whether the endpoint can run it
	Others func(id string) Load         // the other instances' load on an endpoint
}

// Choice is an endpoint with what is expected of it.
type Choice struct {
	Endpoint *rlbsite.Endpoint // nil: none fits
	Wait     time.Duration     // until the answer begins
	Paused   bool              // its latest answers were bad
}

// Pick returns the best of the endpoints that fit. Endpoints whose latest
// answers were bad are taken only if there are no others.
func (t *Table) Pick(now time.Time, all []*rlbsite.Endpoint, w Wanted) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	var bestCost time.Duration
	for _, e := range all {
		if e.Leaving || !w.Fits(e) {
			continue
		}
		r := t.row(e)
		load := r.load().Plus(w.Others(e.ID))
		place := t.place(e, w.Model != "")
		c := Choice{Endpoint: e, Wait: load.Wait(place, w.Urgent), Paused: r.doubtful(now) || load.Doubts >= enoughDoubts || now.Before(r.closed[w.Model])}
		cost := load.Cost(place, e.Domain == w.Domain) + rand.N(tie)
		if best.Endpoint == nil || best.Paused && !c.Paused || best.Paused == c.Paused && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

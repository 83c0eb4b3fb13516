package rlbcrash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the evidence of an instance.
const (
	maxRecords  = 4096
	maxAnswered = 8192 // answered properties that are remembered
	maxReported = 32   // crashes in one report, which is sent several times a second
	// newsTime is how long a change is reported. Records of refused properties, and of parts
	// with several unrefuted crashes, are always reported.
	newsTime = time.Second
	// trialTimeout is how long a request that is tried after the refusals may take until
	// another one is tried.
	trialTimeout = 30 * time.Second
)

// Opts are the dependencies of Evidence.
type Opts struct {
	Instance string // name of the instance
	Now      func() time.Time
}

// tracked is a record with what this instance needs to exchange and try it.
type tracked struct {
	Record
	changedAt  time.Time
	trialUntil time.Time // a tried request may be in progress until then
}

// Evidence holds the records of an instance. It is safe for concurrent use.
type Evidence struct {
	opts Opts

	mu       sync.Mutex
	records  map[Property]*tracked
	answered *simplelru.LRU[Property, struct{}] // properties of answered requests
	answers  map[string][]time.Time             // times of the latest minOtherAnswers answers, by service
	verdicts map[Property]verdict
	logged   map[Property]verdict // verdicts at the latest call of TakeChanges
	stale    bool                 // verdicts must be computed again
}

// New returns evidence without records.
func New(opts Opts) *Evidence {
	answered, err := simplelru.NewLRU[Property, struct{}](maxAnswered, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Evidence{opts: opts, records: map[Property]*tracked{}, answered: answered, answers: map[string][]time.Time{}, verdicts: map[Property]verdict{}, logged: map[Property]verdict{}}
}

// RecordCrash records that the incarnation of an endpoint crashed while it ran a request
// with the property, in an attempt that began at a time; zero: not known. The ID is equal at all
// instances that count the same crash.
func (e *Evidence) RecordCrash(p Property, id, endpoint uint64, began time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.update(now, p, func(r *Record) bool { return r.add(Crash{ID: id, Endpoint: endpoint, At: now, Began: began}) })
}

// RecordAnswer records that requests with the properties did not crash the endpoint: it
// has answered one of the service. It returns the properties that were refused until
// then.
func (e *Evidence) RecordAnswer(service string, properties []Property) (released []Property) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.refresh()
	latest := append(e.answers[service], now)
	e.answers[service] = latest[max(0, len(latest)-minOtherAnswers):]
	for _, p := range properties {
		e.answered.Add(p, struct{}{})
		if e.records[p] == nil {
			continue
		}
		e.update(now, p, (*Record).refute)
		if _, refused := e.verdicts[p]; refused {
			released = append(released, p)
		}
	}
	return released
}

// Merge adds the records of another instance.
func (e *Evidence) Merge(records []Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	for _, r := range records {
		if len(r.Crashes) > 0 && now.Sub(r.lastCrash()) < recordTTL {
			e.update(now, r.Property, func(own *Record) bool { return own.merge(r) })
		}
	}
}

// update changes the record of a property, which is created if there is none.
func (e *Evidence) update(now time.Time, p Property, change func(*Record) bool) {
	t := e.records[p]
	if t == nil {
		e.makeRoom(now)
		_, answered := e.answered.Peek(p)
		t = &tracked{Record: Record{Property: p, Answered: answered}}
		e.records[p] = t
	}
	if change(&t.Record) {
		t.changedAt, e.stale = now, true
		t.trialUntil = time.Time{}
	}
}

// makeRoom removes outdated records and, if there are still too many, the eighth with
// the fewest and oldest unrefuted crashes.
func (e *Evidence) makeRoom(now time.Time) {
	if len(e.records) < maxRecords {
		return
	}
	var all []*tracked
	for _, t := range e.records {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *tracked) int {
		return cmp.Or(cmp.Compare(a.countOpen(), b.countOpen()), a.lastCrash().Compare(b.lastCrash()))
	})
	for i, t := range all {
		if i < maxRecords/8 || now.Sub(t.lastCrash()) > recordTTL {
			delete(e.records, t.Property)
		}
	}
	e.stale = true
}

// Check reports whether a request of the service with the properties may run. If not, it
// returns the property that forbids it and until when. After that time it lets a single
// request pass, whose outcome decides what follows.
func (e *Evidence) Check(service string, properties []Property) (allowed bool, cause Property, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.refresh()
	var due []*tracked
	for _, p := range properties {
		v, suspected := e.verdicts[p]
		if !suspected || v.contrast && !e.othersAnswered(service, v.since) {
			continue
		}
		t := e.records[p]
		until := latest(e.ownDeadline(p, v), t.trialUntil)
		if now.Before(until) {
			return false, p, until
		}
		due = append(due, t)
	}
	for _, t := range due {
		t.trialUntil = now.Add(trialTimeout)
	}
	return true, Property{}, time.Time{}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownDeadline returns until when this instance refuses requests with the property: a
// time between one and two refusal times, different at each instance, so that one of
// them tries a request first and the others learn from its outcome.
func (e *Evidence) ownDeadline(p Property, v verdict) time.Time {
	span := v.until.Sub(e.records[p].lastCrash())
	const steps = 1024
	position := (xxhash.Sum64String(e.opts.Instance) ^ p.ID) % steps
	return v.until.Add(span * time.Duration(position) / steps)
}

// othersAnswered reports whether minOtherAnswers requests of the service were answered
// since a point in time.
func (e *Evidence) othersAnswered(service string, since time.Time) bool {
	times := e.answers[service]
	return len(times) == minOtherAnswers && times[0].After(since)
}

// refresh computes the verdicts again if records have changed.
func (e *Evidence) refresh() {
	if e.stale {
		e.verdicts, e.stale = decide(e.records), false
	}
}

// Report returns the records to send to the other instances, the ones with the most
// crashes first, up to maxReported crashes.
func (e *Evidence) Report() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.removeOutdated(now)
	e.refresh()
	var reported []*tracked
	for _, t := range e.records {
		if e.isReported(now, t) {
			reported = append(reported, t)
		}
	}
	slices.SortFunc(reported, func(a, b *tracked) int {
		return cmp.Or(cmp.Compare(b.countOpen(), a.countOpen()), b.changedAt.Compare(a.changedAt))
	})
	var records []Record
	crashes := 0
	for _, t := range reported {
		if crashes += len(t.Crashes); crashes > maxReported {
			break
		}
		records = append(records, t.copy())
	}
	return records
}

// isReported reports whether a record is sent to the other instances.
func (e *Evidence) isReported(now time.Time, t *tracked) bool {
	if now.Sub(t.changedAt) < newsTime {
		return true
	}
	if t.Property.Kind == PromptPart && t.countOpen() > 1 {
		return true
	}
	_, refused := e.verdicts[t.Property]
	return refused
}

func (e *Evidence) removeOutdated(now time.Time) {
	for p, t := range e.records {
		if now.Sub(t.lastCrash()) > recordTTL {
			delete(e.records, p)
			e.stale = true
		}
	}
}

// Refutes reports whether what this instance knows of answered requests speaks against
// known crashes being caused by the property.
func (e *Evidence) Refutes(p Property) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.records[p]
	return t != nil && t.Answered
}

// Refused returns the number of properties with which requests are refused.
func (e *Evidence) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh()
	return len(e.verdicts)
}

// RefusedRecords returns the records of the properties with which requests are refused,
// ordered by property.
func (e *Evidence) RefusedRecords() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh()
	var records []Record
	for p := range e.verdicts {
		records = append(records, e.records[p].copy())
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Property.Kind, b.Property.Kind), cmp.Compare(a.Property.ID, b.Property.ID))
	})
	return records
}

// Change is a verdict about a property that was reached or withdrawn.
type Change struct {
	Property Property
	Refused  bool // requests with the property are refused from now on
	Crashes  int  // that the property explains
	Until    time.Time
}

// TakeChanges returns the changes of verdicts since the call before.
func (e *Evidence) TakeChanges() []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh()
	var changes []Change
	for p, v := range e.verdicts {
		if e.logged[p] != v {
			changes = append(changes, Change{Property: p, Refused: true, Crashes: v.crashes, Until: e.ownDeadline(p, v)})
		}
	}
	for p, v := range e.logged {
		if _, still := e.verdicts[p]; !still {
			changes = append(changes, Change{Property: p, Crashes: v.crashes})
		}
	}
	e.logged = e.verdicts
	return changes
}

package rlblease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

// The model check has two processes that compete for one lease. Reads and writes may
// be late, their answers may be lost, and a process may be paused for any time. The object
// API may be restored to one of its latest states. Time passes in units; a paused process
// takes no step.
const (
	unit = time.Second
	ttl  = 2 * unit
)

type call struct {
	process   int
	write     bool
	value     string
	ifVersion rlbobject.Version
	awaited   bool
	processed bool // the call took effect; its answer is in flight
	version   rlbobject.Version
	refused   bool
	inDoubt   bool // the write took effect in another era than it expected
}

// bounds are the limits of one exploration.
type bounds struct{ units, faults, restores int }

// stored is a state of the object; a version without revision means that it does not exist.
type stored struct {
	version rlbobject.Version
	value   string
}

// maxCopies is the number of earlier states of the object that it can be restored to.
const maxCopies = 2

type model struct {
	now    int
	leases [2]Lease
	stored
	copies   []stored // the latest earlier states
	calls    []call
	faults   int // lost answers and late writes so far
	restores int
	bounds   bounds
}

func versionOf(era, revision uint64) rlbobject.Version {
	v, err := rlbobject.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return v
}

func (m model) clock() time.Time { return time.Unix(0, 0).Add(time.Duration(m.now) * unit) }

func (m model) clone() model {
	m.calls = append([]call(nil), m.calls...)
	m.copies = append([]stored(nil), m.copies...)
	for i := range m.leases {
		if f := m.leases[i].pendingWrite; f != nil {
			copied := *f
			m.leases[i].pendingWrite = &copied
		}
	}
	return m
}

// Key implements rlbmodelcheck.State. Times are relative to now and capped at the TTL;
// versions, renewals and fencing numbers are replaced by their ranks.
func (m model) Key() string {
	versions, renewals, fences := ranks{uint64(m.version): 0}, ranks{}, ranks{}
	var records []Record
	addRecord := func(value string) Record {
		var r Record
		if value != "" {
			if err := json.Unmarshal([]byte(value), &r); err != nil {
				panic(err)
			}
		}
		records = append(records, r)
		renewals[r.Renewal], fences[r.Fence] = 0, 0
		return r
	}
	addRecord(m.value)
	for _, c := range m.copies {
		addRecord(c.value)
		versions[uint64(c.version)] = 0
	}
	for _, c := range m.calls {
		addRecord(c.value)
		versions[uint64(c.ifVersion)], versions[uint64(c.version)] = 0, 0
	}
	for _, l := range m.leases {
		versions[uint64(l.version)] = 0
		renewals[l.record.Renewal], fences[l.record.Fence] = 0, 0
		if l.pendingWrite != nil {
			renewals[l.pendingWrite.record.Renewal], fences[l.pendingWrite.record.Fence] = 0, 0
		}
	}
	versions.rank()
	renewals.rank()
	fences.rank()
	show := func(r Record) string {
		return fmt.Sprint(r.Holder, rlbobject.Version(r.Fence).Era(), " ", fences[r.Fence], renewals[r.Renewal])
	}
	showVersion := func(v rlbobject.Version) string { return fmt.Sprint(v.Era(), "/", versions[uint64(v)], v.Exists()) }
	key := fmt.Sprint(m.now, m.faults, m.restores, "|", showVersion(m.version), show(records[0]))
	for i, c := range m.copies {
		key += fmt.Sprint("c", showVersion(c.version), show(records[i+1]))
	}
	for i, a := range m.calls {
		key += fmt.Sprint("|", a.process, a.write, show(records[len(m.copies)+i+1]), showVersion(a.ifVersion), a.awaited, a.processed, showVersion(a.version), a.refused, a.inDoubt)
	}
	for _, l := range m.leases {
		key += fmt.Sprint("|", showVersion(l.version), l.known, m.remaining(l.deadline), l.awaitingAnswer)
		if l.known {
			key += fmt.Sprint(" ", show(l.record), m.age(l.lastChange))
		}
		if !l.awaitingAnswer {
			key += fmt.Sprint(" ", m.remaining(l.nextStep))
		}
		if l.pendingWrite != nil {
			key += fmt.Sprint("f", show(l.pendingWrite.record), m.remaining(l.pendingWrite.sent.Add(ttl)))
		}
	}
	return key
}

func (m model) age(t time.Time) time.Duration { return min(m.clock().Sub(t), ttl) }

func (m model) remaining(t time.Time) time.Duration { return max(t.Sub(m.clock()), 0) }

// ranks maps numbers to their ranks.
type ranks map[uint64]int

func (r ranks) rank() {
	for i, n := range slices.Sorted(maps.Keys(r)) {
		r[n] = i
	}
}

// Check implements rlbmodelcheck.State. It fails if both processes hold the lease.
func (m model) Check() error {
	fence0, held0 := m.leases[0].Held(m.clock())
	fence1, held1 := m.leases[1].Held(m.clock())
	if held0 && held1 {
		return fmt.Errorf("both hold the lease, with %d and %d", fence0, fence1)
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m model) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, next model) {
		steps = append(steps, rlbmodelcheck.Step{Event: fmt.Sprintf("%d: %s", m.now, event), State: next})
	}
	if m.now < m.bounds.units {
		later := m.clone()
		later.now++
		add("a unit passes", later)
	}
	for p := range m.leases {
		if next, ok := m.step(p); ok {
			add(fmt.Sprintf("process %d sends a call", p), next)
		}
	}
	for i := range m.calls {
		m.addCallSteps(i, add)
	}
	if m.restores < m.bounds.restores {
		for _, c := range m.copies {
			next := m.clone()
			next.restore(c)
			add("the object API is restored to "+c.version.String(), next)
		}
	}
	return steps
}

// restore replaces the object by an earlier state, in a new era.
func (m *model) restore(c stored) {
	m.restores++
	m.stored = stored{versionOf(m.version.Era()+1, c.version.Revision()), c.value}
	m.copies = nil // the states of the era that is over are gone
}

func (m model) step(p int) (model, bool) {
	next := m.clone()
	step, value, ifVersion, err := next.leases[p].Next(m.clock(), true)
	if err != nil || step == StepNone {
		return m, false
	}
	if step == StepRead { // reads are answered at once: a delayed read equals one that starts later
		if err := next.leases[p].OnRead(m.clock(), m.version, []byte(m.value)); err != nil {
			panic(err)
		}
		return next, true
	}
	next.calls = append(next.calls, call{process: p, write: true, value: string(value), ifVersion: ifVersion, awaited: true})
	return next, true
}

// addCallSteps adds the next steps of call i: it takes effect, it is late, its answer
// arrives or is lost.
func (m model) addCallSteps(i int, add func(string, model)) {
	c := m.calls[i]
	if !c.processed {
		next := m.clone()
		next.applyCall(i)
		add(fmt.Sprintf("call of %d takes effect", c.process), next)
		if c.awaited && m.faults < m.bounds.faults {
			late := m.clone()
			late.loseAnswer(i)
			if !c.write {
				late.removeCall(i) // a late read has no effect
			}
			add(fmt.Sprintf("process %d abandons its late call", c.process), late)
		}
		return
	}
	if !c.awaited {
		next := m.clone()
		next.removeCall(i)
		add("a late answer is dropped", next)
		return
	}
	arrived := m.clone()
	arrived.deliverAnswer(i)
	add(fmt.Sprintf("answer to %d arrives", c.process), arrived)
	if m.faults < m.bounds.faults {
		lost := m.clone()
		lost.loseAnswer(i)
		lost.removeCall(i)
		add(fmt.Sprintf("answer to %d is lost", c.process), lost)
	}
}

func (m *model) removeCall(i int) { m.calls = append(m.calls[:i], m.calls[i+1:]...) }

func (m *model) applyCall(i int) {
	c := &m.calls[i]
	c.processed = true
	switch {
	case !c.write:
		c.version, c.value = m.version, m.value
	case c.ifVersion.Revision() != m.version.Revision():
		c.refused = true
	default:
		m.copies = append(m.copies, m.stored)
		m.copies = m.copies[max(len(m.copies)-maxCopies, 0):]
		c.inDoubt = c.ifVersion.Era() != m.version.Era()
		m.version++
		m.value, c.version = c.value, m.version
	}
}

func (m *model) loseAnswer(i int) {
	c := &m.calls[i]
	c.awaited = false
	m.faults++
	m.leases[c.process].awaitingAnswer = false
	if c.write {
		m.leases[c.process].OnWriteUnanswered()
	}
}

func (m *model) deliverAnswer(i int) {
	c := m.calls[i]
	m.removeCall(i)
	l := &m.leases[c.process]
	l.awaitingAnswer = false
	switch {
	case !c.write:
		if err := l.OnRead(m.clock(), c.version, []byte(c.value)); err != nil {
			panic(err)
		}
	case c.refused:
		l.OnWriteRefused(true)
	case c.inDoubt:
		l.OnWriteUnanswered()
	default:
		l.OnWritten(m.clock(), c.version)
	}
}

func TestNeverTwoHolders(t *testing.T) {
	for _, b := range []bounds{{units: 3, faults: 2}, {units: 4, faults: 1}, {units: 4, restores: 1}, {units: 3, faults: 1, restores: 2}} {
		Convey(fmt.Sprintf("at most one process holds the lease in any order of calls and pauses, %+v", b), t, func() {
			initial := model{bounds: b, stored: stored{version: versionOf(rlbobject.FirstEra, 0)}}
			for i := range initial.leases {
				initial.leases[i] = *New(Opts{Holder: fmt.Sprint("p", i), TTL: ttl})
			}
			result := rlbmodelcheck.Explore(initial, 1_000_000)
			t.Log(result)
			So(result.Err, ShouldBeNil)
			So(result.States, ShouldBeGreaterThan, 10_000)
		})
	}
}

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

// The model: two processes stand for one lease. Reads and writes may be late,
// their answers may be lost, a process may be paused for any time. Time passes
// in units; a process that is paused simply takes no step.
const (
	unit = time.Second
	ttl  = 2 * unit
)

type call struct {
	process         int
	write           bool
	value           string
	expectedVersion rlbobject.Version
	awaited         bool
	processed       bool // took effect, or was read; the answer is on its way
	version         rlbobject.Version
	refused         bool
}

// bounds limit one exploration.
type bounds struct{ units, faults int }

type model struct {
	now     int
	leases  [2]Lease
	version rlbobject.Version
	value   string
	calls   []call
	faults  int // answers lost and writes late, so far
	bounds  bounds
}

func (m model) clock() time.Time { return time.Unix(0, 0).Add(time.Duration(m.now) * unit) }

func (m model) clone() model {
	m.calls = append([]call(nil), m.calls...)
	for i := range m.leases {
		if f := m.leases[i].pendingWrite; f != nil {
			copied := *f
			m.leases[i].pendingWrite = &copied
		}
	}
	return m
}

// Key implements rlbmodelcheck.State. Times count from now, up to what can
// still matter; versions and renewals count only by their order.
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
	for _, a := range m.calls {
		addRecord(a.value)
		versions[uint64(a.expectedVersion)], versions[uint64(a.version)] = 0, 0
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
	show := func(r Record) string { return fmt.Sprint(r.Holder, fences[r.Fence], renewals[r.Renewal]) }
	key := fmt.Sprint(m.now, m.faults, "|", versions[uint64(m.version)], show(records[0]))
	for i, a := range m.calls {
		key += fmt.Sprint("|", a.process, a.write, show(records[i+1]), versions[uint64(a.expectedVersion)], a.awaited, a.processed, versions[uint64(a.version)], a.refused)
	}
	for _, l := range m.leases {
		key += fmt.Sprint("|", versions[uint64(l.version)], l.known, m.remaining(l.deadline), l.awaitingAnswer)
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

// ranks maps numbers to their order.
type ranks map[uint64]int

func (r ranks) rank() {
	for i, n := range slices.Sorted(maps.Keys(r)) {
		r[n] = i
	}
}

// Check implements rlbmodelcheck.State: never two holders at once.
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
			add(fmt.Sprintf("process %d asks", p), next)
		}
	}
	for i := range m.calls {
		m.addCallSteps(i, add)
	}
	return steps
}

func (m model) step(p int) (model, bool) {
	next := m.clone()
	step, value, expectedVersion, err := next.leases[p].Next(m.clock(), true)
	if err != nil || step == StepNone {
		return m, false
	}
	if step == StepRead { // a late read changes nothing more than a later one
		if err := next.leases[p].OnRead(m.clock(), m.version, []byte(m.value)); err != nil {
			panic(err)
		}
		return next, true
	}
	next.calls = append(next.calls, call{process: p, write: true, value: string(value), expectedVersion: expectedVersion, awaited: true})
	return next, true
}

// addCallSteps lets call i take effect, lets its answer arrive, or loses it.
func (m model) addCallSteps(i int, add func(string, model)) {
	a := m.calls[i]
	if !a.processed {
		next := m.clone()
		next.applyCall(i)
		add(fmt.Sprintf("call of %d takes effect", a.process), next)
		if a.awaited && m.faults < m.bounds.faults {
			late := m.clone()
			late.loseAnswer(i)
			if !a.write {
				late.removeCall(i) // a late read changes nothing
			}
			add(fmt.Sprintf("process %d gives its call up, which is late", a.process), late)
		}
		return
	}
	if !a.awaited {
		next := m.clone()
		next.removeCall(i)
		add("a late answer is dropped", next)
		return
	}
	arrived := m.clone()
	arrived.deliverAnswer(i)
	add(fmt.Sprintf("answer to %d arrives", a.process), arrived)
	if m.faults < m.bounds.faults {
		lost := m.clone()
		lost.loseAnswer(i)
		lost.removeCall(i)
		add(fmt.Sprintf("answer to %d is lost", a.process), lost)
	}
}

func (m *model) removeCall(i int) { m.calls = append(m.calls[:i], m.calls[i+1:]...) }

func (m *model) applyCall(i int) {
	a := &m.calls[i]
	a.processed = true
	switch {
	case !a.write:
		a.version, a.value = m.version, m.value
	case a.expectedVersion != m.version:
		a.refused = true
	default:
		m.version++
		m.value, a.version = a.value, m.version
	}
}

func (m *model) loseAnswer(i int) {
	a := &m.calls[i]
	a.awaited = false
	m.faults++
	m.leases[a.process].awaitingAnswer = false
	if a.write {
		m.leases[a.process].OnWriteUnanswered()
	}
}

func (m *model) deliverAnswer(i int) {
	a := m.calls[i]
	m.removeCall(i)
	l := &m.leases[a.process]
	l.awaitingAnswer = false
	switch {
	case !a.write:
		if err := l.OnRead(m.clock(), a.version, []byte(a.value)); err != nil {
			panic(err)
		}
	case a.refused:
		l.OnWriteRefused(true)
	default:
		l.OnWritten(m.clock(), a.version)
	}
}

func TestNeverTwoHolders(t *testing.T) {
	for _, b := range []bounds{{units: 3, faults: 2}, {units: 4, faults: 1}} {
		Convey(fmt.Sprintf("in every order of calls and pauses, %+v, at most one process holds the lease", b), t, func() {
			initial := model{bounds: b}
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

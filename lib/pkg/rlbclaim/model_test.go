package rlbclaim

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

// claimModel models three sends of one request with one key through two controllers,
// each with a ledger of the same shard. Writes may be late, their answers may be
// lost, the object API may refuse writes, a controller may crash and restart, and
// pending claims may be aborted.
type claimModel struct {
	ledgers      [2]*Ledger
	incarnations [2]int
	version      rlbobject.Version
	value        string
	writes       []modelWrite
	sends        [3]sendState
	faults       faultBudget
}

// faultBudget limits the faults in one history.
type faultBudget struct{ lost, late, refused, crashes, aborts int }

// sendState is the state of one send of the request.
type sendState uint8

const (
	unsent  sendState = iota
	waiting           // for the result of its claim
	granted           // dispatched
	ended             // not granted, or abandoned by its gateway
)

// modelWrite is a write whose answer is outstanding.
type modelWrite struct {
	ledger, incarnation int
	w                   Write
	awaited             bool
	applied             bool
	version             rlbobject.Version
	conflict            bool
}

func (m claimModel) clone() claimModel {
	m.writes = slices.Clone(m.writes)
	for i, l := range m.ledgers {
		copied := *l
		copied.index = maps.Clone(l.index)
		copied.queue = slices.Clone(l.queue)
		copied.completions = slices.Clone(l.completions)
		if l.inFlight != nil {
			inFlight := *l.inFlight
			copied.inFlight = &inFlight
		}
		m.ledgers[i] = &copied
	}
	return m
}

// Key implements rlbmodelcheck.State.
func (m claimModel) Key() string {
	key := fmt.Sprint(m.version, m.value, m.sends, m.incarnations, m.faults)
	for _, w := range m.writes {
		key += fmt.Sprint("|", w.ledger, w.incarnation, string(w.w.Head), w.w.IfVersion, w.awaited, w.applied, w.version, w.conflict)
	}
	for _, l := range m.ledgers {
		key += fmt.Sprint("|", l.loaded, l.version, l.head, l.index, l.queue, l.serial)
		if l.inFlight != nil {
			key += fmt.Sprint(*l.inFlight)
		}
	}
	return key
}

// Check implements rlbmodelcheck.State: at most one send may be granted.
func (m claimModel) Check() error {
	n := 0
	for _, s := range m.sends {
		if s == granted {
			n++
		}
	}
	if n > 1 {
		return fmt.Errorf("%d sends of one request were granted: %v", n, m.sends)
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m claimModel) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, next claimModel) {
		next.deliverResults()
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	for i, s := range m.sends {
		if s != unsent || i > 0 && m.sends[i-1] == unsent {
			continue
		}
		for l := range m.ledgers {
			next := m.clone()
			next.sends[i] = waiting
			next.ledgers[l].Submit(Ticket(i+1), Operation{VerbClaim, Entry{Key: Key{1}, Run: RunID{byte(i + 1)}}})
			add(fmt.Sprintf("send %d is submitted to ledger %d", i, l), next)
		}
	}
	for l := range m.ledgers {
		m.stepLedger(l, add)
	}
	for i := range m.writes {
		m.stepWrite(i, add)
	}
	return steps
}

// deliverResults delivers results to the gateways. A gateway whose claim is not
// recorded abandons its run and submits a release to the same ledger.
func (m *claimModel) deliverResults() {
	for _, l := range m.ledgers {
		for _, completion := range l.Completions() {
			if completion.Ticket > Ticket(len(m.sends)) {
				continue // a release
			}
			i := completion.Ticket - 1
			if m.sends[i] != waiting {
				continue
			}
			m.sends[i] = ended
			switch completion.Result.Status {
			case Granted:
				m.sends[i] = granted
			case Unavailable:
				l.Submit(completion.Ticket+Ticket(len(m.sends)), Operation{VerbRelease, Entry{Key: Key{1}, Run: RunID{byte(i + 1)}}})
			}
		}
	}
}

// stepLedger adds the steps of one ledger and its controller.
func (m claimModel) stepLedger(l int, add func(string, claimModel)) {
	next := m.clone()
	ledger := next.ledgers[l]
	if !ledger.Loaded() && ledger.Pending() > 0 && !m.awaitsWrite(l) {
		var head Head
		if m.version > 0 {
			if err := rlbmsgpack.Unmarshal([]byte(m.value), &head); err != nil {
				panic(err)
			}
		}
		ledger.Load(m.version, head, nil)
		add(fmt.Sprintf("ledger %d loads", l), next)
	} else if w, err := ledger.NextWrite(0); err != nil {
		panic(err)
	} else if w != nil {
		next.writes = append(next.writes, modelWrite{ledger: l, incarnation: m.incarnations[l], w: *w, awaited: true})
		add(fmt.Sprintf("ledger %d writes", l), next)
	} else {
		add(fmt.Sprintf("ledger %d completes operations without a write", l), next)
	}
	if m.faults.crashes > 0 {
		crashed := m.clone()
		crashed.faults.crashes--
		crashed.incarnations[l]++
		crashed.ledgers[l] = NewLedger(fmt.Sprint("c", l, ".", crashed.incarnations[l]), 0)
		add(fmt.Sprintf("controller %d crashes", l), crashed)
	}
	if m.faults.aborts > 0 && m.ledgers[l].Pending() > 0 {
		aborted := m.clone()
		aborted.faults.aborts--
		aborted.ledgers[l].AbortPending()
		add(fmt.Sprintf("ledger %d aborts pending operations", l), aborted)
	}
}

// awaitsWrite reports whether the ledger waits for the answer to a write.
func (m claimModel) awaitsWrite(l int) bool {
	return slices.ContainsFunc(m.writes, func(w modelWrite) bool { return w.ledger == l && w.incarnation == m.incarnations[l] && w.awaited })
}

// stepWrite adds the steps of one write.
func (m claimModel) stepWrite(i int, add func(string, claimModel)) {
	w := m.writes[i]
	awaited := w.awaited && w.incarnation == m.incarnations[w.ledger]
	if !w.applied {
		next := m.clone()
		next.applyWrite(i)
		add(fmt.Sprintf("write %d of ledger %d takes effect", i, w.ledger), next)
		if awaited && m.faults.late > 0 {
			late := m.clone()
			late.faults.late--
			late.writes[i].awaited = false
			late.ledgers[w.ledger].WriteUnanswered()
			add(fmt.Sprintf("write %d of ledger %d is late", i, w.ledger), late)
		}
		if awaited && m.faults.refused > 0 {
			refused := m.clone()
			refused.faults.refused--
			refused.writes = slices.Delete(refused.writes, i, i+1)
			refused.ledgers[w.ledger].WriteRefused(false)
			add(fmt.Sprintf("write %d of ledger %d is refused", i, w.ledger), refused)
		}
		return
	}
	next := m.clone()
	next.writes = slices.Delete(next.writes, i, i+1)
	if awaited && w.conflict {
		next.ledgers[w.ledger].WriteRefused(true)
	} else if awaited {
		next.ledgers[w.ledger].WriteSucceeded(w.version)
	}
	add(fmt.Sprintf("write %d of ledger %d is answered", i, w.ledger), next)
	if awaited && m.faults.lost > 0 {
		lost := m.clone()
		lost.faults.lost--
		lost.writes = slices.Delete(lost.writes, i, i+1)
		lost.ledgers[w.ledger].WriteUnanswered()
		add(fmt.Sprintf("answer to write %d of ledger %d is lost", i, w.ledger), lost)
	}
}

// applyWrite applies a write to the object, or marks a conflict.
func (m *claimModel) applyWrite(i int) {
	w := &m.writes[i]
	w.applied, w.conflict = true, w.w.IfVersion != m.version
	if !w.conflict {
		m.version++
		m.value, w.version = string(w.w.Head), m.version
	}
}

func TestAtMostOneSendIsGranted(t *testing.T) {
	for _, faults := range []faultBudget{{lost: 1, late: 1}, {late: 1, crashes: 1}, {lost: 1, aborts: 1}, {late: 1, refused: 1, aborts: 1}} {
		Convey(fmt.Sprintf("in every order of events, %+v", faults), t, func() {
			initial := claimModel{faults: faults}
			for i := range initial.ledgers {
				initial.ledgers[i] = NewLedger(fmt.Sprint("c", i, ".0"), 0)
			}
			result := rlbmodelcheck.Explore(initial, 1_000_000)
			t.Log(result)
			So(result.Err, ShouldBeNil)
			So(result.States, ShouldBeGreaterThan, 1_000)
		})
	}
}

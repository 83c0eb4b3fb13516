package rlborder

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	. "github.com/smartystreets/goconvey/convey"
)

// The model: two holders, the second with a later lease, give orders to one
// endpoint whose memory holds one of two models. Calls may be late, answers may
// be lost, either holder may pause at any point, also between its check of the
// lease and its send; the endpoint may restart.
type model struct {
	fencing     bool
	trackers    [2]Tracker
	version     rlbobject.Version
	value       string
	calls       []call
	endpoint    endpoint
	faultsLeft  faultBudget
	changesLeft [2]int // that each holder may still have
	takenOver   bool   // the second holder has begun
}

// faultBudget bounds the faults of one history.
type faultBudget struct{ lost, late, restarts int }

// endpoint holds models of one unit of memory each; its memory is one unit.
type endpoint struct {
	incarnation, sequence, fence uint64
	loaded                       []string
	overcommitted                bool
}

// call is a call on its way.
type call struct {
	holder  int
	task    Task
	awaited bool
	answer  *answer // set once it took effect
}

type answer struct {
	version rlbobject.Version
	refused bool
	state   rlbengine.State
}

func (e endpoint) state() rlbengine.State {
	s := rlbengine.State{Incarnation: e.incarnation, Sequence: e.sequence, Memory: 1}
	for _, name := range e.loaded {
		s.Residents = append(s.Residents, rlbengine.Resident{Name: name, Memory: 1, Phase: rlbengine.PhaseReady})
	}
	return s
}

// apply carries an order out, without a check of its memory.
func (e *endpoint) apply(o rlbengine.Order, fencing bool) bool {
	if fencing && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	at := slices.Index(e.loaded, o.Name)
	switch {
	case o.Action == rlbengine.ActionLoad && at < 0:
		e.loaded = append(slices.Clone(e.loaded), o.Name)
		slices.Sort(e.loaded)
		e.sequence++
	case o.Action == rlbengine.ActionUnload && at >= 0:
		e.loaded = slices.Delete(slices.Clone(e.loaded), at, at+1)
		e.sequence++
	}
	e.overcommitted = e.overcommitted || len(e.loaded) > 1
	return true
}

func (m model) clone() model {
	m.calls = slices.Clone(m.calls)
	for i := range m.trackers {
		t := &m.trackers[i]
		t.record.InDoubt = slices.Clone(t.record.InDoubt)
		for _, p := range []**Record{&t.pendingWrite} {
			if *p != nil {
				copied := **p
				*p = &copied
			}
		}
		if t.change != nil {
			copied := *t.change
			t.change = &copied
		}
	}
	return m
}

// Key implements rlbmodelcheck.State.
func (m model) Key() string {
	key := fmt.Sprint(m.version, m.value, m.endpoint, m.faultsLeft, m.changesLeft, m.takenOver)
	for _, a := range m.calls {
		key += fmt.Sprint("|", a.holder, a.task.Step, string(a.task.Value), a.task.ExpectedVersion, a.task.Order, a.awaited)
		if a.answer != nil {
			key += fmt.Sprint(*a.answer)
		}
	}
	for _, t := range m.trackers {
		record, _ := json.Marshal(t.record) // always encodes
		key += fmt.Sprint("|", t.recordKnown, t.version, string(record), t.awaitingAnswer, t.state, t.stateFresh, t.orderSent, t.inDoubt, t.confirmedFence, t.resendAt.IsZero())
		if t.pendingWrite != nil {
			flight, _ := json.Marshal(t.pendingWrite)
			key += string(flight)
		}
		if t.change != nil {
			key += fmt.Sprint(*t.change)
		}
	}
	return key
}

// Check implements rlbmodelcheck.State.
func (m model) Check() error {
	if m.endpoint.overcommitted {
		return fmt.Errorf("the endpoint's memory is overcommitted")
	}
	return nil
}

// clock is past every time at which a copy may be sent again.
var clock = time.Unix(1000, 0)

// Next implements rlbmodelcheck.State.
func (m model) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, next model) {
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	for h := range m.trackers {
		m.addHolderSteps(h, add)
	}
	for i := range m.calls {
		m.addCallSteps(i, add)
	}
	if m.faultsLeft.restarts > 0 {
		next := m.clone()
		next.faultsLeft.restarts--
		next.endpoint = endpoint{incarnation: m.endpoint.incarnation + 1}
		next.dropOrders()
		add("the endpoint restarts", next)
	}
	return steps
}

func (m model) addHolderSteps(h int, add func(string, model)) {
	if h == 0 && m.takenOver {
		return // its lease is over: it begins nothing, what it began goes on
	}
	if m.changesLeft[h] > 0 && m.trackers[h].Idle() {
		for _, c := range []Change{{rlbengine.ActionLoad, "a", "", 1}, {rlbengine.ActionLoad, "b", "", 1}, {rlbengine.ActionUnload, "a", "", 1}} {
			next := m.clone()
			if next.trackers[h].Propose(c) {
				next.changesLeft[h]--
				add(fmt.Sprintf("holder %d wishes to %s %s", h, c.Action, c.Name), next)
			}
		}
	}
	next := m.clone()
	next.trackers[h].resendAt, next.trackers[h].pausedUntil = time.Time{}, time.Time{}
	task, err := next.trackers[h].Next(clock)
	if err != nil {
		panic(err)
	}
	next.takenOver = next.takenOver || h == 1
	if task.Step == StepRead { // a late read changes nothing more than a later one
		if err := next.trackers[h].OnRead(m.version, []byte(m.value)); err != nil {
			panic(err)
		}
	} else if task.Step != StepNone {
		next.calls = append(next.calls, call{holder: h, task: task, awaited: true})
	}
	add(fmt.Sprintf("holder %d: step %d %s %s", h, task.Step, task.Order.Action, task.Order.Name), next)
}

func (m model) addCallSteps(i int, add func(string, model)) {
	a := m.calls[i]
	name := fmt.Sprintf("holder %d's step %d %s %s", a.holder, a.task.Step, a.task.Order.Action, a.task.Order.Name)
	if a.answer == nil {
		next := m.clone()
		next.applyCall(i)
		add(name+" takes effect", next)
		if a.awaited && m.faultsLeft.late > 0 {
			late := m.clone()
			late.faultsLeft.late--
			late.calls[i].awaited = false
			late.loseAnswer(a)
			add(name+" is given up and late", late)
		}
		return
	}
	if !a.awaited {
		return
	}
	arrived := m.clone()
	arrived.calls = slices.Delete(arrived.calls, i, i+1)
	arrived.deliverAnswer(a)
	add(name+" is answered", arrived)
	if m.faultsLeft.lost > 0 {
		lost := m.clone()
		lost.faultsLeft.lost--
		lost.calls = slices.Delete(lost.calls, i, i+1)
		lost.loseAnswer(a)
		add(name+" loses its answer", lost)
	}
}

func (m *model) applyCall(i int) {
	a := &m.calls[i]
	a.answer = &answer{}
	switch a.task.Step {
	case StepWrite:
		a.answer.refused = a.task.ExpectedVersion != m.version
		if !a.answer.refused {
			m.version++
			m.value, a.answer.version = string(a.task.Value), m.version
		}
	case StepSend:
		a.answer.refused = !m.endpoint.apply(a.task.Order, m.fencing)
	}
	a.answer.state = m.endpoint.state()
	if !a.awaited {
		m.calls = slices.Delete(m.calls, i, i+1)
	}
}

// dropOrders ends the connections to the endpoint's former life: an order is
// only sent on a connection made before the lease was checked.
func (m *model) dropOrders() {
	m.calls = slices.DeleteFunc(m.calls, func(a call) bool {
		if a.task.Step != StepSend || a.answer != nil {
			return false
		}
		if a.awaited {
			m.loseAnswer(a)
		}
		return true
	})
}

func (m *model) loseAnswer(a call) {
	t := &m.trackers[a.holder]
	switch a.task.Step {
	case StepWrite:
		t.OnWriteUnanswered()
	case StepState:
		t.OnStateFailed()
	case StepSend:
		t.OnSendUnanswered(a.task.Order)
	}
}

func (m *model) deliverAnswer(a call) {
	t := &m.trackers[a.holder]
	switch {
	case a.task.Step == StepState:
		t.OnStateRead(a.answer.state)
	case a.task.Step == StepWrite && a.answer.refused:
		t.OnWriteRefused(true)
	case a.task.Step == StepWrite:
		t.OnWritten(a.answer.version)
	case a.answer.refused:
		t.OnFenced()
	default:
		t.OnAccepted(a.task.Order, a.answer.state)
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, b := range []faultBudget{{lost: 1, late: 1}, {late: 1, restarts: 1}} {
			Convey(fmt.Sprintf("in every order of events, fencing %t, %+v", fencing, b), t, func() {
				initial := model{fencing: fencing, faultsLeft: b, changesLeft: [2]int{2, 2}, endpoint: endpoint{incarnation: 1}}
				for i := range initial.trackers {
					initial.trackers[i] = *New("e", fencing, uint64(i+1))
				}
				result := rlbmodelcheck.Explore(initial, 1_000_000)
				t.Log(result)
				So(result.Err, ShouldBeNil)
				So(result.States, ShouldBeGreaterThan, 1_000)
			})
		}
	}
}

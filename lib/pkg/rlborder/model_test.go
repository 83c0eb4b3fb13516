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

// model is the state of a model check: two lease holders, the second with a later
// lease, send orders to one endpoint whose memory holds one of two models. Calls may
// be late, answers may be lost, either holder may pause at any point, including
// between its check of the lease and its send, and the endpoint may restart.
type model struct {
	fencing     bool
	trackers    [2]Tracker
	version     rlbobject.Version
	value       string
	calls       []call
	endpoint    endpoint
	faultsLeft  faultBudget
	changesLeft [2]int // changes that each holder may still propose
	takenOver   bool   // the second holder has started
}

// faultBudget limits the faults of one history.
type faultBudget struct{ lost, late, restarts int }

// endpoint simulates an endpoint with one unit of memory. Each model needs one unit.
type endpoint struct {
	incarnation, sequence, fence uint64
	loaded                       []string
	overcommitted                bool
}

// call is a call in flight.
type call struct {
	holder  int
	task    Task
	awaited bool
	answer  *answer // nil until the call takes effect
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

// apply executes an order without checking the memory.
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
	for _, c := range m.calls {
		key += fmt.Sprint("|", c.holder, c.task.Step, string(c.task.Value), c.task.IfVersion, c.task.Order, c.awaited)
		if c.answer != nil {
			key += fmt.Sprint(*c.answer)
		}
	}
	for _, t := range m.trackers {
		record, _ := json.Marshal(t.record) // always encodes
		key += fmt.Sprint("|", t.recordKnown, t.version, string(record), t.awaitingAnswer, t.state, t.stateFresh, t.orderSent, t.inDoubt, t.confirmedFence, t.resendAt.IsZero())
		if t.pendingWrite != nil {
			pending, _ := json.Marshal(t.pendingWrite)
			key += string(pending)
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

// clock is later than every time at which an order is sent again.
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
		return // its lease has ended: it starts nothing new; its calls in flight continue
	}
	if m.changesLeft[h] > 0 && m.trackers[h].Idle() {
		for _, c := range []Change{{rlbengine.ActionLoad, "a", "", 1}, {rlbengine.ActionLoad, "b", "", 1}, {rlbengine.ActionUnload, "a", "", 1}} {
			next := m.clone()
			if next.trackers[h].Propose(c) {
				next.changesLeft[h]--
				add(fmt.Sprintf("holder %d proposes to %s %s", h, c.Action, c.Name), next)
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
	if task.Step == StepRead { // reads are answered at once: a delayed read equals one that starts later
		if err := next.trackers[h].OnRead(m.version, []byte(m.value)); err != nil {
			panic(err)
		}
	} else if task.Step != StepNone {
		next.calls = append(next.calls, call{holder: h, task: task, awaited: true})
	}
	add(fmt.Sprintf("holder %d: step %d %s %s", h, task.Step, task.Order.Action, task.Order.Name), next)
}

func (m model) addCallSteps(i int, add func(string, model)) {
	c := m.calls[i]
	name := fmt.Sprintf("holder %d's step %d %s %s", c.holder, c.task.Step, c.task.Order.Action, c.task.Order.Name)
	if c.answer == nil {
		next := m.clone()
		next.applyCall(i)
		add(name+" takes effect", next)
		if c.awaited && m.faultsLeft.late > 0 {
			late := m.clone()
			late.faultsLeft.late--
			late.calls[i].awaited = false
			late.loseAnswer(c)
			add(name+" is abandoned and late", late)
		}
		return
	}
	if !c.awaited {
		return
	}
	arrived := m.clone()
	arrived.calls = slices.Delete(arrived.calls, i, i+1)
	arrived.deliverAnswer(c)
	add(name+" is answered", arrived)
	if m.faultsLeft.lost > 0 {
		lost := m.clone()
		lost.faultsLeft.lost--
		lost.calls = slices.Delete(lost.calls, i, i+1)
		lost.loseAnswer(c)
		add(name+" loses its answer", lost)
	}
}

func (m *model) applyCall(i int) {
	c := &m.calls[i]
	c.answer = &answer{}
	switch c.task.Step {
	case StepWrite:
		c.answer.refused = c.task.IfVersion != m.version
		if !c.answer.refused {
			m.version++
			m.value, c.answer.version = string(c.task.Value), m.version
		}
	case StepSend:
		c.answer.refused = !m.endpoint.apply(c.task.Order, m.fencing)
	}
	c.answer.state = m.endpoint.state()
	if !c.awaited {
		m.calls = slices.Delete(m.calls, i, i+1)
	}
}

// dropOrders drops the orders in flight to the endpoint's former incarnation: an
// order is only sent on a connection that was made before the lease was checked, and
// a restart closes the connections.
func (m *model) dropOrders() {
	m.calls = slices.DeleteFunc(m.calls, func(c call) bool {
		if c.task.Step != StepSend || c.answer != nil {
			return false
		}
		if c.awaited {
			m.loseAnswer(c)
		}
		return true
	})
}

func (m *model) loseAnswer(c call) {
	t := &m.trackers[c.holder]
	switch c.task.Step {
	case StepWrite:
		t.OnWriteUnanswered()
	case StepState:
		t.OnStateFailed()
	case StepSend:
		t.OnSendUnanswered(c.task.Order)
	}
}

func (m *model) deliverAnswer(c call) {
	t := &m.trackers[c.holder]
	switch {
	case c.task.Step == StepState:
		t.OnStateRead(c.answer.state)
	case c.task.Step == StepWrite && c.answer.refused:
		t.OnWriteRefused(true)
	case c.task.Step == StepWrite:
		t.OnWritten(c.answer.version)
	case c.answer.refused:
		t.OnFenced()
	default:
		t.OnAccepted(c.task.Order, c.answer.state)
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, b := range []faultBudget{{lost: 1, late: 1}, {late: 1, restarts: 1}} {
			Convey(fmt.Sprintf("memory is not overcommitted in any order of events, fencing %t, %+v", fencing, b), t, func() {
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

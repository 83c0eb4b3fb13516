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
	fencing   bool
	books     [2]Tracker
	version   rlbobject.Version
	value     string
	asks      []ask
	endpoint  endpoint
	budget    budget
	wishes    [2]int // that each holder may still have
	succeeded bool   // the second holder has begun
}

// budget bounds the faults of one history.
type budget struct{ lost, late, restarts int }

// endpoint holds models of one unit of memory each; its memory is one unit.
type endpoint struct {
	incarnation, sequence, fence uint64
	loaded                       []string
	over                         bool
}

// ask is a call on its way.
type ask struct {
	holder  int
	plan    Task
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

// take carries an order out, without a check of its memory.
func (e *endpoint) take(o rlbengine.Order, fencing bool) bool {
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
	e.over = e.over || len(e.loaded) > 1
	return true
}

func (m model) clone() model {
	m.asks = slices.Clone(m.asks)
	for i := range m.books {
		b := &m.books[i]
		b.record.InDoubt = slices.Clone(b.record.InDoubt)
		for _, p := range []**Record{&b.flight} {
			if *p != nil {
				copied := **p
				*p = &copied
			}
		}
		if b.wish != nil {
			copied := *b.wish
			b.wish = &copied
		}
	}
	return m
}

// Key implements rlbmodelcheck.State.
func (m model) Key() string {
	key := fmt.Sprint(m.version, m.value, m.endpoint, m.budget, m.wishes, m.succeeded)
	for _, a := range m.asks {
		key += fmt.Sprint("|", a.holder, a.plan.Step, string(a.plan.Value), a.plan.IfVersion, a.plan.Order, a.awaited)
		if a.answer != nil {
			key += fmt.Sprint(*a.answer)
		}
	}
	for _, b := range m.books {
		record, _ := json.Marshal(b.record) // always encodes
		key += fmt.Sprint("|", b.known, b.version, string(record), b.waiting, b.state, b.stated, b.sent, b.unsure, b.fenced, b.retryAt.IsZero())
		if b.flight != nil {
			flight, _ := json.Marshal(b.flight)
			key += string(flight)
		}
		if b.wish != nil {
			key += fmt.Sprint(*b.wish)
		}
	}
	return key
}

// Check implements rlbmodelcheck.State.
func (m model) Check() error {
	if m.endpoint.over {
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
	for h := range m.books {
		m.act(h, add)
	}
	for i := range m.asks {
		m.deliver(i, add)
	}
	if m.budget.restarts > 0 {
		next := m.clone()
		next.budget.restarts--
		next.endpoint = endpoint{incarnation: m.endpoint.incarnation + 1}
		next.dropOrders()
		add("the endpoint restarts", next)
	}
	return steps
}

func (m model) act(h int, add func(string, model)) {
	if h == 0 && m.succeeded {
		return // its lease is over: it begins nothing, what it began goes on
	}
	if m.wishes[h] > 0 && m.books[h].Idle() {
		for _, w := range []Change{{rlbengine.ActionLoad, "a", "", 1}, {rlbengine.ActionLoad, "b", "", 1}, {rlbengine.ActionUnload, "a", "", 1}} {
			next := m.clone()
			if next.books[h].Propose(w) {
				next.wishes[h]--
				add(fmt.Sprintf("holder %d wishes to %s %s", h, w.Action, w.Name), next)
			}
		}
	}
	next := m.clone()
	next.books[h].retryAt, next.books[h].pause = time.Time{}, time.Time{}
	plan, err := next.books[h].Next(clock)
	if err != nil {
		panic(err)
	}
	next.succeeded = next.succeeded || h == 1
	if plan.Step == StepRead { // a late read changes nothing more than a later one
		if err := next.books[h].OnRead(m.version, []byte(m.value)); err != nil {
			panic(err)
		}
	} else if plan.Step != StepNone {
		next.asks = append(next.asks, ask{holder: h, plan: plan, awaited: true})
	}
	add(fmt.Sprintf("holder %d: step %d %s %s", h, plan.Step, plan.Order.Action, plan.Order.Name), next)
}

func (m model) deliver(i int, add func(string, model)) {
	a := m.asks[i]
	name := fmt.Sprintf("holder %d's step %d %s %s", a.holder, a.plan.Step, a.plan.Order.Action, a.plan.Order.Name)
	if a.answer == nil {
		next := m.clone()
		next.effect(i)
		add(name+" takes effect", next)
		if a.awaited && m.budget.late > 0 {
			late := m.clone()
			late.budget.late--
			late.asks[i].awaited = false
			late.lose(a)
			add(name+" is given up and late", late)
		}
		return
	}
	if !a.awaited {
		return
	}
	arrived := m.clone()
	arrived.asks = slices.Delete(arrived.asks, i, i+1)
	arrived.arrive(a)
	add(name+" is answered", arrived)
	if m.budget.lost > 0 {
		lost := m.clone()
		lost.budget.lost--
		lost.asks = slices.Delete(lost.asks, i, i+1)
		lost.lose(a)
		add(name+" loses its answer", lost)
	}
}

func (m *model) effect(i int) {
	a := &m.asks[i]
	a.answer = &answer{}
	switch a.plan.Step {
	case StepWrite:
		a.answer.refused = a.plan.IfVersion != m.version
		if !a.answer.refused {
			m.version++
			m.value, a.answer.version = string(a.plan.Value), m.version
		}
	case StepSend:
		a.answer.refused = !m.endpoint.take(a.plan.Order, m.fencing)
	}
	a.answer.state = m.endpoint.state()
	if !a.awaited {
		m.asks = slices.Delete(m.asks, i, i+1)
	}
}

// dropOrders ends the connections to the endpoint's former life: an order is
// only sent on a connection made before the lease was checked.
func (m *model) dropOrders() {
	m.asks = slices.DeleteFunc(m.asks, func(a ask) bool {
		if a.plan.Step != StepSend || a.answer != nil {
			return false
		}
		if a.awaited {
			m.lose(a)
		}
		return true
	})
}

func (m *model) lose(a ask) {
	b := &m.books[a.holder]
	switch a.plan.Step {
	case StepWrite:
		b.OnWriteUnanswered()
	case StepState:
		b.OnStateFailed()
	case StepSend:
		b.OnSendUnanswered(a.plan.Order)
	}
}

func (m *model) arrive(a ask) {
	b := &m.books[a.holder]
	switch {
	case a.plan.Step == StepState:
		b.OnStateRead(a.answer.state)
	case a.plan.Step == StepWrite && a.answer.refused:
		b.OnWriteRefused(true)
	case a.plan.Step == StepWrite:
		b.OnWritten(a.answer.version)
	case a.answer.refused:
		b.OnFenced()
	default:
		b.OnAccepted(a.plan.Order, a.answer.state)
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, b := range []budget{{lost: 1, late: 1}, {late: 1, restarts: 1}} {
			Convey(fmt.Sprintf("in every order of events, fencing %t, %+v", fencing, b), t, func() {
				initial := model{fencing: fencing, budget: b, wishes: [2]int{2, 2}, endpoint: endpoint{incarnation: 1}}
				for i := range initial.books {
					initial.books[i] = *New("e", fencing, uint64(i+1))
				}
				result := rlbmodelcheck.Explore(initial, 1_000_000)
				t.Log(result)
				So(result.Err, ShouldBeNil)
				So(result.States, ShouldBeGreaterThan, 1_000)
			})
		}
	}
}

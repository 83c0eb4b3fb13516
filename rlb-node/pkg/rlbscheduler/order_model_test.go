package rlbscheduler

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	. "github.com/smartystreets/goconvey/convey"
)

// The model consists of one endpoint with memory for two of three models, and two
// lease holders that send orders with different fencing numbers, in turn or at the same
// time. Each holder uses a real endpointState. The answer of an order may be lost, an
// order may arrive late, a report may be old, the endpoint may restart under its ID, and a
// holder may forget its state of the endpoint, as it does with the entry and the lease.

// timeStep is the time that passes in one step.
const timeStep = maxReportLag + 100*time.Millisecond

var modelNames = []string{"m", "n", "o"}

// modelSet is a set of models as a bit mask.
type modelSet uint8

func (s modelSet) names() []string {
	var names []string
	for i, name := range modelNames {
		if s&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

func bit(name string) modelSet { return 1 << slices.Index(modelNames, name) }

// modelEndpoint is the state of the modeled endpoint.
type modelEndpoint struct {
	incarnation int
	sequence    uint64
	fence       uint64
	holds       modelSet
	loading     modelSet
	unloading   modelSet
}

func (e modelEndpoint) busy() bool { return e.loading|e.unloading != 0 }

// applyOrder returns the endpoint's verdict on an order and starts it if accepted.
// The endpoint checks the expected sequence if checked is set.
func (e *modelEndpoint) applyOrder(o rlbdeployment.Order, checked bool) rlbdeployment.Verdict {
	b := bit(o.Model)
	switch {
	case o.Fence < e.fence:
		return rlbdeployment.VerdictFenced
	case checked && o.Sequence != e.sequence, e.busy():
		return rlbdeployment.VerdictConflict
	}
	e.fence = o.Fence
	load := o.Action == rlbdeployment.ActionLoad
	if load == (e.holds&b != 0) {
		return rlbdeployment.VerdictNoChange
	}
	e.sequence++
	if load {
		e.loading = b
	} else {
		e.unloading = b
	}
	return rlbdeployment.VerdictAccepted
}

func (e modelEndpoint) report() rlbdeployment.Report {
	r := rlbdeployment.Report{Sequence: e.sequence, Busy: e.busy(), StartedAt: startedAt(e.incarnation)}
	for _, name := range e.holds.names() {
		r.LoadedModels = append(r.LoadedModels, rlbdeployment.LoadedModel{Model: name})
	}
	return r
}

func startedAt(incarnation int) time.Time { return time.Unix(int64(incarnation+1), 0) }

// orderBounds limits the number of events in one exploration.
type orderBounds struct{ orders, faults, restarts, forgets, steps int }

// orderModel is a state of the model.
type orderModel struct {
	now            time.Time
	endpoint       modelEndpoint
	pastEndpoint   modelEndpoint // earlier state that a report may still show
	states         [2]*endpointState
	doubts         [2]*doubts
	lateOrders     []rlbdeployment.Order
	remaining      orderBounds
	checksSequence bool // whether the endpoint checks the expected sequence
}

func newOrderModel(bounds orderBounds, checksSequence bool) orderModel {
	m := orderModel{now: time.Unix(1000, 0), remaining: bounds, checksSequence: checksSequence}
	m.endpoint.holds = bit("m")
	m.pastEndpoint = m.endpoint
	for i := range m.states {
		m.states[i] = newEndpointState(&rlbdeployment.Endpoint{ID: "e", StartedAt: startedAt(0)})
		m.doubts[i] = newDoubts()
	}
	return m
}

func (m orderModel) engine() *rlbdeployment.Engine {
	e := testEngine()
	for name, spec := range e.Models {
		spec.FromStore = timeStep / 2
		e.Models[name] = spec
	}
	return e
}

// scheduler returns a scheduler that records verdicts at the model's time.
func (m orderModel) scheduler() *Scheduler {
	now := m.now
	return &Scheduler{log: &log.Logger{Handler: discard.New()}, now: func() time.Time { return now }}
}

func (m orderModel) clone() orderModel {
	m.lateOrders = slices.Clone(m.lateOrders)
	for i, state := range m.states {
		c := &endpointState{
			incarnation: state.incarnation, endpoint: state.endpoint, lastEntry: state.lastEntry, known: state.known, sequence: state.sequence,
			lastAccepted: state.lastAccepted, pausedUntil: state.pausedUntil, models: map[string]*modelState{},
		}
		for name, held := range state.models {
			copied := *held
			c.models[name] = &copied
		}
		m.states[i] = c
		m.doubts[i] = m.doubts[i].clone()
	}
	return m
}

// clone returns a copy.
func (d *doubts) clone() *doubts {
	c := newDoubts()
	for id, all := range d.byEndpoint {
		c.byEndpoint[id] = slices.Clone(all)
	}
	return c
}

// key returns the doubts as text, with times relative to now.
func (d *doubts) key(now time.Time) (key string) {
	for _, each := range d.byEndpoint["e"] {
		key += fmt.Sprint(" ", each.incarnation.StartedAt.Unix(), max(each.until.Sub(now), 0))
	}
	return key
}

// Key implements rlbmodelcheck.State. Times are relative to now.
func (m orderModel) Key() string {
	key := fmt.Sprint(m.endpoint, m.pastEndpoint, m.remaining, m.lateOrders)
	ahead := func(t time.Time) time.Duration { return max(t.Sub(m.now), 0) }
	for h, state := range m.states {
		key += fmt.Sprint("|", state.known, state.sequence, state.incarnation.StartedAt.Unix(), min(m.now.Sub(state.lastAccepted), maxReportLag), ahead(state.pausedUntil), m.doubts[h].key(m.now))
		for _, name := range slices.Sorted(maps.Keys(state.models)) {
			held := state.models[name]
			key += fmt.Sprint(name, held.unloading, held.readyAt.IsZero(), ahead(held.readyAt))
		}
	}
	return key
}

// Check implements rlbmodelcheck.State. It fails if the endpoint holds or loads more
// models than fit into its memory.
func (m orderModel) Check() error {
	if n := bits.OnesCount8(uint8(m.endpoint.holds | m.endpoint.loading)); n > 2 {
		return fmt.Errorf("the endpoint holds or loads %d models and has memory for 2", n)
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m orderModel) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, change func(*orderModel)) {
		next := m.clone()
		change(&next)
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	if m.remaining.steps > 0 {
		add("time passes", func(n *orderModel) { n.remaining.steps--; n.now = n.now.Add(timeStep); n.pastEndpoint = n.endpoint })
	}
	m.endpointEvents(add)
	for h := range m.states {
		m.holderReads(h, add)
		m.holderOrders(h, add)
	}
	return steps
}

// endpointEvents adds the events of the endpoint and of the network.
func (m orderModel) endpointEvents(add func(string, func(*orderModel))) {
	if m.endpoint.busy() {
		add("the order completes", func(n *orderModel) {
			n.endpoint.holds = (n.endpoint.holds | n.endpoint.loading) &^ n.endpoint.unloading
			n.endpoint.loading, n.endpoint.unloading = 0, 0
		})
	}
	if m.remaining.restarts > 0 {
		add("the endpoint restarts", func(n *orderModel) {
			n.remaining.restarts--
			n.endpoint = modelEndpoint{incarnation: n.endpoint.incarnation + 1}
		})
	}
	for i, o := range m.lateOrders {
		add(fmt.Sprintf("late %s %s (sequence %d) arrives", o.Action, o.Model, o.Sequence), func(n *orderModel) {
			n.lateOrders = slices.Delete(n.lateOrders, i, i+1)
			n.endpoint.applyOrder(o, n.checksSequence)
		})
		add("a late order is lost", func(n *orderModel) { n.lateOrders = slices.Delete(n.lateOrders, i, i+1) })
	}
}

// holderReads adds the events in which a holder receives the endpoint's entry or report.
func (m orderModel) holderReads(h int, add func(string, func(*orderModel))) {
	state := m.states[h]
	if !state.incarnation.StartedAt.Equal(startedAt(m.endpoint.incarnation)) {
		add(fmt.Sprintf("holder %d receives the entry of the new incarnation", h), func(n *orderModel) {
			n.states[h] = newEndpointState(&rlbdeployment.Endpoint{ID: "e", StartedAt: startedAt(n.endpoint.incarnation)})
		})
	}
	if state.known && m.remaining.forgets > 0 {
		add(fmt.Sprintf("holder %d forgets its state of the endpoint", h), func(n *orderModel) {
			n.remaining.forgets--
			n.states[h] = newEndpointState(n.states[h].incarnation)
		})
	}
	if state.known && !state.overdue(m.now) || m.now.Before(state.pausedUntil) {
		return
	}
	for _, seen := range []modelEndpoint{m.endpoint, m.pastEndpoint} {
		r := seen.report()
		if !r.StartedAt.Equal(state.incarnation.StartedAt) {
			continue // refreshState drops it
		}
		add(fmt.Sprintf("holder %d reads a report with sequence %d", h, r.Sequence), func(n *orderModel) {
			n.states[h].known = false
			n.states[h].applyReport(r, n.now)
		})
	}
}

// holderOrders adds the orders that the endpoint state of a holder allows, under the
// same conditions as executeProposal.
func (m orderModel) holderOrders(h int, add func(string, func(*orderModel))) {
	state := m.states[h]
	if m.remaining.orders == 0 || !state.known || state.busy() || m.now.Before(state.pausedUntil) || m.doubts[h].blocks(state.incarnation, m.now) {
		return
	}
	for _, name := range modelNames {
		o := rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: name, Sequence: state.sequence, Holder: fmt.Sprint(h), Fence: uint64(h + 1)}
		switch {
		case state.canServe(name):
			o.Action = rlbdeployment.ActionUnload
		case !state.fits(newSizes(m.engine()), name):
			continue
		}
		m.sendOrder(h, o, add)
	}
}

// sendOrder adds the outcomes of an order: it is answered, its answer is lost, or it
// arrives late.
func (m orderModel) sendOrder(h int, o rlbdeployment.Order, add func(string, func(*orderModel))) {
	event := fmt.Sprintf("holder %d orders %s %s (sequence %d)", h, o.Action, o.Model, o.Sequence)
	add(event, func(n *orderModel) {
		n.remaining.orders--
		n.scheduler().recordVerdict(n.states[h], n.engine(), o, n.endpoint.applyOrder(o, n.checksSequence))
	})
	if m.remaining.faults == 0 {
		return
	}
	unanswered := func(n *orderModel) {
		n.remaining.orders--
		n.remaining.faults--
		n.doubts[h].open(n.states[h].incarnation, n.now)
		n.scheduler().recordVerdict(n.states[h], n.engine(), o, rlbdeployment.VerdictUnknown)
	}
	add(event+", the answer is lost", func(n *orderModel) { n.endpoint.applyOrder(o, n.checksSequence); unanswered(n) })
	add(event+", which arrives late", func(n *orderModel) { n.lateOrders = append(n.lateOrders, o); unanswered(n) })
}

func TestOrdersNeverOvercommit(t *testing.T) {
	const limit = 500_000
	for _, bounds := range []orderBounds{
		{orders: 3, faults: 2, steps: 2},
		{orders: 3, faults: 1, restarts: 1, steps: 1},
		{orders: 3, faults: 1, restarts: 1, forgets: 1},
	} {
		Convey(fmt.Sprintf("in every sequence of events within %+v the endpoint is not overcommitted", bounds), t, func() {
			result := rlbmodelcheck.Explore(newOrderModel(bounds, true), limit)
			t.Log(result)
			So(result.Err, ShouldBeNil)
			So(result.States, ShouldBeGreaterThan, 10_000)
		})
	}
	Convey("a late order overcommits an endpoint that does not check the expected sequence", t, func() {
		result := rlbmodelcheck.Explore(newOrderModel(orderBounds{orders: 3, faults: 2, steps: 2}, false), limit)
		t.Log(result)
		So(result.Err, ShouldNotBeNil)
	})
}

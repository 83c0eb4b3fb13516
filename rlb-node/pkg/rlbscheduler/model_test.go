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

// The model: one endpoint with room for two of three models, and two holders of
// the lease, one after the other or, while fences decide, beside each other. Each
// uses the real desk. Orders may lose their answers, or take effect late; reports
// may be old; the endpoint may restart under its id.
const shortStep = reportLag + 100*time.Millisecond

var modelNames = []string{"m", "n", "o"}

// held is a set of models, a bit each.
type held uint8

func (h held) names() []string {
	var names []string
	for i, name := range modelNames {
		if h&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

func bit(name string) held { return 1 << slices.Index(modelNames, name) }

// machine is the endpoint.
type machine struct {
	life     int
	sequence uint64
	fence    uint64
	holds    held
	coming   held
	going    held
}

func (m machine) busy() bool { return m.coming|m.going != 0 }

// take is what the endpoint does with an order.
func (m *machine) take(o rlbdeployment.Order, checked bool) rlbdeployment.Verdict {
	b := bit(o.Model)
	switch {
	case o.Fence < m.fence:
		return rlbdeployment.VerdictFenced
	case checked && o.Sequence != m.sequence, m.busy():
		return rlbdeployment.VerdictConflict
	}
	m.fence = o.Fence
	load := o.Action == rlbdeployment.ActionLoad
	if load == (m.holds&b != 0) {
		return rlbdeployment.VerdictNoChange
	}
	m.sequence++
	if load {
		m.coming = b
	} else {
		m.going = b
	}
	return rlbdeployment.VerdictAccepted
}

func (m machine) report() rlbdeployment.Report {
	r := rlbdeployment.Report{Sequence: m.sequence, Busy: m.busy(), StartedAt: born(m.life)}
	for _, name := range m.holds.names() {
		r.LoadedModels = append(r.LoadedModels, rlbdeployment.LoadedModel{Model: name})
	}
	return r
}

func born(life int) time.Time { return time.Unix(int64(life+1), 0) }

// orderBounds limit one exploration.
type orderBounds struct{ orders, faults, restarts, steps int }

type orderModel struct {
	now     time.Time
	at      machine
	past    machine // as reports may still tell
	desks   [2]*desk
	late    []rlbdeployment.Order
	left    orderBounds
	checked bool // the endpoint checks the expected sequence
}

func newOrderModel(bounds orderBounds, checked bool) orderModel {
	m := orderModel{now: time.Unix(1000, 0), left: bounds, checked: checked}
	m.at.holds = bit("m")
	m.past = m.at
	for i := range m.desks {
		m.desks[i] = newDesk(&rlbdeployment.Endpoint{ID: "e", StartedAt: born(0)})
	}
	return m
}

func (m orderModel) engine() *rlbdeployment.Engine {
	e := testEngine()
	for name, spec := range e.Models {
		spec.FromStore = shortStep / 2
		e.Models[name] = spec
	}
	return e
}

// duty returns what settles orders at the model's time.
func (m orderModel) duty() *Scheduler {
	now := m.now
	return &Scheduler{log: &log.Logger{Handler: discard.New()}, now: func() time.Time { return now }}
}

func (m orderModel) clone() orderModel {
	m.late = slices.Clone(m.late)
	for i, d := range m.desks {
		c := &desk{
			life: d.life, endpoint: d.endpoint, entry: d.entry, known: d.known, sequence: d.sequence,
			ordered: d.ordered, unsure: d.unsure, blocked: d.blocked, pause: d.pause, models: map[string]*model{},
		}
		for name, held := range d.models {
			copied := *held
			c.models[name] = &copied
		}
		m.desks[i] = c
	}
	return m
}

// Key implements rlbmodelcheck.State. Times count from now.
func (m orderModel) Key() string {
	key := fmt.Sprint(m.at, m.past, m.left, m.late)
	ahead := func(t time.Time) time.Duration { return max(t.Sub(m.now), 0) }
	for _, d := range m.desks {
		key += fmt.Sprint("|", d.known, d.sequence, d.life.StartedAt.Unix(), min(m.now.Sub(d.ordered), reportLag), ahead(d.unsure), ahead(d.blocked), ahead(d.pause))
		for _, name := range slices.Sorted(maps.Keys(d.models)) {
			held := d.models[name]
			key += fmt.Sprint(name, held.leaving, held.ready.IsZero(), ahead(held.ready))
		}
	}
	return key
}

// Check implements rlbmodelcheck.State: the endpoint is never ordered to hold more
// than fits.
func (m orderModel) Check() error {
	if n := bits.OnesCount8(uint8(m.at.holds | m.at.coming)); n > 2 {
		return fmt.Errorf("the endpoint holds or loads %d models, and has room for 2", n)
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
	if m.left.steps > 0 {
		add("time passes", func(n *orderModel) { n.left.steps--; n.now = n.now.Add(shortStep); n.past = n.at })
	}
	m.happens(add)
	for h := range m.desks {
		m.look(h, add)
		m.orders(h, add)
	}
	return steps
}

// happens is what the endpoint and the network do by themselves.
func (m orderModel) happens(add func(string, func(*orderModel))) {
	if m.at.busy() {
		add("the order is done", func(n *orderModel) {
			n.at.holds = (n.at.holds | n.at.coming) &^ n.at.going
			n.at.coming, n.at.going = 0, 0
		})
	}
	if m.left.restarts > 0 {
		add("the endpoint restarts", func(n *orderModel) { n.left.restarts--; n.at = machine{life: n.at.life + 1} })
	}
	for i, o := range m.late {
		add(fmt.Sprintf("late %s %s (sequence %d) arrives", o.Action, o.Model, o.Sequence), func(n *orderModel) {
			n.late = slices.Delete(n.late, i, i+1)
			n.at.take(o, n.checked)
		})
		add("a late order is lost", func(n *orderModel) { n.late = slices.Delete(n.late, i, i+1) })
	}
}

// look lets a holder learn of the endpoint's life and state.
func (m orderModel) look(h int, add func(string, func(*orderModel))) {
	d := m.desks[h]
	if !d.life.StartedAt.Equal(born(m.at.life)) {
		add(fmt.Sprintf("holder %d learns of the new life", h), func(n *orderModel) {
			n.desks[h] = n.desks[h].reborn(&rlbdeployment.Endpoint{ID: "e", StartedAt: born(n.at.life)})
		})
	}
	if d.known && !d.overdue(m.now) || m.now.Before(d.pause) {
		return
	}
	for _, seen := range []machine{m.at, m.past} {
		r := seen.report()
		if !r.StartedAt.Equal(d.life.StartedAt) {
			continue // refresh drops it
		}
		add(fmt.Sprintf("holder %d reads a report with sequence %d", h, r.Sequence), func(n *orderModel) {
			n.desks[h].known = false
			n.desks[h].report(r, n.now)
		})
	}
}

// orders lets a holder order what its desk allows, as carryOut does.
func (m orderModel) orders(h int, add func(string, func(*orderModel))) {
	d := m.desks[h]
	if m.left.orders == 0 || !d.known || d.busy() || m.now.Before(d.pause) || m.now.Before(d.blocked) {
		return
	}
	for _, name := range modelNames {
		o := rlbdeployment.Order{Action: rlbdeployment.ActionLoad, Model: name, Sequence: d.sequence, Holder: fmt.Sprint(h), Fence: uint64(h + 1)}
		switch {
		case d.holds(name):
			o.Action = rlbdeployment.ActionUnload
		case !d.fits(m.engine(), name):
			continue
		}
		m.gives(h, o, add)
	}
}

// gives sends an order: it is answered, or its answer is lost, or it comes late.
func (m orderModel) gives(h int, o rlbdeployment.Order, add func(string, func(*orderModel))) {
	event := fmt.Sprintf("holder %d orders %s %s (sequence %d)", h, o.Action, o.Model, o.Sequence)
	add(event, func(n *orderModel) {
		n.left.orders--
		n.duty().settle(n.desks[h], n.engine(), o, n.at.take(o, n.checked))
	})
	if m.left.faults == 0 {
		return
	}
	unanswered := func(n *orderModel) {
		n.left.orders--
		n.left.faults--
		n.duty().settle(n.desks[h], n.engine(), o, rlbdeployment.VerdictUnknown)
	}
	add(event+", the answer is lost", func(n *orderModel) { n.at.take(o, n.checked); unanswered(n) })
	add(event+", which comes late", func(n *orderModel) { n.late = append(n.late, o); unanswered(n) })
}

func TestOrdersNeverOvercommit(t *testing.T) {
	const limit = 500_000
	for _, bounds := range []orderBounds{
		{orders: 3, faults: 2, steps: 2},
		{orders: 3, faults: 1, restarts: 1, steps: 1},
	} {
		Convey(fmt.Sprintf("in every order of events, %+v, the endpoint is not ordered to hold too much", bounds), t, func() {
			result := rlbmodelcheck.Explore(newOrderModel(bounds, true), limit)
			t.Log(result)
			So(result.Err, ShouldBeNil)
			So(result.States, ShouldBeGreaterThan, 10_000)
		})
	}
	Convey("at an endpoint that ignores the expected sequence a late order does it", t, func() {
		result := rlbmodelcheck.Explore(newOrderModel(orderBounds{orders: 3, faults: 2, steps: 2}, false), limit)
		t.Log(result)
		So(result.Err, ShouldNotBeNil)
	})
}

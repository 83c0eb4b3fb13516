package rlbplacement

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	. "github.com/smartystreets/goconvey/convey"
)

// The model: two holders with one engine each, both with a ready replica of the
// same model, and one object of guards. Each holder may want to unload or to
// guard its own replica at any time; writes may be late or lose their answers; a
// holder may be replaced by one that knows nothing. Engines may load again.
type guardModel struct {
	version int
	value   Guards
	holders [2]holder
	ready   [2]bool
	late    []write // of holders that no longer wait for them
	faults  int     // left
}

type holder struct {
	view    Guards
	valid   bool
	change  *write // under way
	pending bool   // an unload is recorded and will reach the engine
}

type write struct {
	base int
	next Guards
}

func endpointOf(h int) string { return fmt.Sprint("e", h) }

// Key implements rlbmodelcheck.State. Of a version only counts whether it is the
// present one.
func (m guardModel) Key() string {
	show := func(g Guards) string {
		text, _ := json.Marshal(g) // always encodes
		return string(text)
	}
	key := fmt.Sprint(show(m.value), m.ready, m.faults)
	for _, h := range m.holders {
		key += fmt.Sprint("|", show(h.view), h.valid, h.pending)
		if h.change != nil {
			key += fmt.Sprint(m.version == h.change.base, show(h.change.next))
		}
	}
	for _, w := range m.late {
		key += fmt.Sprint("~", m.version == w.base, show(w.next))
	}
	return key
}

// Check implements rlbmodelcheck.State.
func (m guardModel) Check() error {
	if !m.ready[0] && !m.ready[1] {
		return fmt.Errorf("no replica is left")
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m guardModel) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, change func(*guardModel)) {
		next := m
		next.late = slices.Clone(m.late)
		change(&next)
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	for h := range m.holders {
		m.act(h, add)
	}
	for i, w := range m.late {
		add("a late write takes effect, or not", func(n *guardModel) {
			n.late = slices.Delete(n.late, i, i+1)
			n.put(w)
		})
	}
	return steps
}

func (m *guardModel) put(w write) bool {
	if w.base != m.version {
		return false
	}
	m.version++
	m.value = w.next
	return true
}

func (m guardModel) act(h int, add func(string, func(*guardModel))) {
	own, me := endpointOf(h), m.holders[h]
	if me.change == nil {
		m.begin(h, add)
	} else {
		add(fmt.Sprintf("holder %d's write is answered", h), func(n *guardModel) {
			done := n.put(*me.change)
			n.holders[h].change = nil
			if n.holders[h].valid = done; done {
				n.holders[h].view = me.change.next
			}
		})
		if m.faults > 0 {
			add(fmt.Sprintf("holder %d gives its write up", h), func(n *guardModel) {
				n.faults--
				n.late = append(n.late, *me.change)
				n.holders[h].change, n.holders[h].valid = nil, false
			})
		}
	}
	if me.valid && me.change == nil && !me.pending && m.ready[h] && slices.Contains(me.view.Models["m"].Retiring, own) {
		add(fmt.Sprintf("holder %d orders the unload", h), func(n *guardModel) { n.holders[h].pending = true })
	}
	if me.pending {
		add(fmt.Sprintf("engine %d unloads", h), func(n *guardModel) { n.holders[h].pending, n.ready[h] = false, false })
	}
	if !me.pending && !m.ready[h] {
		add(fmt.Sprintf("engine %d loads again", h), func(n *guardModel) { n.ready[h] = true })
	}
	if m.faults > 0 {
		add(fmt.Sprintf("holder %d is replaced", h), func(n *guardModel) {
			n.faults--
			if me.change != nil {
				n.late = append(n.late, *me.change)
			}
			n.holders[h] = holder{pending: me.pending} // the intent is recorded
		})
	}
}

// begin reads the object and the engine and begins a change, as the controller
// does for an engine whose book is idle.
func (m guardModel) begin(h int, add func(string, func(*guardModel))) {
	own := endpointOf(h)
	start := func(name string, next Guards, ok bool) {
		if !ok {
			return
		}
		add(fmt.Sprintf("holder %d: %s", h, name), func(n *guardModel) {
			n.holders[h].valid = false
			n.holders[h].change = &write{n.version, next}
		})
	}
	if m.holders[h].pending {
		return
	}
	retire, ok := m.value.Retire("m", "v", own)
	start("retire", retire, ok)
	start("retired", m.value.ClearRetiring("m", "v", own), slices.Contains(m.value.Models["m"].Retiring, own))
	if m.ready[h] {
		keep, ok := m.value.Protect("m", "v", own)
		start("keep", keep, ok)
	}
}

func TestLastReplicaStays(t *testing.T) {
	Convey("in every order of events two holders leave a ready replica", t, func() {
		guarded, _ := Guards{}.Protect("m", "v", "e0")
		result := rlbmodelcheck.Explore(guardModel{value: guarded, ready: [2]bool{true, true}, faults: 2}, 500_000)
		t.Log(result)
		So(result.Err, ShouldBeNil)
		So(result.States, ShouldBeGreaterThan, 1_000)
	})
}

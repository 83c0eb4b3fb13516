package rlbplacement

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmodelcheck"
	. "github.com/smartystreets/goconvey/convey"
)

// guardModel is the state of a model check: two lease holders with one engine
// each, both with a ready replica of the same model, and one object of guards.
// Each holder may unload or guard its own replica at any time, writes may be late
// or lose their answers, a holder may be replaced by one with empty state, and
// engines may load the model again.
type guardModel struct {
	version    int
	value      Guards
	holders    [2]holder
	ready      [2]bool
	lateWrites []write // abandoned by their holders, may still take effect
	faultsLeft int
}

type holder struct {
	view          Guards
	viewValid     bool
	pendingWrite  *write // in flight; nil if there is none
	unloadPending bool   // an unload is recorded and will be sent to the engine
}

type write struct {
	base int
	next Guards
}

func endpointID(h int) string { return fmt.Sprint("e", h) }

// Key implements rlbmodelcheck.State. It includes of each version only whether it
// is the current one, since nothing else depends on versions.
func (m guardModel) Key() string {
	show := func(g Guards) string {
		text, _ := json.Marshal(g) // always encodes
		return string(text)
	}
	key := fmt.Sprint(show(m.value), m.ready, m.faultsLeft)
	for _, h := range m.holders {
		key += fmt.Sprint("|", show(h.view), h.viewValid, h.unloadPending)
		if h.pendingWrite != nil {
			key += fmt.Sprint(m.version == h.pendingWrite.base, show(h.pendingWrite.next))
		}
	}
	for _, w := range m.lateWrites {
		key += fmt.Sprint("~", m.version == w.base, show(w.next))
	}
	return key
}

// Check implements rlbmodelcheck.State.
func (m guardModel) Check() error {
	if !m.ready[0] && !m.ready[1] {
		return fmt.Errorf("no ready replica of the model is left")
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m guardModel) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, change func(*guardModel)) {
		next := m
		next.lateWrites = slices.Clone(m.lateWrites)
		change(&next)
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	for h := range m.holders {
		m.addHolderSteps(h, add)
	}
	for i, w := range m.lateWrites {
		add("a late write arrives", func(n *guardModel) {
			n.lateWrites = slices.Delete(n.lateWrites, i, i+1)
			n.apply(w)
		})
	}
	return steps
}

func (m *guardModel) apply(w write) bool {
	if w.base != m.version {
		return false
	}
	m.version++
	m.value = w.next
	return true
}

func (m guardModel) addHolderSteps(h int, add func(string, func(*guardModel))) {
	endpoint, self := endpointID(h), m.holders[h]
	if self.pendingWrite == nil {
		m.addChanges(h, add)
	} else {
		add(fmt.Sprintf("holder %d's write is answered", h), func(n *guardModel) {
			done := n.apply(*self.pendingWrite)
			n.holders[h].pendingWrite = nil
			if n.holders[h].viewValid = done; done {
				n.holders[h].view = self.pendingWrite.next
			}
		})
		if m.faultsLeft > 0 {
			add(fmt.Sprintf("holder %d abandons its write", h), func(n *guardModel) {
				n.faultsLeft--
				n.lateWrites = append(n.lateWrites, *self.pendingWrite)
				n.holders[h].pendingWrite, n.holders[h].viewValid = nil, false
			})
		}
	}
	if self.viewValid && self.pendingWrite == nil && !self.unloadPending && m.ready[h] && slices.Contains(self.view.Models["m"].Retiring, endpoint) {
		add(fmt.Sprintf("holder %d orders the unload", h), func(n *guardModel) { n.holders[h].unloadPending = true })
	}
	if self.unloadPending {
		add(fmt.Sprintf("engine %d unloads", h), func(n *guardModel) { n.holders[h].unloadPending, n.ready[h] = false, false })
	}
	if !self.unloadPending && !m.ready[h] {
		add(fmt.Sprintf("engine %d loads again", h), func(n *guardModel) { n.ready[h] = true })
	}
	if m.faultsLeft > 0 {
		add(fmt.Sprintf("holder %d is replaced", h), func(n *guardModel) {
			n.faultsLeft--
			if self.pendingWrite != nil {
				n.lateWrites = append(n.lateWrites, *self.pendingWrite)
			}
			n.holders[h] = holder{unloadPending: self.unloadPending} // the intent is recorded
		})
	}
}

// addChanges adds the changes that a holder may start after it read the object and
// the engine, as the controller does for an engine whose order tracker is idle.
func (m guardModel) addChanges(h int, add func(string, func(*guardModel))) {
	endpoint := endpointID(h)
	start := func(name string, next Guards, ok bool) {
		if !ok {
			return
		}
		add(fmt.Sprintf("holder %d: %s", h, name), func(n *guardModel) {
			n.holders[h].viewValid = false
			n.holders[h].pendingWrite = &write{n.version, next}
		})
	}
	if m.holders[h].unloadPending {
		return
	}
	retire, ok := m.value.Retire("m", "v", endpoint)
	start("retire", retire, ok)
	start("clear retiring", m.value.ClearRetiring("m", "v", endpoint), slices.Contains(m.value.Models["m"].Retiring, endpoint))
	if m.ready[h] {
		protect, ok := m.value.Protect("m", "v", endpoint)
		start("protect", protect, ok)
	}
}

func TestLastReplicaStays(t *testing.T) {
	Convey("two holders leave a ready replica in every order of events", t, func() {
		guarded, _ := Guards{}.Protect("m", "v", "e0")
		result := rlbmodelcheck.Explore(guardModel{value: guarded, ready: [2]bool{true, true}, faultsLeft: 2}, 500_000)
		t.Log(result)
		So(result.Err, ShouldBeNil)
		So(result.States, ShouldBeGreaterThan, 1_000)
	})
}

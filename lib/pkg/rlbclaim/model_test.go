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

// The model: three sends of one request under one key go through two
// controllers, each with a ledger of the same shard. Writes may be late, their
// answers may be lost, the object API may refuse, a controller may crash and
// start anew, waiting claims may be given up.
type model struct {
	ledgers [2]*Ledger
	lives   [2]int
	version rlbobject.Version
	value   string
	writes  []write
	sent    [3]sent
	budget  budget
}

// budget bounds the faults of one history.
type budget struct{ lost, late, refused, crashes, giveUps int }

// sent is one send of the request.
type sent uint8

const (
	unsent  sent = iota
	waiting      // for its claim
	granted      // dispatched
	ended        // not granted, or given up by its gateway
)

// write is a write on its way.
type write struct {
	ledger, life int
	w            Write
	awaited      bool
	done         bool
	version      rlbobject.Version
	conflict     bool
}

func (m model) clone() model {
	m.writes = slices.Clone(m.writes)
	for i, l := range m.ledgers {
		copied := *l
		copied.index = maps.Clone(l.index)
		copied.queue = slices.Clone(l.queue)
		copied.done = slices.Clone(l.done)
		if l.flight != nil {
			flight := *l.flight
			copied.flight = &flight
		}
		m.ledgers[i] = &copied
	}
	return m
}

// Key implements rlbmodelcheck.State.
func (m model) Key() string {
	key := fmt.Sprint(m.version, m.value, m.sent, m.lives, m.budget)
	for _, w := range m.writes {
		key += fmt.Sprint("|", w.ledger, w.life, string(w.w.Head), w.w.IfVersion, w.awaited, w.done, w.version, w.conflict)
	}
	for _, l := range m.ledgers {
		key += fmt.Sprint("|", l.loaded, l.version, l.head, l.index, l.queue, l.serial)
		if l.flight != nil {
			key += fmt.Sprint(*l.flight)
		}
	}
	return key
}

// Check implements rlbmodelcheck.State: at most one send is ever dispatched.
func (m model) Check() error {
	n := 0
	for _, s := range m.sent {
		if s == granted {
			n++
		}
	}
	if n > 1 {
		return fmt.Errorf("%d sends of one request were granted: %v", n, m.sent)
	}
	return nil
}

// Next implements rlbmodelcheck.State.
func (m model) Next() []rlbmodelcheck.Step {
	var steps []rlbmodelcheck.Step
	add := func(event string, next model) {
		next.collect()
		steps = append(steps, rlbmodelcheck.Step{Event: event, State: next})
	}
	for i, s := range m.sent {
		if s != unsent || i > 0 && m.sent[i-1] == unsent {
			continue
		}
		for l := range m.ledgers {
			next := m.clone()
			next.sent[i] = waiting
			next.ledgers[l].Submit(Ticket(i+1), Operation{VerbClaim, Entry{Key: Key{1}, Run: RunID{byte(i + 1)}}})
			add(fmt.Sprintf("send %d goes to ledger %d", i, l), next)
		}
	}
	for l := range m.ledgers {
		m.act(l, add)
	}
	for i := range m.writes {
		m.deliver(i, add)
	}
	return steps
}

// collect hands results to the gateways. One whose claim is not recorded gives
// its run up and says so to the same ledger.
func (m *model) collect() {
	for _, l := range m.ledgers {
		for _, done := range l.Completions() {
			if done.Ticket > Ticket(len(m.sent)) {
				continue // a release
			}
			i := done.Ticket - 1
			if m.sent[i] != waiting {
				continue
			}
			m.sent[i] = ended
			switch done.Result.Status {
			case Granted:
				m.sent[i] = granted
			case Unavailable:
				l.Submit(done.Ticket+Ticket(len(m.sent)), Operation{VerbRelease, Entry{Key: Key{1}, Run: RunID{byte(i + 1)}}})
			}
		}
	}
}

func (m model) act(l int, add func(string, model)) {
	next := m.clone()
	ledger := next.ledgers[l]
	if !ledger.Loaded() && ledger.Pending() > 0 && !m.open(l) {
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
		next.writes = append(next.writes, write{ledger: l, life: m.lives[l], w: *w, awaited: true})
		add(fmt.Sprintf("ledger %d writes", l), next)
	} else {
		add(fmt.Sprintf("ledger %d settles", l), next)
	}
	if m.budget.crashes > 0 {
		crashed := m.clone()
		crashed.budget.crashes--
		crashed.lives[l]++
		crashed.ledgers[l] = NewLedger(fmt.Sprint("c", l, ".", crashed.lives[l]), 0)
		add(fmt.Sprintf("controller %d crashes", l), crashed)
	}
	if m.budget.giveUps > 0 && m.ledgers[l].Pending() > 0 {
		given := m.clone()
		given.budget.giveUps--
		given.ledgers[l].AbortPending()
		add(fmt.Sprintf("ledger %d gives up", l), given)
	}
}

// open reports whether the ledger awaits the answer of a write.
func (m model) open(l int) bool {
	return slices.ContainsFunc(m.writes, func(w write) bool { return w.ledger == l && w.life == m.lives[l] && w.awaited })
}

func (m model) deliver(i int, add func(string, model)) {
	w := m.writes[i]
	alive := w.awaited && w.life == m.lives[w.ledger]
	if !w.done {
		next := m.clone()
		next.effect(i)
		add(fmt.Sprintf("write %d of ledger %d takes effect", i, w.ledger), next)
		if alive && m.budget.late > 0 {
			late := m.clone()
			late.budget.late--
			late.writes[i].awaited = false
			late.ledgers[w.ledger].WriteUnanswered()
			add(fmt.Sprintf("write %d of ledger %d is late", i, w.ledger), late)
		}
		if alive && m.budget.refused > 0 {
			refused := m.clone()
			refused.budget.refused--
			refused.writes = slices.Delete(refused.writes, i, i+1)
			refused.ledgers[w.ledger].WriteRefused(false)
			add(fmt.Sprintf("write %d of ledger %d is refused", i, w.ledger), refused)
		}
		return
	}
	next := m.clone()
	next.writes = slices.Delete(next.writes, i, i+1)
	if alive && w.conflict {
		next.ledgers[w.ledger].WriteRefused(true)
	} else if alive {
		next.ledgers[w.ledger].WriteSucceeded(w.version)
	}
	add(fmt.Sprintf("write %d of ledger %d is answered", i, w.ledger), next)
	if alive && m.budget.lost > 0 {
		lost := m.clone()
		lost.budget.lost--
		lost.writes = slices.Delete(lost.writes, i, i+1)
		lost.ledgers[w.ledger].WriteUnanswered()
		add(fmt.Sprintf("answer to write %d of ledger %d is lost", i, w.ledger), lost)
	}
}

func (m *model) effect(i int) {
	w := &m.writes[i]
	w.done, w.conflict = true, w.w.IfVersion != m.version
	if !w.conflict {
		m.version++
		m.value, w.version = string(w.w.Head), m.version
	}
}

func TestOneSendIsGranted(t *testing.T) {
	for _, b := range []budget{{lost: 1, late: 1}, {late: 1, crashes: 1}, {lost: 1, giveUps: 1}, {late: 1, refused: 1, giveUps: 1}} {
		Convey(fmt.Sprintf("in every order of events, %+v", b), t, func() {
			initial := model{budget: b}
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

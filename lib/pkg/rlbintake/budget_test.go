package rlbintake

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// fixture is a budget with one listener and the connections that it has closed.
type fixture struct {
	*budget
	group  *group
	closed []string
}

func newFixture(total int64, connections int) *fixture {
	f := &fixture{budget: newBudget(total)}
	f.group = f.newGroup(connections)
	return f
}

// open opens a connection at a moment and checks whether it may stay. It ends once it is closed.
func (f *fixture) open(at time.Duration, name string, stays bool) *holder {
	h := &holder{group: f.group}
	h.close = func() {
		f.closed = append(f.closed, name)
		go f.remove(h)
	}
	So(f.admit(start.Add(at), h), ShouldEqual, stays)
	return h
}

// TestConnectionsGiveWay guards against clients that take all connections of a listener and
// send nothing, or heads without end.
func TestConnectionsGiveWay(t *testing.T) {
	Convey("Given a listener of three connections", t, func() {
		f := newFixture(1<<30, 3)
		silent := f.open(0, "silent", true)
		idle := f.open(10*time.Millisecond, "idle", true)
		f.finish(start.Add(20*time.Millisecond), idle)
		serving := f.open(30*time.Millisecond, "serving", true)
		So(f.move(start.Add(30*time.Millisecond), serving, phaseServing), ShouldBeTrue)
		Convey("a new one closes an idle one before a young incomplete request", func() {
			f.open(40*time.Millisecond, "new", true)
			So(f.closed, ShouldResemble, []string{"idle"})
			So(f.move(start, idle, phaseServing), ShouldBeFalse)
		})
		Convey("a new one closes an old incomplete request before an idle one", func() {
			f.open(unfinishedAge, "new", true)
			So(f.closed, ShouldResemble, []string{"silent"})
			Convey("whose later bytes are not taken", func() {
				So(f.read(start.Add(unfinishedAge), silent, 1), ShouldBeFalse)
				So(f.move(start.Add(unfinishedAge), silent, phaseServing), ShouldBeFalse)
			})
		})
		Convey("a request that was read to its end is not cut", func() {
			f.move(start, silent, phaseServing)
			f.move(start, idle, phaseServing)
			f.open(time.Hour, "new", false)
			So(f.closed, ShouldBeEmpty)
			So(f.snapshot().Refused, ShouldEqual, 1)
			f.remove(idle)
			f.open(time.Hour, "newer", true)
		})
	})
}

// TestMemoryGivesWay guards against heads and bodies that take the memory of a process together.
func TestMemoryGivesWay(t *testing.T) {
	Convey("Given connections whose large heads take three quarters of the memory", t, func() {
		const total = 4 << 20
		f := newFixture(total, 100)
		held := f.open(0, "held", true)
		So(f.read(start, held, 1<<20), ShouldBeTrue)
		served := f.open(time.Millisecond, "served", true)
		So(f.read(start, served, 1<<20), ShouldBeTrue)
		So(f.move(start, served, phaseServing), ShouldBeTrue)
		So(f.snapshot().Bytes, ShouldEqual, 2<<20+2*connectionCost)
		Convey("a small request is taken, and none gives way", func() {
			f.open(2*time.Millisecond, "small", true)
			So(f.closed, ShouldBeEmpty)
		})
		Convey("another large head takes the place of the incomplete one once that has ended", func() {
			next := f.open(2*time.Millisecond, "next", true)
			So(f.read(start, next, 1<<20), ShouldBeTrue)
			So(f.closed, ShouldResemble, []string{"held"})
			So(f.snapshot().Bytes, ShouldEqual, 2<<20+2*connectionCost)
			Convey("and is refused if only requests in progress are left", func() {
				So(f.read(start, next, 1<<20), ShouldBeFalse)
				So(f.closed, ShouldResemble, []string{"held"})
			})
		})
		Convey("what a request held is free at its end", func() {
			f.finish(start, served)
			f.remove(held)
			So(f.snapshot().Bytes, ShouldEqual, connectionCost)
			So(f.snapshot().Connections, ShouldEqual, 1)
		})
	})
}

// TestBudgetInvariants plays random calls: the budget is kept, its counts are those of what is
// held, and what is served is not closed.
func TestBudgetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, limit = 1 << 20, 6
		b := newBudget(total)
		groups := []*group{b.newGroup(limit), b.newGroup(2)}
		var held []*holder
		var ends sync.WaitGroup
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(held) == 0 || rapid.IntRange(0, 3).Draw(t, "opens") == 0 {
				h := &holder{group: groups[rapid.IntRange(0, 1).Draw(t, "group")]}
				h.close = func() { ends.Go(func() { b.remove(h) }) }
				if b.admit(now, h) {
					held = append(held, h)
				}
				continue
			}
			h := held[rapid.IntRange(0, len(held)-1).Draw(t, "which")]
			wasServing := map[*holder]bool{}
			for _, other := range held {
				wasServing[other] = other.phase == phaseServing
			}
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				b.read(now, h, int64(rapid.IntRange(1, 300<<10).Draw(t, "bytes")))
			case 1:
				b.move(now, h, phaseServing)
			case 2:
				b.finish(now, h)
			case 3:
				b.release(h)
			default:
				b.remove(h)
				wasServing[h] = false
			}
			ends.Wait()
			checkBudget(t, b, held, wasServing)
		}
	})
}

func checkBudget(t *rapid.T, b *budget, held []*holder, wasServing map[*holder]bool) {
	bytes, connections, byGroup := int64(0), 0, map[*group]int{}
	for _, h := range held {
		if h.phase == phaseClosed {
			if wasServing[h] {
				t.Fatal("a request in progress was closed")
			}
			continue
		}
		bytes += h.bytes
		connections++
		byGroup[h.group]++
	}
	if b.closing != 0 || bytes != b.counts.Bytes || bytes > b.total || connections != b.counts.Connections {
		t.Fatalf("counts %+v, held %d bytes of %d connections", b.counts, bytes, connections)
	}
	for g, n := range byGroup {
		if n != g.count || n > g.limit {
			t.Fatalf("%d connections, counted %d, limit %d", n, g.count, g.limit)
		}
	}
}

// Package rlbintake limits what the clients of a process make it hold: heads as they are
// parsed, bodies, messages, and the connections themselves. All listeners of a process share
// one budget of memory; each has a number of connections. When either runs short,
// connections that wait for their client give way: those whose request has not been read to
// its end, and idle ones. A request that was read to its end is never cut.
package rlbintake

import (
	"sync"
	"time"
)

// Costs in bytes that are counted for what clients send.
const (
	connectionCost = 16 << 10 // of a connection: stack, buffers, state
	headByteCost   = 2        // of a byte of a head
	headLineCost   = 256      // of a header line as it is parsed and copied to be forwarded
	bodyByteCost   = 2        // of a byte of a body, whose buffer grows
	frameByteCost  = 3        // of a byte of a message: its buffer grows, and its body is copied
)

const (
	// smallBytes is what a connection may take of the part of the budget that is left for
	// small requests, whatever others send.
	smallBytes = 64 << 10
	// smallShare is that part, as a divisor of the budget.
	smallShare = 4
	// unfinishedAge is how long a request may be incomplete before its connection gives way
	// ahead of idle ones.
	unfinishedAge = 500 * time.Millisecond
)

// phase is what a connection waits for.
type phase int

const (
	phaseReading phase = iota // the rest of a request
	phaseIdle                 // the first byte of the next request
	phaseServing              // its process
	phaseClosed
	phases
)

// holder is a connection and what it takes of the budget.
type holder struct {
	group      *group
	phase      phase
	since      time.Time // start of the phase
	bytes      int64
	close      func() // closes the connection without waiting; called with the lock
	prev, next *holder
}

// group is the connections of one listener.
type group struct {
	limit   int // of connections
	count   int
	waiting [phases]queue // by phase, longest first; those of phaseServing are not kept
}

// queue is a list of holders in the order in which they were added.
type queue struct{ first, last *holder }

func (q *queue) push(h *holder) {
	h.prev, h.next = q.last, nil
	if q.last == nil {
		q.first = h
	} else {
		q.last.next = h
	}
	q.last = h
}

func (q *queue) remove(h *holder) {
	if h.prev == nil {
		q.first = h.next
	} else {
		h.prev.next = h.next
	}
	if h.next == nil {
		q.last = h.prev
	} else {
		h.next.prev = h.prev
	}
	h.prev, h.next = nil, nil
}

// Counts are what a budget has counted since its start, and what it holds now.
type Counts struct {
	Bytes       int64
	Connections int
	GaveWay     int64 // connections that were closed for others
	Refused     int64 // connections and requests for which nothing could give way
}

// budget decides which connections are held. It is safe for concurrent use.
type budget struct {
	mu      sync.Mutex
	changed sync.Cond // of closing, or of the phase of a connection to phaseClosed
	total   int64
	groups  []*group
	counts  Counts
	closing int64 // bytes of connections that gave way and have not ended
}

func newBudget(total int64) *budget {
	b := &budget{total: total}
	b.changed.L = &b.mu
	return b
}

func (b *budget) newGroup(limit int) *group {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &group{limit: limit}
	b.groups = append(b.groups, g)
	return g
}

// admit adds a connection. It reports whether it may stay. It waits for nothing, as the next
// connection is accepted after it.
func (b *budget) admit(now time.Time, h *holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.group.count >= h.group.limit {
		victim := longest(now, nil, h.group)
		if victim == nil {
			b.counts.Refused++
			return false
		}
		b.giveWay(victim)
	}
	h.group.count++
	b.counts.Connections++
	b.enter(now, h, phaseReading)
	if b.take(now, h, connectionCost, false) {
		return true
	}
	b.drop(h)
	b.settle(h)
	return false
}

// add adds bytes to what a connection holds. It reports whether there is room for them.
func (b *budget) add(now time.Time, h *holder, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now, h, bytes, true)
}

// read adds bytes of a head. An idle connection then waits for the rest of a request.
func (b *budget) read(now time.Time, h *holder, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == phaseIdle {
		b.enter(now, h, phaseReading)
	}
	return b.take(now, h, bytes, true)
}

// take takes bytes for a connection. Others give way if there is no room, and it may wait
// until they have ended. The lock is held.
func (b *budget) take(now time.Time, h *holder, bytes int64, wait bool) bool {
	floor := int64(0)
	if h.bytes+bytes > smallBytes {
		floor = b.total / smallShare
	}
	for h.phase != phaseClosed {
		lacking := floor + bytes - (b.total - b.counts.Bytes)
		if lacking <= 0 || !wait && lacking <= b.closing {
			h.bytes += bytes
			b.counts.Bytes += bytes
			return true
		}
		if lacking <= b.closing {
			b.changed.Wait()
			continue
		}
		victim := longest(now, h, b.groups...)
		if victim == nil {
			b.counts.Refused++
			return false
		}
		b.giveWay(victim)
	}
	return false
}

// enter makes a connection enter a phase. It reports whether it is still held.
func (b *budget) enter(now time.Time, h *holder, to phase) bool {
	if h.phase == phaseClosed {
		return false
	}
	b.leave(h)
	h.phase, h.since = to, now
	if to != phaseServing {
		h.group.waiting[to].push(h)
	}
	return true
}

// leave takes a connection out of the queue of its phase.
func (b *budget) leave(h *holder) {
	q := &h.group.waiting[h.phase]
	if h.prev != nil || h.next != nil || q.first == h {
		q.remove(h)
	}
}

// move makes a connection enter a phase. It reports whether the connection is still held.
func (b *budget) move(now time.Time, h *holder, to phase) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.enter(now, h, to)
}

// finish ends a request: what it held is free, and the connection is idle.
func (b *budget) finish(now time.Time, h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.enter(now, h, phaseIdle) {
		b.free(h)
	}
}

// release frees what a connection holds beside itself.
func (b *budget) release(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase != phaseClosed {
		b.free(h)
	}
}

func (b *budget) free(h *holder) {
	b.counts.Bytes -= h.bytes - connectionCost
	h.bytes = connectionCost
	b.changed.Broadcast()
}

// remove frees what a connection holds: it has ended.
func (b *budget) remove(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase != phaseClosed {
		b.drop(h)
	}
	b.settle(h)
}

// giveWay closes a connection. What it holds counts until it has ended.
func (b *budget) giveWay(h *holder) {
	b.counts.GaveWay++
	b.drop(h)
	h.close()
}

// drop takes a connection out of its group.
func (b *budget) drop(h *holder) {
	b.leave(h)
	b.counts.Connections--
	h.group.count--
	h.phase = phaseClosed
	b.closing += h.bytes
	b.changed.Broadcast() // it may wait itself
}

// settle frees what a dropped connection holds.
func (b *budget) settle(h *holder) {
	b.counts.Bytes -= h.bytes
	b.closing -= h.bytes
	h.bytes = 0
	b.changed.Broadcast()
}

// longest returns the connection of some groups that gives way first, except one: the
// oldest incomplete request if it is old, else the connection that is idle for longest, else
// the oldest incomplete request. It returns nil if there is none.
func longest(now time.Time, except *holder, groups ...*group) *holder {
	reading := oldest(except, phaseReading, groups)
	if reading != nil && now.Sub(reading.since) >= unfinishedAge {
		return reading
	}
	if idle := oldest(except, phaseIdle, groups); idle != nil {
		return idle
	}
	return reading
}

func oldest(except *holder, in phase, groups []*group) *holder {
	var found *holder
	for _, g := range groups {
		h := g.waiting[in].first
		if h != nil && h == except {
			h = h.next
		}
		if h != nil && (found == nil || h.since.Before(found.since)) {
			found = h
		}
	}
	return found
}

// snapshot returns the counts.
func (b *budget) snapshot() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

package rlbfakeengine

import (
	"container/heap"
	"context"
	"sync"
)

// slotPool limits the number of running requests. Waiting requests are admitted
// by priority, then by arrival.
type slotPool struct {
	mu      sync.Mutex
	free    int
	running int
	arrival uint64
	queue   waiters
}

type waiter struct {
	priority int // the lowest value is admitted first
	arrival  uint64
	admitted chan struct{}
	index    int // position in the heap; -1: admitted
}

func newSlotPool(n int) *slotPool { return &slotPool{free: n} }

// acquire waits for a slot; it returns false if ctx ends first.
func (s *slotPool) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return true
	}
	s.arrival++
	w := &waiter{priority: priority, arrival: s.arrival, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return s.cancelWait(w)
	}
}

// cancelWait removes w from the queue. If w was admitted in the meantime, its slot
// goes to the next waiter. It returns false, the result of acquire.
func (s *slotPool) cancelWait(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return false
	}
	s.handOver()
	return false
}

func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver()
}

// handOver gives a slot to the next waiter, or frees it; s.mu is held.
func (s *slotPool) handOver() {
	if len(s.queue) == 0 {
		s.free++
		s.running--
		return
	}
	close(heap.Pop(&s.queue).(*waiter).admitted)
}

func (s *slotPool) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

// waiters is a heap ordered by priority, then arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	w.index = -1
	*q = (*q)[:last]
	return w
}

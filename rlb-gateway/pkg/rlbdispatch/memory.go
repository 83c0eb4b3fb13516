package rlbdispatch

import (
	"errors"
	"sync/atomic"
)

// Sizes in bytes.
const (
	// freeBytes is what each message may take beside the limit, so that small ones are read
	// whatever others send.
	freeBytes = 64 << 10
	// maxMemory is the limit of the answers that a dispatcher keeps at a time.
	maxMemory = 32 << 20
	// freeHeadBytes is what may come before the head of an answer is complete and counts as
	// read only.
	freeHeadBytes = bufferBytes
	// headWeight is how many bytes a byte of a head takes once it is decoded: each of its
	// fields may be a few bytes long.
	headWeight = 16
)

// ErrMemory is in the chain of an error that occurred because messages together take more
// bytes than a Memory allows.
var ErrMemory = errors.New("the messages that are being read take too much memory")

// Memory limits the bytes of the messages that a process keeps at a time, however many there
// are: each alone has a limit too, but any number of them may come without end. It is safe
// for concurrent use.
type Memory struct{ left atomic.Int64 }

// NewMemory returns a Memory of a number of bytes.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.left.Store(bytes)
	return m
}

// Reservation is what one message takes of a Memory.
type Reservation struct {
	memory *Memory
	bytes  int64 // of the message
	taken  int64 // from memory
}

// Reserve returns a reservation of nothing.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// Add adds bytes to the reservation. It returns ErrMemory if too few are left.
func (r *Reservation) Add(bytes int) error {
	r.bytes += int64(bytes)
	more := r.bytes - freeBytes - r.taken
	if more <= 0 {
		return nil
	}
	if r.memory.left.Add(-more) < 0 {
		r.memory.left.Add(more)
		return ErrMemory
	}
	r.taken += more
	return nil
}

// Release gives the bytes back.
func (r *Reservation) Release() {
	r.memory.left.Add(r.taken)
	r.bytes, r.taken = 0, 0
}

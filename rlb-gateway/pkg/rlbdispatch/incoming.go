package rlbdispatch

import (
	"io"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Incoming is an endpoint's answer. Done or Abort must be called at its end.
type Incoming struct {
	*http.Response
	dispatcher    *Dispatcher
	address       string
	conn          *conn
	detachContext func() bool
	memory        *Reservation
}

// Reused reports whether the connection was used for earlier requests.
func (in *Incoming) Reused() bool { return in.conn.reused }

// RecordProgress records that a part of the answer is complete, such as an event of a
// stream, see Outgoing.Events.
func (in *Incoming) RecordProgress() { in.conn.progress = time.Now() }

// Reserve counts bytes of the answer that are kept, until Done or Abort is called. It returns
// an error if all answers together take too many.
func (in *Incoming) Reserve(bytes int) error { return in.memory.Add(bytes) }

// KeepMemory makes what was reserved count beyond Done, until the returned function is called.
func (in *Incoming) KeepMemory() (release func()) {
	kept := in.memory
	in.memory = in.dispatcher.memory.Reserve()
	return kept.Release
}

// ReadAll reads the whole body. It fails if the body is longer than limit bytes, or if all
// answers together take too many.
func (in *Incoming) ReadAll(limit int64) ([]byte, error) {
	body, err := ReadAll(io.LimitReader(in.Body, limit+1), in.memory)
	if err != nil {
		return nil, rlberror.New("read answer", in.Fault(err), err)
	}
	if int64(len(body)) > limit {
		return nil, rlberror.Newf("read answer", rlbroute.FaultTooLarge, "more than %d bytes", limit)
	}
	return body, nil
}

// ReadAll reads from a source until it ends, and adds what it reads to a reservation.
func ReadAll(source io.Reader, memory *Reservation) ([]byte, error) {
	return io.ReadAll(&reservingReader{source, memory})
}

// reservingReader adds what it reads to a reservation.
type reservingReader struct {
	source io.Reader
	memory *Reservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		if err := r.memory.Add(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Fault returns the fault that an error of reading the body stands for.
func (in *Incoming) Fault(err error) rlbroute.Fault {
	return in.dispatcher.classifyError(in.conn, in.address, err)
}

// Done ends an exchange whose answer was read to its end and returns the connection
// to the pool if it can be reused.
func (in *Incoming) Done() {
	defer in.memory.Release()
	if !in.detachContext() || in.Close || in.conn.notReusable || in.conn.reader.Buffered() > 0 {
		_ = in.conn.Close()
		return
	}
	in.conn.keepWaiting = nil
	in.dispatcher.pool.put(in.address, in.conn, time.Now())
}

// Abort ends an exchange whose answer is incomplete or invalid and closes the
// connection.
func (in *Incoming) Abort() {
	in.detachContext()
	_ = in.conn.Close()
	in.memory.Release()
}

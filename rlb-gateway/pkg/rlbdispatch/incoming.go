package rlbdispatch

import (
	"io"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Incoming is an endpoint's answer. It must be ended by Done or Abort.
type Incoming struct {
	*http.Response
	dispatcher    *Dispatcher
	address       string
	conn          *conn
	detachContext func() bool
}

// Reused reports whether the connection had carried requests before.
func (in *Incoming) Reused() bool { return in.conn.reused }

// ReadAll reads the whole body, of at most limit bytes.
func (in *Incoming) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in.Body, limit+1))
	if err != nil {
		return nil, rlberror.New("read answer", in.Fault(err), err)
	}
	if int64(len(body)) > limit {
		return nil, rlberror.Newf("read answer", rlbroute.FaultTooLarge, "more than %d bytes", limit)
	}
	return body, nil
}

// Fault tells what an error of reading the body means.
func (in *Incoming) Fault(err error) rlbroute.Fault {
	return in.dispatcher.classifyError(in.conn, in.address, err)
}

// Done ends an exchange whose answer was read to its end, so that the
// connection can be used again.
func (in *Incoming) Done() {
	if !in.detachContext() || in.Close || in.conn.notReusable || in.conn.reader.Buffered() > 0 {
		_ = in.conn.Close()
		return
	}
	in.conn.keepWaiting = nil
	in.dispatcher.pool.put(in.address, in.conn, time.Now())
}

// Abort ends an exchange of which something is unread or in doubt. Its
// connection is never used again.
func (in *Incoming) Abort() {
	in.detachContext()
	_ = in.conn.Close()
}

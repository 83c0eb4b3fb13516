package rlbdispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
)

// Opts configures a dispatcher.
type Opts struct {
	Dial                   Dial
	FirstByteTimeout       time.Duration // of each read until the header of the answer is complete
	ReusedFirstByteTimeout time.Duration // the same on a reused connection, if it is shorter
	IdleTimeout            time.Duration // of each read within the body of an answer
	SweepInterval          time.Duration
	// IDHeader is the header with which endpoints name the request that an answer belongs
	// to.
	IDHeader string
	// RequireID makes an answer that names no request an error. Otherwise it is accepted on
	// a new connection, which is then not used again.
	RequireID bool
	// MaxMemory is the limit in bytes of the answers that are kept at a time; 0: a default.
	MaxMemory int64
}

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Dispatcher sends requests to endpoints.
type Dispatcher struct {
	opts   Opts
	pool   *pool
	memory *Memory
}

// Error is an error of an exchange. Its kind is the fault.
type Error = rlberror.Error[rlbroute.Fault]

// ErrReusedConnection is in the chain of an error that occurred when the header of
// an answer was read from a reused connection. The connection alone may be at fault,
// not the endpoint.
var ErrReusedConnection = errors.New("on a reused connection")

// New returns a dispatcher and a function that stops it and closes its idle
// connections.
func New(opts Opts) (*Dispatcher, func()) {
	d := &Dispatcher{opts: opts, pool: newPool(), memory: NewMemory(cmp.Or(opts.MaxMemory, maxMemory))}
	ctx, cancel := context.WithCancel(context.Background())
	go d.sweep(ctx)
	return d, func() {
		cancel()
		d.pool.close()
	}
}

func (d *Dispatcher) sweep(ctx context.Context) {
	ticker := time.NewTicker(d.opts.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.sweep(now)
		}
	}
}

// DropIdle closes all idle connections, after the links that they use have failed.
func (d *Dispatcher) DropIdle() { d.pool.close() }

// Outgoing is a request to an endpoint.
type Outgoing struct {
	Method        string
	Path          string // including the query
	Header        http.Header
	Body          []byte
	Deadline      time.Time
	NewConnection bool // send on a new connection, as for requests that must run at most once

	Host             string        // empty: the endpoint's address
	FirstByteTimeout time.Duration // overrides that of Opts; 0: no override
	IdleTimeout      time.Duration // overrides that of Opts; 0: no override
	// Events makes these timeouts limit the time without progress, which is the header of the
	// answer and each call of Incoming.RecordProgress, as for streams: single bytes do not
	// show that an endpoint makes progress. Otherwise they limit each read.
	Events bool
	// KeepWaiting is called whenever one of these timeouts expires and reports whether
	// to wait once more. nil: never.
	KeepWaiting func() bool
	// ID is the request's ID in Opts.IDHeader. On a reused connection, answers that do not
	// name it are read and dropped; on a new one, those that name another are an error.
	// Empty: all answers belong to the request.
	ID string
}

// Send sends a request and reads the header of the answer. It calls sent right
// before the first byte of the request may be sent. If ctx ends before Done or Abort
// is called on the answer, the connection is closed.
func (d *Dispatcher) Send(ctx context.Context, address string, out *Outgoing, sent func()) (*Incoming, error) {
	c, err := d.connection(ctx, address, out)
	if err != nil {
		return nil, rlberror.New("connect", rlbroute.FaultNotSent, err)
	}
	in := &Incoming{dispatcher: d, address: address, conn: c, memory: d.memory.Reserve()}
	in.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	c.deadline, c.readTimeout, c.mayHaveSent = out.Deadline, cmp.Or(out.FirstByteTimeout, d.opts.FirstByteTimeout), false
	c.keepWaiting, c.countsBytes, c.progress = out.KeepWaiting, !out.Events, time.Now()
	if c.reused && out.FirstByteTimeout == 0 {
		c.readTimeout = min(c.readTimeout, d.opts.ReusedFirstByteTimeout)
	}
	c.awaitsHead, c.beforeHead, c.memory = true, 0, in.memory
	sent()
	written, err := startWrite(c, address, out)
	if err != nil {
		in.Abort()
		return nil, rlberror.New("send", d.classifyError(c, address, err), err)
	}
	in.Response, err = d.readMatching(c, out)
	if err != nil {
		in.Abort()
		if c.reused {
			err = errors.Join(ErrReusedConnection, err)
		}
		return nil, rlberror.New("read answer", d.classifyError(c, address, err), err)
	}
	c.awaitsHead = false
	if !written() {
		c.notReusable = true // the endpoint may still be reading the request body
	}
	c.readTimeout, c.progress = cmp.Or(out.IdleTimeout, d.opts.IdleTimeout), time.Now()
	return in, nil
}

// maxSyncBody is the longest body that is written before the answer is read. A longer
// one is written concurrently, as the endpoint may answer before it has read it all.
const maxSyncBody = 8 << 10

// startWrite writes a request, in the background if its body is longer than
// maxSyncBody. The returned function reports whether all of it has been written.
func startWrite(c *conn, address string, out *Outgoing) (written func() bool, err error) {
	if len(out.Body) <= maxSyncBody {
		return func() bool { return true }, write(c, address, out)
	}
	c.mayHaveSent = true
	var complete atomic.Bool
	c.writeDone = make(chan struct{})
	go func() {
		defer close(c.writeDone)
		if write(c, address, out) == nil {
			complete.Store(true)
		}
	}()
	return complete.Load, nil
}

// maxMismatched is how many answers to other requests are read and dropped before
// the request fails.
const maxMismatched = 4

// errForeign is returned if the answer on a new connection belongs to another request.
var errForeign = errors.New("the answer belongs to another request")

// readMatching reads the answer to the request and drops late answers to earlier
// requests. A connection that had late answers is not reused.
func (d *Dispatcher) readMatching(c *conn, out *Outgoing) (*http.Response, error) {
	for range maxMismatched {
		response, err := readResponse(c, &http.Request{Method: out.Method})
		if err != nil {
			return nil, err
		}
		named := response.Header.Get(d.opts.IDHeader)
		switch {
		case out.ID == "":
			return response, nil
		case named == out.ID:
			c.recordFailure(response, out.ID)
			return response, nil
		case !c.reused && named == "" && !d.opts.RequireID:
			c.notReusable = true // a late copy of such an answer could not be told from the answer to the next request
			return response, nil
		case !c.reused:
			return nil, errForeign
		}
		c.notReusable = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers belong to other requests")
}

// Probe reports whether address accepts a new connection.
func (d *Dispatcher) Probe(ctx context.Context, address string) bool {
	c, err := d.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Refuses reports whether address refuses new connections, as that of a process that has ended.
func (d *Dispatcher) Refuses(ctx context.Context, address string) bool {
	c, err := d.dial(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (d *Dispatcher) connection(ctx context.Context, address string, out *Outgoing) (*conn, error) {
	if !out.NewConnection {
		if c := d.pool.get(address, out.ID, time.Now()); c != nil {
			return c, nil
		}
	}
	return d.dial(ctx, address)
}

func (d *Dispatcher) dial(ctx context.Context, address string) (*conn, error) {
	c, err := d.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func write(c *conn, address string, out *Outgoing) error {
	target := address + out.Path
	if out.Host != "" {
		target = address // the path is set below, so that it is sent as the caller wrote it
	}
	request, err := http.NewRequest(out.Method, "http://"+target, nil)
	if err != nil {
		return err
	}
	request.Header = out.Header
	if out.Host != "" {
		request.Host = out.Host
		if err := setTarget(request.URL, out.Path); err != nil {
			return err
		}
	}
	if len(out.Body) > 0 {
		request.Body = io.NopCloser(&bodyReader{out.Body})
		request.ContentLength = int64(len(out.Body))
	}
	return request.Write(c)
}

// setTarget makes a request send its path and query as they are. As URL.Opaque a path that
// begins with two slashes would be sent as that of another host.
func setTarget(u *url.URL, target string) error {
	if !strings.HasPrefix(target, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = target, "", false
		return nil
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return err
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = parsed.Path, parsed.RawPath, parsed.RawQuery, parsed.ForceQuery
	return nil
}

// bodyReader reads a request body from memory.
type bodyReader struct{ unread []byte }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// errNotFinal is returned for an answer whose status is that of no final answer, nor of an
// interim one. Nothing that follows on the connection belongs to a request.
var errNotFinal = errors.New("the status is that of no answer to the request")

// readResponse reads the header of an answer and skips interim responses.
func readResponse(c *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil:
			return nil, cmp.Or(c.readError, err) // a head that ends early counts as malformed there, whatever ended it
		case rlbhttp.IsFinal(response.StatusCode):
			return response, nil
		case !isInterim(response):
			return nil, fmt.Errorf("%w: %q", errNotFinal, response.Status)
		}
	}
}

// isInterim reports whether a response precedes the final one. It has no body: one that says
// how its body ends is malformed, and so are the bytes after it.
func isInterim(response *http.Response) bool {
	const first, last = http.StatusContinue, 199
	if response.StatusCode < first || response.StatusCode > last || response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) == 0 && (length == "" || length == "0")
}

// classifyError returns the fault that an error stands for. If the connection went
// silent, it also closes the idle connections to the same address, so that later
// requests use new ones.
func (d *Dispatcher) classifyError(c *conn, address string, err error) rlbroute.Fault {
	if !c.mayHaveSent {
		return rlbroute.FaultNotSent
	}
	fault := FaultOf(err)
	if fault == rlbroute.FaultSilent {
		d.pool.drop(address)
	}
	return fault
}

// FaultOf returns the fault that an error of reading an answer stands for.
func FaultOf(err error) rlbroute.Fault {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return rlbroute.FaultSilent
	}
	if errors.Is(err, errNoAnswer) || errors.Is(err, errNotFinal) {
		return rlbroute.FaultMalformed
	}
	if errors.Is(err, ErrMemory) {
		return rlbroute.FaultTooLarge
	}
	if errors.Is(err, errForeign) {
		return rlbroute.FaultForeign
	}
	return rlbroute.FaultCut
}

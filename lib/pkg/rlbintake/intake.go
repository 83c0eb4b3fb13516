package rlbintake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// ErrNoRoom is the error of a read for whose bytes there is no room. The request was not
// read to its end.
var ErrNoRoom = errors.New("what clients have sent takes too much memory")

const (
	acceptPause = 10 * time.Millisecond // after a connection could not be accepted for lack of descriptors
	logInterval = 10 * time.Second      // between two log lines about connections that were closed or refused
)

// Limits are those of a process.
type Limits struct {
	Bytes      int64         // that clients may make it hold
	HeadLines  int           // of the head of a request
	WriteStall time.Duration // after which a write to a client fails that takes nothing
}

// Opts are the dependencies and limits of an intake.
type Opts struct {
	Limits
	Log     log.Interface
	Metrics metrics.Registry
	Now     func() time.Time
}

// Intake holds the connections that clients have opened to a process to its limits.
type Intake struct {
	limits Limits
	log    log.Interface
	now    func() time.Time
	budget *budget
	logs   sync.Mutex
	logged time.Time // of the latest log line
	stated Counts    // in it
}

// New returns an intake.
func New(opts Opts) *Intake {
	i := &Intake{limits: opts.Limits, log: opts.Log, now: opts.Now, budget: newBudget(opts.Bytes)}
	gauge := func(name string, value func(Counts) int64) {
		_ = opts.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(i.budget.snapshot()) }))
	}
	gauge("intake_bytes", func(c Counts) int64 { return c.Bytes })
	gauge("intake_connections", func(c Counts) int64 { return int64(c.Connections) })
	gauge("intake_gave_way", func(c Counts) int64 { return c.GaveWay })
	gauge("intake_refused", func(c Counts) int64 { return c.Refused })
	return i
}

// FromSettings returns the intake of a process on a machine.
func FromSettings(common *rlbcommon.Common, machine Machine, registry metrics.Registry) *Intake {
	return New(Opts{
		Limits: Limits{
			Bytes: machine.ClientBytes(), HeadLines: common.Settings.Int(rlbsettings.InstanceHeadLines),
			WriteStall: common.Settings.Duration(rlbsettings.InstanceWriteStall),
		},
		Log: common.Log, Metrics: registry, Now: time.Now,
	})
}

// Serve makes an HTTP server hold its connections to the limits and serves the connections
// of listener, at most connections at a time, until it is closed.
func (i *Intake) Serve(server *http.Server, listener net.Listener, connections int) error {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.begin(r) {
			panic(http.ErrAbortHandler) // it gave way before it was passed on
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, netConn)
	}
	server.ConnState = func(netConn net.Conn, state http.ConnState) {
		if c, ok := netConn.(*conn); ok && state == http.StateIdle {
			c.finish()
		}
	}
	return server.Serve(&limitedListener{listener, i, i.budget.newGroup(connections), streamHead})
}

type connKey struct{}

// Frames returns a listener of at most connections at a time that speak rlbwire: each counts
// what it reserves. What its messages hold is free when it releases them.
func (i *Intake) Frames(listener net.Listener, connections int) net.Listener {
	return &limitedListener{listener, i, i.budget.newGroup(connections), streamFrames}
}

// limitedListener accepts connections that are held to the limits.
type limitedListener struct {
	net.Listener
	intake *Intake
	group  *group
	stream stream
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if outOfDescriptors(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, intake: l.intake, stream: l.stream}
		c.holder = holder{group: l.group, close: func() { go closeAtOnce(accepted) }}
		now := l.intake.now()
		held := l.intake.budget.admit(now, &c.holder)
		l.intake.logChanges(now)
		if held {
			if l.stream == streamFrames {
				return &frameConn{c}, nil
			}
			return c, nil
		}
		closeAtOnce(accepted)
	}
}

// closeAtOnce closes a connection without a farewell of its protocol, which could wait for
// the client.
func closeAtOnce(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	_ = conn.Close()
}

// logChanges logs that connections gave way or were refused, now and then.
func (i *Intake) logChanges(now time.Time) {
	counts := i.budget.snapshot()
	i.logs.Lock()
	defer i.logs.Unlock()
	if counts.GaveWay == i.stated.GaveWay && counts.Refused == i.stated.Refused || now.Sub(i.logged) < logInterval {
		return
	}
	i.log.WithFields(log.Fields{
		"gave_way": counts.GaveWay - i.stated.GaveWay, "refused": counts.Refused - i.stated.Refused, "bytes": counts.Bytes, "connections": counts.Connections,
	}).Warn("clients hold too much; connections that wait for their client are closed")
	i.logged, i.stated = now, counts
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

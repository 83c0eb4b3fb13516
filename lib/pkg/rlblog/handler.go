// Package rlblog writes log lines as JSON without blocking the caller. Lines are
// rate-limited: lines about single requests have a separate limit, so that they
// don't crowd out other lines. Dropped lines are counted and reported in the log.
package rlblog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/apex/log"

	jsonhandler "github.com/apex/log/handlers/json"
)

// RequestField is the field that marks a line as being about a single request.
const RequestField = "request"

// Opts limits the number of lines.
type Opts struct {
	QueueSize         int // lines waiting to be written
	RequestsPerSecond int // lines about single requests
	OthersPerSecond   int // all other lines
}

// DefaultOpts are the limits of a program that serves callers.
var DefaultOpts = Opts{QueueSize: 4096, RequestsPerSecond: 1000, OthersPerSecond: 500}

// Handler is a log.Handler that queues lines and writes them in the background.
type Handler struct {
	opts  Opts
	now   func() time.Time
	lines chan []byte

	mu           sync.Mutex
	second       int64
	requests     int
	others       int
	dropped      int // since the last report
	totalDropped uint64
}

// New returns a handler that writes to w, and a function that stops it after
// writing the queued lines.
func New(w io.Writer, opts Opts, now func() time.Time) (*Handler, func()) {
	h := &Handler{opts: opts, now: now, lines: make(chan []byte, opts.QueueSize)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.write(ctx, w)
	}()
	return h, func() {
		cancel()
		<-done
	}
}

// Dropped returns the total number of dropped lines.
func (h *Handler) Dropped() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totalDropped
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(entry *log.Entry) error {
	_, request := entry.Fields[RequestField]
	dropped, admitted := h.admit(request)
	if dropped > 0 {
		h.reportDropped(entry.Logger, dropped)
	}
	if !admitted {
		return nil
	}
	return h.enqueue(entry)
}

// admit counts a line and reports whether it is within the limit of the current
// second. On the first line of a new second it also returns the number of lines
// dropped since the last report.
func (h *Handler) admit(request bool) (dropped int, admitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if second := h.now().Unix(); second != h.second {
		h.second, h.requests, h.others = second, 0, 0
		dropped, h.dropped = h.dropped, 0
	}
	count, limit := &h.others, h.opts.OthersPerSecond
	if request {
		count, limit = &h.requests, h.opts.RequestsPerSecond
	}
	if *count++; *count > limit {
		h.countDropped()
		return dropped, false
	}
	return dropped, true
}

func (h *Handler) countDropped() {
	h.dropped++
	h.totalDropped++
}

// reportDropped logs the number of dropped lines.
func (h *Handler) reportDropped(logger *log.Logger, dropped int) {
	warning := log.NewEntry(logger).WithField("dropped", dropped)
	warning.Level, warning.Message, warning.Timestamp = log.WarnLevel, "log lines dropped", h.now()
	warning.Fields = log.Fields{"dropped": dropped}
	_ = h.enqueue(warning) // best effort: the total is kept in any case
}

// enqueue encodes a line and queues it, or drops it if the queue is full.
func (h *Handler) enqueue(entry *log.Entry) error {
	var line bytes.Buffer
	if err := jsonhandler.New(&line).HandleLog(entry); err != nil {
		return err
	}
	select {
	case h.lines <- line.Bytes():
	default:
		h.mu.Lock()
		h.countDropped()
		h.mu.Unlock()
	}
	return nil
}

func (h *Handler) write(ctx context.Context, w io.Writer) {
	for {
		select {
		case line := <-h.lines:
			_, _ = w.Write(line) // a failed write of the log cannot be logged
		case <-ctx.Done():
			h.flush(w)
			return
		}
	}
}

func (h *Handler) flush(w io.Writer) {
	for {
		select {
		case line := <-h.lines:
			_, _ = w.Write(line) // see write
		default:
			return
		}
	}
}

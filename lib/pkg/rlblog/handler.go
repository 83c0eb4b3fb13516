// Package rlblog writes log lines as JSON without ever blocking those who log.
// Their number is bounded: lines about single requests are dropped first, and
// what was dropped is counted and told.
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

// RequestField is the field by which a line is about a single request.
const RequestField = "request"

// Opts bound the lines.
type Opts struct {
	QueueSize         int // lines that wait to be written
	RequestsPerSecond int // lines about requests in a second
	OthersPerSecond   int // other lines in a second
}

// DefaultOpts are the bounds of a program that serves callers.
var DefaultOpts = Opts{QueueSize: 4096, RequestsPerSecond: 1000, OthersPerSecond: 500}

// Handler is a log.Handler.
type Handler struct {
	opts  Opts
	now   func() time.Time
	lines chan []byte

	mu           sync.Mutex
	second       int64
	requests     int
	others       int
	dropped      int // since it was told
	totalDropped uint64
}

// New returns a handler that writes to w, and its clean-up function, which
// writes what waits.
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

// Dropped returns how many lines were dropped so far.
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

// admit counts a line; it returns how many were dropped in the second before.
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

func (h *Handler) reportDropped(logger *log.Logger, dropped int) {
	warning := log.NewEntry(logger).WithField("dropped", dropped)
	warning.Level, warning.Message, warning.Timestamp = log.WarnLevel, "log lines dropped", h.now()
	warning.Fields = log.Fields{"dropped": dropped}
	_ = h.enqueue(warning) // a line that cannot be encoded has nothing to say
}

// enqueue encodes a line and queues it, or drops it where the queue is full.
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
			_, _ = w.Write(line) // there is nobody to tell that logs cannot be written
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
			_, _ = w.Write(line) // as above
		default:
			return
		}
	}
}

package rlbproxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

var readers = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}

// stream passes events on as they come, each whole.
func (s *Server) stream(w http.ResponseWriter, x *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	reader, _ := readers.Get().(*rlbrelay.EventReader)
	reader.Reset(in.Body)
	defer readers.Put(reader)
	flusher := http.NewResponseController(w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return s.streamEnded(w, x, in)
		}
		if err != nil {
			s.deliver(x, flusher)
			in.Abort()
			return in.Fault(err), false, err
		}
		switch fits, err := follows(x.lastID, event.ID); {
		case err != nil:
			s.deliver(x, flusher)
			in.Abort()
			return rlbroute.FaultGap, false, err
		case !fits:
			continue // the caller has it
		}
		x.answered()
		s.startStream(w, x, in)
		if err := s.forward(w, flusher, event, reader.Pending()); err != nil {
			in.Abort()
			return rlbroute.FaultCallerDisconnected, false, err
		}
		x.lastID = string(event.ID)
		s.notePause(x)
	}
}

// startStream sends the header of the first endpoint's answer.
func (s *Server) startStream(w http.ResponseWriter, x *request, in *rlbdispatch.Incoming) {
	if x.started {
		return
	}
	x.started = true
	x.first = s.Now().Sub(x.sent)
	x.exchange.MarkAnswering()
	copyHeader(w.Header(), in.Header)
	w.WriteHeader(in.StatusCode)
	s.meters.answered(s.Now().Sub(x.arrived))
}

// deliver sends the whole events that are still held, before a stream breaks.
func (s *Server) deliver(x *request, flusher *http.ResponseController) {
	if !x.started {
		return
	}
	if err := flusher.Flush(); err != nil {
		s.Log.WithError(err).WithField("request", x.id).Debug("caller left")
	}
}

// notePause keeps the longest pause between two events.
func (s *Server) notePause(x *request) {
	now := s.Now()
	if !x.latest.IsZero() {
		x.pause = max(x.pause, now.Sub(x.latest))
	}
	x.latest = now
}

func (s *Server) forward(w io.Writer, flusher *http.ResponseController, event rlbrelay.Event, more bool) error {
	if _, err := w.Write(event.Raw); err != nil {
		return err
	}
	if more {
		return nil
	}
	return flusher.Flush()
}

func (s *Server) streamEnded(w http.ResponseWriter, x *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	status := in.StatusCode
	s.startStream(w, x, in)
	in.Done()
	if e := s.View.Snapshot().ByID[x.tried[len(x.tried)-1]]; e != nil {
		s.Loads.RecordStream(e, x.route.MaxEventGap > 0 && x.pause > x.route.MaxEventGap)
	}
	s.logEnd(x, status, "passed on")
	return 0, true, nil
}

// follows reports whether an event is the one after last; false: the caller has
// it already. An error: events are missing between the two.
func follows(last string, id []byte) (bool, error) {
	if last == "" || len(id) == 0 {
		return true, nil
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true, nil // ids that are no numbers say nothing of order
	}
	now, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return true, nil
	}
	if now > before+1 {
		return false, errors.New("event " + string(id) + " after " + last)
	}
	return now == before+1, nil
}

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

var eventReaders = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}

// relayStream passes events on as they come, each whole.
func (s *Server) relayStream(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	reader, _ := eventReaders.Get().(*rlbrelay.EventReader)
	reader.Reset(in.Body)
	defer eventReaders.Put(reader)
	flusher := http.NewResponseController(w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return s.finishStream(w, req, in)
		}
		if err != nil {
			s.flushEvents(req, flusher)
			in.Abort()
			return in.Fault(err), false, err
		}
		switch isNext, err := isNextEvent(req.lastEventID, event.ID); {
		case err != nil:
			s.flushEvents(req, flusher)
			in.Abort()
			return rlbroute.FaultGap, false, err
		case !isNext:
			continue // the caller has it
		}
		req.markAnswered()
		s.startStream(w, req, in)
		if err := s.writeEvent(w, flusher, event, reader.Pending()); err != nil {
			in.Abort()
			return rlbroute.FaultCallerDisconnected, false, err
		}
		req.lastEventID = string(event.ID)
		s.recordPause(req)
	}
}

// startStream sends the header of the first endpoint's answer.
func (s *Server) startStream(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) {
	if req.started {
		return
	}
	req.started = true
	req.timeToFirst = s.Now().Sub(req.attemptStart)
	req.exchange.MarkAnswering()
	copyHeader(w.Header(), in.Header)
	w.WriteHeader(in.StatusCode)
	s.requestMetrics.answered(s.Now().Sub(req.arrived))
}

// flushEvents sends the whole events that are still held, before a stream breaks.
func (s *Server) flushEvents(req *request, flusher *http.ResponseController) {
	if !req.started {
		return
	}
	if err := flusher.Flush(); err != nil {
		s.Log.WithError(err).WithField("request", req.id).Debug("caller left")
	}
}

// recordPause keeps the longest pause between two events.
func (s *Server) recordPause(req *request) {
	now := s.Now()
	if !req.lastEventAt.IsZero() {
		req.longestPause = max(req.longestPause, now.Sub(req.lastEventAt))
	}
	req.lastEventAt = now
}

func (s *Server) writeEvent(w io.Writer, flusher *http.ResponseController, event rlbrelay.Event, more bool) error {
	if _, err := w.Write(event.Raw); err != nil {
		return err
	}
	if more {
		return nil
	}
	return flusher.Flush()
}

func (s *Server) finishStream(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	status := in.StatusCode
	s.startStream(w, req, in)
	in.Done()
	if e := s.View.Snapshot().ByID[req.tried[len(req.tried)-1]]; e != nil {
		s.Loads.RecordStream(e, req.route.MaxEventGap > 0 && req.longestPause > req.route.MaxEventGap)
	}
	s.logEnd(req, status, "passed on")
	return 0, true, nil
}

// isNextEvent reports whether an event is the one after last; false: the caller has
// it already. An error: events are missing between the two.
func isNextEvent(last string, id []byte) (bool, error) {
	if last == "" || len(id) == 0 {
		return true, nil
	}
	previous, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true, nil // ids that are no numbers say nothing of order
	}
	current, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return true, nil
	}
	if current > previous+1 {
		return false, errors.New("event " + string(id) + " after " + last)
	}
	return current == previous+1, nil
}

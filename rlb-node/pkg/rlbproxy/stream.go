package rlbproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

var eventReaders = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}

// relayStream relays events as they arrive, and only complete ones.
func (s *Server) relayStream(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	reader, _ := eventReaders.Get().(*rlbrelay.EventReader)
	reader.Reset(in.Body, in.Reserve)
	defer func() {
		reader.Reset(nil, nil)
		eventReaders.Put(reader)
	}()
	flusher := http.NewResponseController(w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && s.endedByCrash(req, in) {
			err = errEndpointEnded
		}
		if errors.Is(err, io.EOF) {
			return s.finishStream(w, req, in)
		}
		if err != nil {
			s.flushEvents(req, flusher)
			in.Abort()
			if errors.Is(err, rlbrelay.ErrTooLarge) {
				return rlbroute.FaultMalformed, false, err
			}
			return in.Fault(err), false, err
		}
		in.RecordProgress()
		s.recordTraffic(req, len(event.Raw))
		switch isNext, err := isNextEvent(req.lastEventID, event); {
		case err != nil:
			s.flushEvents(req, flusher)
			in.Abort()
			return rlbroute.FaultGap, false, err
		case !isNext:
			continue // already sent to the caller
		}
		req.markAnswered()
		s.startStream(w, req, in)
		if err := s.writeEvent(w, flusher, event, reader.Pending()); err != nil {
			in.Abort()
			return rlbroute.FaultCallerDisconnected, false, err
		}
		if len(event.ID) > 0 {
			req.lastEventID = string(event.ID)
		}
		s.recordPause(req)
		s.recordHarmless(req)
	}
}

// errEndpointEnded is returned for an answer whose end is that of its endpoint's process.
var errEndpointEnded = errors.New("the endpoint ended the answer and takes no connections any more")

// endedByCrash reports whether an answer ended because its endpoint did. Where the end of the
// connection is that of the answer, the kernel ends those of a killed process as if they were
// whole. An endpoint that leaves may end once it has answered.
func (s *Server) endedByCrash(req *request, in *rlbdispatch.Incoming) bool {
	if in.Framing() != rlbdispatch.FramingConnection {
		return false
	}
	e := s.View.Snapshot().ByID[req.tried[len(req.tried)-1]]
	return e != nil && !e.Draining && s.Dispatcher.Refuses(req.inbound.Context(), e.Address)
}

// startStream sends the caller the status and header of the first endpoint that answers.
// It does nothing once the stream has started.
func (s *Server) startStream(w http.ResponseWriter, req *request, in *rlbdispatch.Incoming) {
	if req.started {
		return
	}
	req.started = true
	req.begun, req.beganAt = true, req.software[len(req.software)-1]
	s.recordOrigin(req)
	req.timeToFirst = s.Now().Sub(req.attemptStart)
	if !req.queued {
		s.Balancer.RecordPrefill(req.service, req.tokensAhead+req.promptTokens, req.timeToFirst)
	}
	req.exchange.MarkAnswering()
	copyHeader(w.Header(), in.Header)
	w.WriteHeader(in.StatusCode)
	s.requestMetrics.answered(s.Now().Sub(req.arrived))
}

// flushEvents sends the complete events that are still buffered before the stream
// is aborted or resumed at another endpoint.
func (s *Server) flushEvents(req *request, flusher *http.ResponseController) {
	if !req.started {
		return
	}
	if err := flusher.Flush(); err != nil {
		s.Log.WithError(err).WithField("request", req.id).Debug("flushing events failed; caller disconnected")
	}
}

// recordPause updates the longest pause between two events of the stream.
func (s *Server) recordPause(req *request) {
	now := s.Now()
	if req.firstEventAt.Before(req.attemptStart) {
		req.firstEventAt = now
	}
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
	s.Origins.Ended(req.streamID())
	if !req.firstEventAt.IsZero() {
		s.durations.record(req, req.firstEventAt.Sub(req.arrived), s.Now().Sub(req.arrived))
	}
	if e := s.View.Snapshot().ByID[req.tried[len(req.tried)-1]]; e != nil {
		s.Balancer.RecordStream(e, req.route.MaxEventGap > 0 && req.longestPause > req.route.MaxEventGap)
	}
	s.logEnd(req, status, "answer relayed")
	return 0, true, nil
}

// isEventStream reports whether the header of an answer states that a stream of events
// follows.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// isNextEvent reports whether an event directly follows the one with the ID last. It returns
// false if the caller already has the event, and an error if events are missing between
// the two, or if the event is none of the stream: once an event had a number, all have one.
// Comments are not events.
func isNextEvent(last string, event rlbrelay.Event) (bool, error) {
	previous, err := strconv.ParseUint(last, 10, 64)
	if err != nil || isComment(event.Raw) {
		return true, nil
	}
	current, err := strconv.ParseUint(string(event.ID), 10, 64)
	if err != nil {
		return false, fmt.Errorf("event %.40q without a number follows event %s", event.ID, last)
	}
	if current > previous+1 {
		return false, fmt.Errorf("event %d follows event %s", current, last)
	}
	return current == previous+1, nil
}

// isComment reports whether all lines of an event are comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

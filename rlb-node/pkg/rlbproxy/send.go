package rlbproxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// Longest silence of an endpoint, where another may take over.
const (
	firstEvent = 1500 * time.Millisecond // of a stream that can be resumed
	nextEvent  = 1200 * time.Millisecond
	firstPart  = 2 // an idempotent request waits this part of its time for its first answer
)

// maxAnswer is the longest answer that is not a stream, in bytes.
const maxAnswer = 8 << 20

// mostUrgent and leastUrgent bound the priority that endpoints take.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

var noDeadline time.Time

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send makes one attempt at an endpoint. Passed reports that the caller has the
// final answer.
func (s *Server) send(w http.ResponseWriter, x *request, e *rlbdeployment.Endpoint) (fault rlbroute.Fault, passed bool) {
	ctx := x.caller.Context()
	outcome := rlbbalancer.OutcomeNeutral
	x.answered = s.Loads.Begin(e, x.work())
	begun := s.Now()
	defer func() {
		x.answered()
		s.Loads.End(s.Now(), e, x.work(), outcome, s.Now().Sub(begun))
	}()
	in, err := s.Dispatcher.Send(ctx, e.Address, s.outgoing(x, e), x.exchange.MarkSent)
	if err == nil {
		fault, passed, err = s.receive(w, x, in)
	} else {
		fault, _ = rlberror.KindOf[rlbroute.Fault](err)
	}
	if err != nil {
		x.reason = err.Error()
	}
	if ctx.Err() != nil && !passed {
		return rlbroute.FaultCallerDisconnected, false
	}
	outcome = outcomeOf(fault, passed)
	if passed {
		return fault, true
	}
	switch {
	case fault == rlbroute.FaultRefused:
		s.Loads.RecordRefusal(s.Now(), e, x.wants())
		if x.misdirected && x.adapter == "" {
			s.Loads.RecordMismatch(s.Now(), e)
		}
	case fault == rlbroute.FaultNotSent:
		x.exchange.MarkUnsent()
		x.unsent++
	case fault == rlbroute.FaultCut:
		s.suspects.crashed(x.print)
	case fault == rlbroute.FaultSilent && !s.Now().Before(x.deadline):
		fault = rlbroute.FaultDeadline
	}
	return fault, false
}

func outcomeOf(fault rlbroute.Fault, passed bool) rlbbalancer.Outcome {
	switch {
	case passed:
		return rlbbalancer.OutcomeSucceeded
	case fault == rlbroute.FaultRefused, fault == rlbroute.FaultCallerDisconnected:
		return rlbbalancer.OutcomeNeutral
	case fault == rlbroute.FaultNotSent, fault == rlbroute.FaultCut, fault == rlbroute.FaultSilent:
		return rlbbalancer.OutcomeNoAnswer
	default:
		return rlbbalancer.OutcomeFailed
	}
}

// outgoing returns the request as an endpoint gets it.
func (s *Server) outgoing(x *request, e *rlbdeployment.Endpoint) *rlbdispatch.Outgoing {
	header := x.caller.Header.Clone()
	dropHops(header)
	rlbplatform.RemoveInternalHeaders(header)
	header.Set(rlbplatform.HeaderExpectedInstance, e.ID)
	rlbplatform.SetTimeLeft(header, s.Now(), x.deadline)
	if x.model != "" {
		header.Set(rlbplatform.HeaderPriority, strconv.Itoa(min(max(x.route.Priority, mostUrgent), leastUrgent)))
	}
	if x.lastID != "" {
		header.Set(rlbplatform.HeaderLastEventID, x.lastID)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps the library from adding its own
	}
	path := x.caller.URL.EscapedPath()
	if x.caller.URL.RawQuery != "" {
		path += "?" + x.caller.URL.RawQuery
	}
	out := &rlbdispatch.Outgoing{
		Method: x.caller.Method, Path: path, Host: x.caller.Host, Header: header, Body: x.body, Deadline: s.ioDeadline(x.deadline),
		NewConnection: !x.route.Retryable(),
		Matches:       func(r *http.Response) bool { return r.Header.Get(rlbplatform.HeaderRequestID) == x.id },
	}
	out.FirstByteTimeout, out.IdleTimeout = s.silences(x)
	out.KeepWaiting = func() bool { return !s.mayMove(x) }
	return out
}

// ioDeadline returns a deadline as connections take it: on the process clock.
func (s *Server) ioDeadline(deadline time.Time) time.Time {
	return time.Now().Add(deadline.Sub(s.Now()))
}

// silences returns how long an endpoint may be silent before its answer and
// within it.
func (s *Server) silences(x *request) (first, next time.Duration) {
	left := max(x.deadline.Sub(s.Now()), time.Millisecond)
	switch {
	case x.route.Kind == rlbdeployment.KindIdempotent:
		return max(left/firstPart, time.Millisecond), left
	case x.route.Retryable():
		return min(firstEvent, left), nextEvent
	default:
		return left, left
	}
}

// mayMove reports whether a request whose endpoint is silent can go to another.
func (s *Server) mayMove(x *request) bool {
	if !x.route.Retryable() || len(x.tried)-x.unsent >= x.route.MaxAttempts {
		return false
	}
	if x.started && !s.suspected(x) {
		return false // slow is no reason to risk an answer that has begun
	}
	if x.adapter != "" && !x.started {
		return true // an endpoint may be found that loads the adapter
	}
	return s.pick(x, nil).Endpoint != nil
}

// suspected reports whether the endpoint of the latest attempt is gone, or other
// requests have failed there.
func (s *Server) suspected(x *request) bool {
	e := s.View.Snapshot().ByID[x.tried[len(x.tried)-1]]
	return e == nil || s.Loads.Unhealthy(s.Now(), e)
}

// hops are the headers that concern one connection only.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHops(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hops {
		header.Del(name)
	}
}

// receive reads an endpoint's answer and passes it on.
func (s *Server) receive(w http.ResponseWriter, x *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	if in.Header.Get(rlbplatform.HeaderNotRun) != "" || in.StatusCode == http.StatusMisdirectedRequest {
		return s.refused(x, in)
	}
	if in.Header.Get(rlbplatform.HeaderServerStamp) == "" || in.Header.Get("Content-Encoding") != "" {
		in.Abort()
		x.reason = "answer without proof, status " + strconv.Itoa(in.StatusCode)
		return rlbroute.FaultMalformed, false, nil
	}
	if x.route.Kind == rlbdeployment.KindStream && in.StatusCode/100 == 2 {
		return s.stream(w, x, in)
	}
	return s.whole(w, x, in)
}

// refused notes that the endpoint did not run the request.
func (s *Server) refused(x *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	x.reason = "endpoint did not run it, status " + strconv.Itoa(in.StatusCode)
	x.misdirected = in.StatusCode == http.StatusMisdirectedRequest
	if _, err := in.ReadAll(maxAnswer); err != nil {
		in.Abort()
		return rlbroute.FaultRefused, false, nil
	}
	in.Done()
	return rlbroute.FaultRefused, false, nil
}

// whole passes on an answer that is not a stream.
func (s *Server) whole(w http.ResponseWriter, x *request, in *rlbdispatch.Incoming) (rlbroute.Fault, bool, error) {
	body, err := in.ReadAll(maxAnswer)
	if err != nil {
		in.Abort()
		fault, _ := rlberror.KindOf[rlbroute.Fault](err)
		return fault, false, err
	}
	got := &answer{status: in.StatusCode, header: in.Header, body: body}
	in.Done()
	if got.status >= http.StatusInternalServerError && x.route.Retryable() && !x.started {
		x.failure = got
		x.reason = "endpoint failed, status " + strconv.Itoa(got.status)
		return rlbroute.FaultFailed, false, nil
	}
	if x.started {
		return rlbroute.FaultFailed, false, nil
	}
	s.pass(w, x, got)
	return 0, true, nil
}

// pass gives the caller an endpoint's whole answer.
func (s *Server) pass(w http.ResponseWriter, x *request, got *answer) {
	copyHeader(w.Header(), got.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	_, err := w.Write(got.body)
	s.meters.answered(s.Now().Sub(x.arrived))
	if err != nil {
		s.logEnd(x, got.status, "caller left: "+err.Error())
		return
	}
	s.logEnd(x, got.status, "passed on")
}

func copyHeader(to, from http.Header) {
	leaves := to.Get("Connection")
	kept := from.Clone()
	dropHops(kept)
	kept.Del("Content-Length")
	for name, values := range kept {
		to[name] = values
	}
	if leaves != "" {
		to.Set("Connection", leaves)
	}
}

package rlbproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	after  time.Duration // when to come back; 0: not stated
	text   string
}

// at returns the refusal with another time to come back, within bounds.
func (r *refusal) at(after time.Duration) *refusal {
	other := *r
	other.after = min(max(after, soon), longest)
	return &other
}

// Times after which a caller may come back.
const (
	atOnce  = 10 * time.Millisecond
	soon    = 300 * time.Millisecond
	later   = 700 * time.Millisecond
	longest = 2 * time.Second
)

// The refusals. Those with 408 and 503 say that the request did not run.
var (
	refuseNoConfig   = &refusal{http.StatusServiceUnavailable, soon, "no config is known yet"}
	refuseLeaving    = &refusal{http.StatusServiceUnavailable, atOnce, "the instance shuts down"}
	refuseNoRoute    = &refusal{http.StatusNotFound, 0, "no route for this host and path"}
	refuseLongBody   = &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	refuseBrokenBody = &refusal{http.StatusBadRequest, 0, "body ended before its length"}
	refuseNotListed  = &refusal{http.StatusServiceUnavailable, later, "the model or adapter is not listed"}
	refuseNoEndpoint = &refusal{http.StatusServiceUnavailable, later, "no endpoint can run it now"}
	refuseBusy       = &refusal{http.StatusServiceUnavailable, later, "all endpoints of the model are busy"}
	refuseRetries    = &refusal{http.StatusServiceUnavailable, later, "endpoints are full"}
	refuseSuspect    = &refusal{http.StatusServiceUnavailable, later, "the request crashed endpoints before"}
	refuseLate       = &refusal{http.StatusServiceUnavailable, soon, "no time left"}
	failUnknown      = &refusal{http.StatusBadGateway, 0, "an endpoint may have run it, its answer is lost"}
	failFailed       = &refusal{http.StatusBadGateway, 0, "an endpoint failed"}
	failDeadline     = &refusal{http.StatusGatewayTimeout, 0, "no answer in time"}
)

func (s *Server) refuse(w http.ResponseWriter, x *request, r *refusal) {
	s.meters.refused(r.status)
	s.logEnd(x, r.status, r.text)
	header := w.Header()
	if r.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	if _, err := w.Write([]byte(r.text + "\n")); err != nil {
		s.Log.WithError(err).WithField("request", x.id).Debug("caller left")
	}
}

// logEnd writes the line that ends a request.
func (s *Server) logEnd(x *request, status int, text string) {
	fields := log.Fields{
		"request": x.id, "status": status, "outcome": text, "took_ms": s.Now().Sub(x.arrived).Milliseconds(),
		"model": x.model, "adapter": x.adapter, "service": x.service, "endpoints": x.tried,
	}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.model != "" {
		fields["expected_ms"], fields["first_ms"], fields["tokens"] = x.expected.Milliseconds(), x.first.Milliseconds(), x.tokens
		fields["pause_ms"] = x.pause.Milliseconds()
	}
	if x.snapshot.Config != nil {
		fields["config"] = x.snapshot.Config.Version
	}
	if x.reason != "" {
		fields["reason"] = x.reason
	}
	s.Log.WithFields(fields).Info("request ended")
}

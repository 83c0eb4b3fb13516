package rlbproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// refusal is an answer that the instance itself gives to a caller.
type refusal struct {
	status     int
	retryAfter time.Duration // sent as Retry-After; 0: header not sent
	text       string
}

// withRetryAfter returns a copy of the refusal with another Retry-After, limited to
// the range from retrySoon to maxRetryAfter.
func (r *refusal) withRetryAfter(retryAfter time.Duration) *refusal {
	changed := *r
	changed.retryAfter = min(max(retryAfter, retrySoon), maxRetryAfter)
	return &changed
}

// Values of Retry-After.
const (
	retryAtOnce   = 10 * time.Millisecond
	retrySoon     = 300 * time.Millisecond
	retryLater    = 700 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// notRun reports whether the refusal promises that the request did not run.
func (r *refusal) notRun() bool {
	return r.status < http.StatusInternalServerError || r.status == http.StatusServiceUnavailable
}

// after returns a copy of the refusal with another Retry-After, at least retryAtOnce.
func (r *refusal) after(retryAfter time.Duration) *refusal {
	changed := *r
	changed.retryAfter = max(retryAfter, retryAtOnce)
	return &changed
}

// The refusals. To callers, the status codes 429, 503 and 408 mean that the request did not
// run; 408 is not used here.
var (
	refuseNoConfig       = &refusal{http.StatusServiceUnavailable, retrySoon, "no config is known yet"}
	refuseShutdown       = &refusal{http.StatusServiceUnavailable, retryAtOnce, "the instance shuts down"}
	refuseUnidentified   = &refusal{http.StatusUnauthorized, 0, "the request needs the key of a workspace"}
	refuseConfigOutdated = &refusal{http.StatusServiceUnavailable, retrySoon, "the key is unknown, but a newer config may have it"}
	refuseQuota          = &refusal{http.StatusTooManyRequests, retryLater, "the quota of the workspace is used up"}
	refuseNoRoute        = &refusal{http.StatusNotFound, 0, "no route for this host and path"}
	refuseBodyTooLong    = &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	refuseNoMemory       = &refusal{http.StatusServiceUnavailable, retryLater, "the bodies of the requests in progress take too much memory"}
	refuseIncompleteBody = &refusal{http.StatusBadRequest, 0, "body ended before its length"}
	refuseNotListed      = &refusal{http.StatusServiceUnavailable, retryLater, "the model or adapter is not listed"}
	refuseNoEndpoint     = &refusal{http.StatusServiceUnavailable, retryLater, "no endpoint can run it now"}
	refuseBusy           = &refusal{http.StatusServiceUnavailable, retryLater, "all endpoints of the model are busy"}
	refuseLimited        = &refusal{http.StatusServiceUnavailable, retryLater, "the endpoints take no more requests a second"}
	refuseHeldOff        = &refusal{http.StatusServiceUnavailable, retryLater, "all endpoints want no requests for a while"}
	refuseEndpointsFull  = &refusal{http.StatusServiceUnavailable, retryLater, "endpoints are full"}
	refuseQuarantined    = &refusal{http.StatusServiceUnavailable, retryLater, "requests like this one crashed endpoints"}
	refuseUnknownOrigin  = &refusal{http.StatusServiceUnavailable, retrySoon, "it is not known which software version began the stream"}
	refuseNoTime         = &refusal{http.StatusServiceUnavailable, retrySoon, "no time left"}
	failInDoubt          = &refusal{http.StatusBadGateway, 0, "an endpoint may have run it, its answer is lost"}
	failEndpoint         = &refusal{http.StatusBadGateway, 0, "an endpoint failed"}
	failDeadline         = &refusal{http.StatusGatewayTimeout, 0, "no answer in time"}
)

// quarantineRefusal returns the refusal of a request that must not run, with the time
// after which one like it may be tried again.
func (s *Server) quarantineRefusal(req *request) *refusal {
	changed := *refuseQuarantined
	changed.retryAfter = max(req.quarantineEnd.Sub(s.Now()).Round(time.Second), retryLater)
	return &changed
}

func (s *Server) refuse(w http.ResponseWriter, req *request, r *refusal) {
	s.requestMetrics.refused(r.status)
	s.workspaces.refused(req, r)
	if r.notRun() {
		s.refundQuota(req)
	}
	s.logEnd(req, r.status, r.text)
	header := w.Header()
	if r.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	text := []byte(r.text + "\n")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	if _, err := w.Write(text); err != nil {
		s.Log.WithError(err).WithField("request", req.id).Debug("writing the refusal failed; caller disconnected")
	}
}

// logEnd logs the end of a request.
func (s *Server) logEnd(req *request, status int, text string) {
	fields := log.Fields{
		"request": req.id, "status": status, "outcome": text, "took_ms": s.Now().Sub(req.arrived).Milliseconds(),
		"model": req.model, "adapter": req.adapter, "service": req.service, "endpoints": req.tried,
	}
	if req.route != nil {
		fields["route"] = req.route.Name
	}
	if req.identified {
		fields["workspace"] = req.workspace.Name()
	}
	if req.model != "" {
		fields["expected_ms"], fields["first_ms"], fields["tokens"] = req.expectedWait.Milliseconds(), req.timeToFirst.Milliseconds(), req.promptTokens
		fields["pause_ms"], fields["class"] = req.longestPause.Milliseconds(), req.class.String()
	}
	if req.route != nil && req.route.Kind == rlbdeployment.KindStream {
		fields["software"], fields["last_event"] = req.software, req.lastEventID
		fields["resumes"], fields["from_event"] = req.inbound.Header.Get(rlbplatform.HeaderResumes), req.inbound.Header.Get(rlbplatform.HeaderLastEventID)
	}
	if req.snapshot.Config != nil {
		fields["config"] = req.snapshot.Config.Version
	}
	if req.framing != "" {
		fields["framing"] = req.framing
	}
	if req.reason != "" {
		fields["reason"] = req.reason
	}
	s.Log.WithFields(fields).Info("request ended")
}

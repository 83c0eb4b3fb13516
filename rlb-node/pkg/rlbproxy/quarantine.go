package rlbproxy

import (
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// harmlessAfter is how long an answer must have been arriving until the parts of its
// prompt are no longer suspected: an engine has read the prompt by then.
const harmlessAfter = time.Second

// properties returns the properties of the request that may crash endpoints.
func (req *request) properties() []rlbcrash.Property {
	return append(req.partProperties(), rlbcrash.Property{Kind: rlbcrash.WholeRequest, ID: req.fingerprint})
}

func (req *request) partProperties() []rlbcrash.Property {
	var all []rlbcrash.Property
	for _, id := range req.sharedParts {
		all = append(all, rlbcrash.Property{Kind: rlbcrash.PromptPart, ID: partID(id)})
	}
	return all
}

// partID returns the number that the ID of a prompt part states in hexadecimal, or a hash
// of an ID that states none.
func partID(id string) uint64 {
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(id)
}

// quarantined reports whether the request may not run because of what it has in common
// with requests that crashed endpoints.
func (s *Server) quarantined(req *request) bool {
	allowed, cause, until := s.Crashes.Check(req.service, req.properties())
	if allowed {
		return false
	}
	req.quarantineEnd = until
	req.reason = "the " + cause.Kind.String() + " " + strconv.FormatUint(cause.ID, 16) + " crashed endpoints"
	return true
}

// recordCrash records that the endpoint broke the connection while it ran the request,
// and logs what the request shares with others, from which the cause can be found.
func (s *Server) recordCrash(req *request, e *rlbdeployment.Endpoint) {
	answering := s.answeringFor(req)
	endpoint := e.IncarnationKey()
	attempt := xxhash.Sum64String(e.ID + "/" + req.id + "/" + strconv.FormatInt(req.attemptStart.UnixNano(), 10))
	s.Crashes.RecordCrash(rlbcrash.Property{Kind: rlbcrash.WholeRequest, ID: req.fingerprint}, attempt, endpoint, req.attemptStart)
	if answering < harmlessAfter {
		for _, part := range req.partProperties() {
			s.Crashes.RecordCrash(part, endpoint, endpoint, req.attemptStart)
		}
	}
	s.requestMetrics.crashes.Inc(1)
	s.Log.WithFields(log.Fields{
		"request": req.id, "endpoint": e.ID, "endpoint_started": e.StartedAt, "fingerprint": strconv.FormatUint(req.fingerprint, 16),
		"shared_parts": req.sharedParts, "answering_ms": answering.Milliseconds(),
	}).Info("endpoint broke the connection while it ran a request")
}

// recordHarmless records, once for each attempt, that the parts of the prompt did not
// crash the endpoint, which has been answering for harmlessAfter.
func (s *Server) recordHarmless(req *request) {
	if req.harmless || s.answeringFor(req) < harmlessAfter {
		return
	}
	req.harmless = true
	s.logReleased(req, s.Crashes.RecordAnswer(req.service, req.partProperties()), "the answer has been arriving for a while")
}

// recordAnswered records that an endpoint has answered the request completely.
func (s *Server) recordAnswered(req *request) {
	s.logReleased(req, s.Crashes.RecordAnswer(req.service, req.properties()), "the answer is complete")
}

// logReleased logs which properties the request has shown not to crash endpoints.
func (s *Server) logReleased(req *request, released []rlbcrash.Property, reason string) {
	for _, p := range released {
		s.Log.WithFields(log.Fields{
			"request": req.id, "kind": p.Kind.String(), "property": strconv.FormatUint(p.ID, 16), "endpoints": req.tried, "reason": reason,
			"shared_parts": req.sharedParts, "last_event": req.lastEventID,
		}).Warn("a request with a property that was suspected to crash endpoints was answered")
	}
}

// answeringFor returns for how long the latest attempt has been answering; 0 if it
// brought no event.
func (s *Server) answeringFor(req *request) time.Duration {
	if req.firstEventAt.Before(req.attemptStart) {
		return 0
	}
	return s.Now().Sub(req.firstEventAt)
}

// LogQuarantine logs the properties of requests that are newly refused, and those that
// are no longer.
func (s *Server) LogQuarantine() {
	s.requestMetrics.quarantined.Update(int64(s.Crashes.Refused()))
	for _, c := range s.Crashes.TakeChanges() {
		entry := s.Log.WithFields(log.Fields{"kind": c.Property.Kind.String(), "property": strconv.FormatUint(c.Property.ID, 16), "crashes": c.Crashes})
		if !c.Refused {
			entry.Info("no longer refusing requests with a property that was suspected to crash endpoints")
			continue
		}
		entry.WithField("until_ms", c.Until.Sub(s.Now()).Milliseconds()).Warn("refusing requests with a property that crashes endpoints")
	}
}

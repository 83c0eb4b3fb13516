package rlbproxy

import (
	"cmp"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// versionFilter returns a function that reports whether the software version of an endpoint
// allows it to run the request. What two versions write for one request does not fit
// together, and endpoints do not check it: a stream goes on only at the version that began
// it, and one that may be taken up begins only at a version that other instances can learn of.
func (s *Server) versionFilter(req *request) func(*rlbdeployment.Endpoint) bool {
	if req.begun {
		return func(e *rlbdeployment.Endpoint) bool { return e.SoftwareVersion == req.beganAt }
	}
	if !req.mayBeTakenUp() {
		return func(*rlbdeployment.Endpoint) bool { return true }
	}
	allowed := map[string]bool{}
	return func(e *rlbdeployment.Endpoint) bool {
		may, checked := allowed[e.SoftwareVersion]
		if !checked {
			may = s.Origins.MayBegin(rlborigin.Origin{Service: req.service, Version: e.SoftwareVersion})
			allowed[e.SoftwareVersion] = may
		}
		return may
	}
}

// otherVersions returns the IDs of the endpoints of the request's service that may not run
// it because of their software version.
func (s *Server) otherVersions(req *request) []string {
	if !req.begun && !req.mayBeTakenUp() {
		return nil
	}
	mayRunAt := s.versionFilter(req)
	var others []string
	for _, e := range s.View.Snapshot().ByService[req.service] {
		if !mayRunAt(e) {
			others = append(others, e.ID)
		}
	}
	return others
}

// mayBeTakenUp reports whether the answer is a stream that the caller may take up again.
func (req *request) mayBeTakenUp() bool {
	return req.route.Kind == rlbdeployment.KindStream && req.route.Resumable
}

// takesUp reports whether the caller takes a stream up again that it has a part of.
func (req *request) takesUp() bool {
	return req.mayBeTakenUp() && req.inbound.Header.Get(rlbplatform.HeaderLastEventID) != ""
}

// streamID returns the ID of the request that began the stream: an earlier one if the caller
// takes the stream up again, and states it.
func (req *request) streamID() string {
	if !req.takesUp() {
		return req.id
	}
	return cmp.Or(req.inbound.Header.Get(rlbplatform.HeaderResumes), req.id)
}

// bindToVersion binds a request that takes a stream up again to the software version that
// began it. It returns a refusal if that version is not known.
func (s *Server) bindToVersion(req *request) *refusal {
	if !req.takesUp() {
		return nil
	}
	version, verdict := s.Origins.Find(req.inbound.Context(), req.service, req.streamID())
	if verdict != rlborigin.Known {
		return refuseUnknownOrigin
	}
	req.begun, req.beganAt = true, version
	return nil
}

// recordOrigin records which software version the stream began at, so that the caller can
// take it up again, which it does within the time that it is willing to wait.
func (s *Server) recordOrigin(req *request) {
	if !req.route.Resumable {
		return
	}
	wait := req.route.Timeout
	if left, stated := rlbplatform.TimeLeft(req.inbound.Header); stated {
		wait = max(wait, min(left, maxTakeUpWait))
	}
	s.Origins.Began(req.streamID(), rlborigin.Origin{Service: req.service, Version: req.beganAt}, req.arrived.Add(wait))
}

// maxTakeUpWait limits for how long a stream can be taken up again.
const maxTakeUpWait = 5 * time.Minute

// loneVersionCost is added to the cost of an endpoint that no other one of its version can
// stand in for: a stream that breaks there cannot go on.
const loneVersionCost = 60 * time.Millisecond

// loneOfTheirVersion returns the IDs of the endpoints that are the only one of their
// software version that serves a request, if there are several versions.
func loneOfTheirVersion(all []*rlbdeployment.Endpoint, serves func(*rlbdeployment.Endpoint) bool) []string {
	if !severalVersions(all) {
		return nil
	}
	byVersion := map[string][]string{}
	for _, e := range all {
		if serves(e) {
			byVersion[e.SoftwareVersion] = append(byVersion[e.SoftwareVersion], e.ID)
		}
	}
	var lone []string
	for _, ids := range byVersion {
		if len(ids) == 1 {
			lone = append(lone, ids...)
		}
	}
	return lone
}

// severalVersions reports whether the software versions of endpoints differ.
func severalVersions(all []*rlbdeployment.Endpoint) bool {
	for _, e := range all {
		if e.SoftwareVersion != all[0].SoftwareVersion {
			return true
		}
	}
	return false
}

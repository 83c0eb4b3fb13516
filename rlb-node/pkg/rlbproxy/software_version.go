package rlbproxy

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"

// mayRunAt reports whether the software version of an endpoint allows it to run the
// request. What two versions write for one request does not fit together, and endpoints do
// not check it.
func (req *request) mayRunAt(e *rlbdeployment.Endpoint) bool {
	return !req.begun || e.SoftwareVersion == req.beganAt
}

// otherVersions returns the IDs of the endpoints of the request's service that may not run
// it because of their software version.
func (s *Server) otherVersions(req *request) []string {
	if !req.begun {
		return nil
	}
	var others []string
	for _, e := range s.View.Snapshot().ByService[req.service] {
		if !req.mayRunAt(e) {
			others = append(others, e.ID)
		}
	}
	return others
}

package rlbproxy

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbadmission"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbintake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// defaultMaxBody is the body limit of configs that state none.
const defaultMaxBody = 4 << 20 // bytes

// maxBodies is the default limit in bytes of the bodies that the requests in flight have
// together, beside a small part of each.
const maxBodies = 32 << 20

// request is a request of a caller with its routing decisions and progress.
type request struct {
	id            string
	inbound       *http.Request
	body          []byte
	bodyUnread    bool // the request is refused without its body
	snapshot      *rlbdiscovery.Snapshot
	route         *rlbdeployment.Route
	workspace     rlbdeployment.Workspace
	identified    bool    // the caller has the key of workspace
	priority      int     // 0 is the highest
	charged       float64 // taken from the quota of workspace and not given back
	service       string
	model         string
	adapter       string
	promptTokens  int
	sharedParts   []string // IDs of the prompt parts that other requests may share
	fingerprint   uint64   // equal when the caller sends the request again
	arrived       time.Time
	deadline      time.Time
	exchange      *rlbroute.Exchange
	harmless      bool                // the latest attempt has shown that the prompt does not crash endpoints
	quarantineEnd time.Time           // until when requests like this one are refused; zero: they are not
	tried         []string            // IDs of the endpoints of all attempts
	software      []string            // software versions of these
	begun         bool                // the caller has a part of the stream, which only endpoints of beganAt may go on with
	beganAt       string              // software version of the endpoint that began the stream
	limited       []string            // IDs of the endpoints whose limit ruled them out for the attempt
	otherDomain   string              // failure domain of the endpoint of the latest attempt, if spillover counts it; empty: the own one
	unsent        int                 // number of these that could not be reached
	lastEventID   string              // last complete event sent to the caller
	class         rlbadmission.Class  // with which the latest attempt was admitted
	busy          bool                // not admitted: the expected wait is too long
	heldOffUntil  time.Time           // the soonest end if all endpoints that are left want no requests for a while; zero: not so
	expectedWait  time.Duration       // expected wait for the answer to start at the endpoint chosen last
	tokensAhead   int                 // unread prompt tokens of other requests at that endpoint
	queued        bool                // the request had to wait for a slot there
	attemptStart  time.Time           // of the latest attempt
	timeToFirst   time.Duration       // from attemptStart to the first event
	firstEventAt  time.Time           // time at which the first event of the latest attempt that brought one was relayed
	lastEventAt   time.Time           // time at which the latest event was relayed
	longestPause  time.Duration       // between two events
	started       bool                // the caller has got a part of the answer
	markAnswered  func()              // reports to the balancer that the endpoint's answer has started
	reason        string              // why the latest attempt failed or was not made
	framing       rlbdispatch.Framing // of the latest answer of an endpoint; empty: none
	// misdirected reports that the endpoint of the latest attempt answered 421: it
	// is not the expected instance or has not loaded the expected model.
	misdirected   bool
	failedAnswer  *answer // latest server error of an endpoint
	releaseMemory func()  // of the latest answer that is kept
	releaseBody   func()  // its memory
}

// modelKey returns the requested model as MODEL or MODEL/ADAPTER; empty: none.
func (req *request) modelKey() string {
	if req.adapter == "" {
		return req.model
	}
	return req.model + "/" + req.adapter
}

// load returns the load that the request puts on an endpoint.
func (req *request) load() rlbbalancer.RequestLoad {
	late := req.class == rlbadmission.Late
	return rlbbalancer.RequestLoad{PromptTokens: req.promptTokens, Late: late, Urgent: !late && req.priority <= mostUrgentPriority}
}

// terms returns the limits that decide whether the request is admitted now.
func (req *request) terms(now time.Time) rlbadmission.Terms {
	return rlbadmission.NewTerms(now, now.Add(req.route.TargetLatency), req.deadline, req.mayBeLate())
}

// mayBeLate reports whether the request may wait at an engine although it misses its target. A
// request that may not be repeated does not: if the engine crashes meanwhile, nobody knows whether it
// has run. One of the most urgent routes of a service need not, as it goes first in any case, and
// one of the least urgent is what an overloaded service refuses first.
func (req *request) mayBeLate() bool {
	return req.route.Retryable() && req.snapshot.Config.IntermediatePriority(req.service, req.route.Priority)
}

// readRequest reads a request, finds its route and sets its deadline and limits.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{id: r.Header.Get(rlbplatform.HeaderRequestID), inbound: r, arrived: s.Now(), snapshot: s.View.Snapshot(), releaseMemory: func() {}, releaseBody: func() {}}
	if req.snapshot.Config == nil {
		return req, refuseNoConfig
	}
	route, found := req.snapshot.Config.Route(r.Host, rlbhttp.RoutingPath(r.URL))
	if !found {
		return req, refuseNoRoute
	}
	req.route = route
	req.model, req.adapter, _ = strings.Cut(r.Header.Get(rlbplatform.HeaderModel), "/")
	refusal := s.identify(req)
	if refusal == nil {
		refusal = s.chargeQuota(req)
	}
	if refusal != nil {
		req.bodyUnread = true
		return req, refusal
	}
	req.service = s.serviceOf(req)
	if refusal := s.readBody(w, req); refusal != nil {
		return req, refusal
	}
	req.deadline = req.arrived.Add(route.Timeout)
	if left, stated := rlbplatform.TimeLeft(r.Header); stated && left < route.Timeout {
		req.deadline = req.arrived.Add(left)
	}
	if service := req.snapshot.Config.Services[req.service]; req.model != "" && !service.Lists(req.model, req.adapter) {
		return req, refuseNotListed
	}
	req.promptTokens = rlbplatform.PromptTokens(r.Header)
	req.sharedParts = rlbplatform.SharedPromptParts(r.Header)
	req.lastEventID = r.Header.Get(rlbplatform.HeaderLastEventID)
	req.fingerprint = requestFingerprint(r, req.body)
	budget := s.budgets.forService(req.service)
	budget.recordRequest(s.Now())
	req.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: !route.Retryable(), Deadline: req.deadline, MaxAttempts: route.MaxAttempts,
		Budget: exchangeBudget{budget, s},
	})
	return req, nil
}

// serviceOf returns the service for a request. A stream that its caller takes up stays at the
// one that began it, whatever the shares of the services have become since.
func (s *Server) serviceOf(req *request) string {
	if req.takesUp() {
		origin, known := s.Origins.Lookup(req.streamID())
		if known && slices.ContainsFunc(req.route.Shares, func(share rlbdeployment.Share) bool { return share.Service == origin.Service }) {
			return origin.Service
		}
	}
	return req.route.PickService(xxhash.Sum64String(req.streamID()))
}

// readBody reads the whole body: an incomplete request is not sent to any endpoint.
func (s *Server) readBody(w http.ResponseWriter, req *request) *refusal {
	limits := req.snapshot.Config.Limits
	maxBody := int64(limits.BodyBytes)
	if maxBody <= 0 {
		maxBody = defaultMaxBody
	}
	if req.inbound.ContentLength > maxBody {
		return refuseBodyTooLong
	}
	if req.inbound.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	if limits.HeaderTimeout > 0 {
		_ = control.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	memory := s.bodies.Reserve()
	req.releaseBody = memory.Release
	body, err := rlbdispatch.ReadAll(http.MaxBytesReader(w, req.inbound.Body, maxBody), memory)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		req.body = body
		return nil
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return refuseBodyTooLong
	case errors.Is(err, rlbdispatch.ErrMemory), errors.Is(err, rlbintake.ErrNoRoom):
		return refuseNoMemory
	default:
		return refuseIncompleteBody
	}
}

// requestFingerprint returns a hash that is equal each time a caller sends the same
// request.
func requestFingerprint(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get(rlbplatform.HeaderModel), r.Header.Get(rlbplatform.HeaderPromptPrefix)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

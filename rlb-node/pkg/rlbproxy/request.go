package rlbproxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbbalancer"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// Limits that hold until a config states them.
const defaultMaxBody = 4 << 20 // bytes

// request is one request of a caller with what was decided about it.
type request struct {
	id           string
	inbound      *http.Request
	body         []byte
	snapshot     *rlbdiscovery.Snapshot
	route        *rlbdeployment.Route
	service      string
	model        string
	adapter      string
	promptTokens int    // of its prompt
	fingerprint  uint64 // fingerprint, equal when the caller sends the request again
	arrived      time.Time
	deadline     time.Time
	exchange     *rlbroute.Exchange
	tried        []string      // endpoints that it was sent to
	unsent       int           // of these, those that could not be reached
	lastEventID  string        // last whole event that the caller has
	busy         bool          // no endpoint can begin its answer in time
	expectedWait time.Duration // wait for the answer to begin, of the latest choice
	attemptStart time.Time     // when the latest attempt began
	timeToFirst  time.Duration // from then until the answer began
	lastEventAt  time.Time     // when the latest event was passed on
	longestPause time.Duration // longest between two events
	started      bool          // a part of the answer was sent
	markAnswered func()        // tells that the endpoint's answer has begun
	reason       string        // of the latest fault
	// misdirected reports that the latest endpoint is not the one that was meant,
	// or does not hold what it should.
	misdirected  bool
	failedAnswer *answer // latest answer of an endpoint that failed
}

// modelKey returns the model that the request names, with its adapter; empty: none.
func (req *request) modelKey() string {
	if req.adapter == "" {
		return req.model
	}
	return req.model + "/" + req.adapter
}

// work returns what the request asks of an endpoint.
func (req *request) work() rlbbalancer.RequestLoad {
	return rlbbalancer.RequestLoad{PromptTokens: req.promptTokens, Urgent: req.route.Priority <= mostUrgentPriority}
}

// readRequest reads a request and finds its route.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{id: r.Header.Get(rlbplatform.HeaderRequestID), inbound: r, arrived: s.Now(), snapshot: s.View.Snapshot()}
	if req.snapshot.Config == nil {
		return req, refuseNoConfig
	}
	route, found := req.snapshot.Config.Route(r.Host, r.URL.Path)
	if !found {
		return req, refuseNoRoute
	}
	req.route = route
	req.service = route.PickService(xxhash.Sum64String(req.id))
	if refusal := s.readBody(w, req); refusal != nil {
		return req, refusal
	}
	req.deadline = req.arrived.Add(route.Timeout)
	if left, stated := rlbplatform.TimeLeft(r.Header); stated && left < route.Timeout {
		req.deadline = req.arrived.Add(left)
	}
	req.model, req.adapter, _ = strings.Cut(r.Header.Get(rlbplatform.HeaderModel), "/")
	if service := req.snapshot.Config.Services[req.service]; req.model != "" && !service.Lists(req.model, req.adapter) {
		return req, refuseNotListed
	}
	req.promptTokens = rlbplatform.PromptTokens(r.Header)
	req.lastEventID = r.Header.Get(rlbplatform.HeaderLastEventID)
	req.fingerprint = requestFingerprint(r, req.body)
	budget := s.budgets.forService(req.service)
	budget.countRequest(s.Now())
	req.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: !route.Retryable(), Deadline: req.deadline, MaxAttempts: route.MaxAttempts,
		Budget: exchangeBudget{budget, s},
	})
	return req, nil
}

// readBody reads the whole body: a request that is not whole is sent nowhere.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, req.inbound.Body, maxBody))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		req.body = body
		return nil
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return refuseBodyTooLong
	}
	return refuseIncompleteBody
}

// requestFingerprint is equal for the sends of one request by its caller.
func requestFingerprint(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get(rlbplatform.HeaderModel), r.Header.Get(rlbplatform.HeaderPromptPrefix)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

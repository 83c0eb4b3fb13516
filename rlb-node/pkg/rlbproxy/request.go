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
const defaultBody = 4 << 20 // bytes

// request is one request of a caller with what was decided about it.
type request struct {
	id       string
	caller   *http.Request
	body     []byte
	snapshot *rlbdiscovery.Snapshot
	route    *rlbdeployment.Route
	service  string
	model    string
	adapter  string
	tokens   int    // of its prompt
	print    uint64 // fingerprint, equal when the caller sends the request again
	arrived  time.Time
	deadline time.Time
	exchange *rlbroute.Exchange
	tried    []string      // endpoints that it was sent to
	unsent   int           // of these, those that could not be reached
	lastID   string        // last whole event that the caller has
	busy     bool          // no endpoint can begin its answer in time
	expected time.Duration // wait for the answer to begin, of the latest choice
	sent     time.Time     // when the latest attempt began
	first    time.Duration // from then until the answer began
	latest   time.Time     // when the latest event was passed on
	pause    time.Duration // longest between two events
	started  bool          // a part of the answer was sent
	answered func()        // tells that the endpoint's answer has begun
	reason   string        // of the latest fault
	// misdirected reports that the latest endpoint is not the one that was meant,
	// or does not hold what it should.
	misdirected bool
	failure     *answer // latest answer of an endpoint that failed
}

// wants returns the model that the request names, with its adapter; empty: none.
func (x *request) wants() string {
	if x.adapter == "" {
		return x.model
	}
	return x.model + "/" + x.adapter
}

// work returns what the request asks of an endpoint.
func (x *request) work() rlbbalancer.RequestLoad {
	return rlbbalancer.RequestLoad{PromptTokens: x.tokens, Urgent: x.route.Priority <= mostUrgent}
}

// read reads a request and finds its route.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	x := &request{id: r.Header.Get(rlbplatform.HeaderRequestID), caller: r, arrived: s.Now(), snapshot: s.View.Snapshot()}
	if x.snapshot.Config == nil {
		return x, refuseNoConfig
	}
	route, found := x.snapshot.Config.Route(r.Host, r.URL.Path)
	if !found {
		return x, refuseNoRoute
	}
	x.route = route
	x.service = route.PickService(xxhash.Sum64String(x.id))
	if refusal := s.readBody(w, x); refusal != nil {
		return x, refusal
	}
	x.deadline = x.arrived.Add(route.Timeout)
	if left, stated := rlbplatform.TimeLeft(r.Header); stated && left < route.Timeout {
		x.deadline = x.arrived.Add(left)
	}
	x.model, x.adapter, _ = strings.Cut(r.Header.Get(rlbplatform.HeaderModel), "/")
	if service := x.snapshot.Config.Services[x.service]; x.model != "" && !service.Lists(x.model, x.adapter) {
		return x, refuseNotListed
	}
	x.tokens = rlbplatform.PromptTokens(r.Header)
	x.lastID = r.Header.Get(rlbplatform.HeaderLastEventID)
	x.print = fingerprint(r, x.body)
	budget := s.budgets.of(x.service)
	budget.request(s.Now())
	x.exchange = rlbroute.NewExchange(rlbroute.ExchangeOpts{
		NonIdempotent: !route.Retryable(), Deadline: x.deadline, MaxAttempts: route.MaxAttempts,
		Budget: spender{budget, s},
	})
	return x, nil
}

// readBody reads the whole body: a request that is not whole is sent nowhere.
func (s *Server) readBody(w http.ResponseWriter, x *request) *refusal {
	limits := x.snapshot.Config.Limits
	longest := int64(limits.BodyBytes)
	if longest <= 0 {
		longest = defaultBody
	}
	if x.caller.ContentLength > longest {
		return refuseLongBody
	}
	if x.caller.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	if limits.HeaderTimeout > 0 {
		_ = control.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, x.caller.Body, longest))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		x.body = body
		return nil
	}
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return refuseLongBody
	}
	return refuseBrokenBody
}

// fingerprint is equal for the sends of one request by its caller.
func fingerprint(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get(rlbplatform.HeaderModel), r.Header.Get(rlbplatform.HeaderPromptPrefix)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

package rlbcaller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbroute"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
)

// droppedHeaders are not forwarded: the hop-by-hop headers (RFC 9110, section 7.6.1) and
// those that the gateway sets itself.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", rlbrelay.HeaderRequestID, HeaderTimeout,
}

// serviceRequest is a request to a plain service in flight.
type serviceRequest struct {
	*Server
	*proxiedRequest
	service rlbnote.Service
}

// serveService handles a request to a plain service.
func (s *Server) serveService(ctx context.Context, c *call) *Refusal {
	service, found := s.Fleet.Routes().Note().ServiceFor(rlbhttp.RoutingPath(c.r.URL))
	if !found {
		return newRefusal(rlbroute.NotRun, CodeUnknownPath)
	}
	c.nonIdempotent = !slices.Contains(service.Idempotent, c.r.Method) || c.key != ""
	x := &serviceRequest{Server: s, service: service}
	x.proxiedRequest = &proxiedRequest{
		call: c, send: x.send, model: service.Name, fingerprint: requestFingerprint(c.r.Method+c.r.URL.RequestURI(), c.body),
		candidates: func() []*rlbroute.Endpoint { return s.Fleet.Routes().Service(service.Name) },
	}
	return s.runWithClaim(ctx, c, x.fingerprint, func() *Refusal { return s.run(ctx, x.proxiedRequest) })
}

func (x *serviceRequest) send(ctx context.Context, e *rlbroute.Endpoint, exchange *rlbroute.Exchange) *attemptError {
	out := &rlbdispatch.Outgoing{
		Method: x.r.Method, Path: x.r.URL.RequestURI(), Header: x.header(), Body: x.body, Deadline: x.deadline, NewConnection: x.nonIdempotent,
	}
	in, failure := x.dispatch(ctx, x.proxiedRequest, e, exchange, out, serviceFault)
	if failure != nil {
		return failure
	}
	if in.ContentLength < 0 && len(in.TransferEncoding) == 0 && x.r.Method != http.MethodHead {
		in.Abort() // an answer that ends by closing the connection can't be checked for completeness
		return &attemptError{fault: rlbroute.FaultMalformed}
	}
	body, err := in.ReadAll(x.limits.maxAnswer)
	if err != nil {
		in.Abort()
		return faultOf(err)
	}
	in.Done()
	exchange.MarkAnswering()
	copyHeader(x.w.Header(), in.Header)
	x.respond(x.call, answer{rlbroute.Answered, in.StatusCode, in.Header.Get("Content-Type"), body})
	return nil
}

func (x *serviceRequest) header() http.Header {
	h := http.Header{}
	copyHeader(h, x.r.Header)
	h.Set(rlbrelay.HeaderRequestID, x.id)
	h.Set(HeaderTimeout, remaining(x.deadline, time.Now()))
	return h
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(droppedHeaders, name) {
			to[name] = values
		}
	}
}

// serviceFault returns the fault that a plain service's answer stands for, or false
// if it is no fault. Unlike an engine's, a service's status does not show that the
// request did not run: the service must say so in a header.
func serviceFault(in *rlbdispatch.Incoming) (rlbroute.Fault, bool) {
	switch {
	case in.Header.Get(rlbrelay.HeaderNotRun) == "true":
		return rlbroute.FaultRefused, true
	case in.StatusCode >= http.StatusInternalServerError:
		return rlbroute.FaultFailed, true
	default:
		return 0, false // other answers, including client errors, are relayed to the caller
	}
}

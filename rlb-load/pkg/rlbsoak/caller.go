package rlbsoak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// requestKind is the kind of a request.
type requestKind int

const (
	kindNonIdempotent requestKind = iota // runs at most once
	kindRead                             // may run more than once
	kindStream
)

func (k requestKind) String() string { return [...]string{"once", "read", "stream"}[k] }

// pathPrefix returns the path prefix of the kind's route.
func (k requestKind) pathPrefix() string { return [...]string{"/assign/", "/lookup/", "/draft/"}[k] }

// timeout returns the time limit of the kind's route.
func (k requestKind) timeout() time.Duration {
	return [...]time.Duration{800 * time.Millisecond, 800 * time.Millisecond, 15 * time.Second}[k]
}

// Behavior of callers.
const (
	thinkTime       = 150 * time.Millisecond // mean pause between the requests of a caller
	idleConnTimeout = 5 * time.Second        // idle connections are closed after this time
	timeoutSlack    = 4 * time.Second        // callers give up this long after the route's time limit
	maxEvents       = 20                     // expected from a stream
	routeHost       = "fleet.example"
	abandonShare    = 0.03 // share of the requests that a caller abandons early
)

// exchange is one request of a caller and its outcome.
type exchange struct {
	id          string
	kind        requestKind
	instance    *instance
	began       time.Time
	ended       time.Time
	status      int    // 0: no answer
	cut         bool   // the connection ended before the answer was complete
	abandoned   bool   // after a short time the caller disconnects, or closes its side and reads on
	problem     string // difference from the answer that the endpoint must send; empty: none, or no answer
	model       string // MODEL or MODEL/ADAPTER
	connRefused bool   // no process was listening
	workspace   string // of the caller
}

// caller sends requests one after the other over persistent connections.
type caller struct {
	name   string
	rng    *rand.Rand
	halves *rand.Rand // decides which callers close only their side
	client *http.Client
	soak   *soak
	sent   int
	// limited callers are those of the workspace with a quota, of which they ask for many
	// times as much at some of the instances.
	limited bool
}

func newCaller(s *soak, n int) *caller {
	return &caller{
		name: fmt.Sprintf("s%d-c%d", s.opts.Seed, n), soak: s, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000+n))),
		halves: rand.New(rand.NewPCG(s.opts.Seed, uint64(2000+n))),
		client: &http.Client{Transport: &http.Transport{
			IdleConnTimeout: idleConnTimeout, DisableCompression: true, ResponseHeaderTimeout: 0,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(thinkTime)))
		to := c.soak.pickInstance(c.rng, c.limited)
		if to == nil {
			continue
		}
		c.soak.record(c.sendRequest(context.WithoutCancel(ctx), to))
	}
}

// sendRequest sends one request.
func (c *caller) sendRequest(ctx context.Context, to *instance) exchange {
	c.sent++
	x := exchange{id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: requestKind(c.rng.IntN(3)), instance: to, workspace: c.workspace().Name}
	if c.limited {
		x.kind = kindRead
	}
	timeout, closesSide := x.kind.timeout()+timeoutSlack, false
	if c.rng.Float64() < abandonShare {
		x.abandoned = true
		leaves := time.Duration(c.rng.Int64N(int64(300 * time.Millisecond)))
		if closesSide = c.halves.IntN(2) == 0; closesSide {
			ctx = closeSideAfter(ctx, leaves)
		} else {
			timeout = leaves
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events := 0
	req := c.newRequest(ctx, &x, &events)
	req.Close = closesSide
	x.began = time.Now()
	answer, err := c.client.Do(req)
	if err != nil {
		x.ended = time.Now()
		x.connRefused = strings.Contains(err.Error(), "refused")
		x.cut = !x.connRefused && ctx.Err() == nil
		return x
	}
	defer func() { _ = answer.Body.Close() }()
	x.status = answer.StatusCode
	err = c.checkAnswer(answer, req, &x, events)
	x.ended = time.Now()
	if err != nil {
		x.cut = ctx.Err() == nil
		if !x.cut {
			x.problem = "" // the caller disconnected
		}
	}
	return x
}

// closeSideAfter makes the caller of a request close its side of the connection after a time and
// read on.
func closeSideAfter(ctx context.Context, after time.Duration) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if tcp, ok := info.Conn.(*net.TCPConn); ok {
			time.AfterFunc(after, func() { _ = tcp.CloseWrite() }) // fails if the instance has closed it
		}
	}})
}

// newRequest builds the HTTP request of an exchange; for a stream it also sets the
// number of expected events and the model.
func (c *caller) newRequest(ctx context.Context, x *exchange, events *int) *http.Request {
	method, body := http.MethodPost, []byte("body of "+x.id)
	if x.kind == kindRead {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+x.instance.callerAddress+x.kind.pathPrefix()+x.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is generated by the soak
	}
	req.GetBody = nil // keeps net/http from resending the request
	req.Host = routeHost
	req.Header.Set("X-Request-Id", x.id)
	req.Header.Set("Authorization", "Bearer "+c.workspace().Keys[0])
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(x.kind.timeout().Milliseconds(), 10))
	if x.kind == kindStream {
		*events = 1 + c.rng.IntN(maxEvents)
		spec := modelSpecs[c.soak.hotModel(c.rng)]
		x.model = spec.Name
		if c.rng.IntN(3) == 0 {
			x.model += fmt.Sprintf("/a%d", 1+c.rng.IntN(spec.Adapters))
		}
		req.Header.Set("X-Model", x.model)
		req.Header.Set("X-Token-Count", fmt.Sprintf("100,%d", *events))
	}
	return req
}

// checkAnswer reads an answer and records a problem if it differs from what the
// endpoint must send.
func (c *caller) checkAnswer(answer *http.Response, req *http.Request, x *exchange, events int) error {
	if answer.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, answer.Body)
		return err
	}
	if answer.Header.Get("X-Server-Stamp") == "" || answer.Header.Get("X-Request-Id") != x.id {
		x.problem = "success without an endpoint stamp, or with the id of another request"
	}
	if x.kind == kindStream {
		return c.checkStream(answer.Body, x, events)
	}
	body, err := io.ReadAll(answer.Body)
	if want := fmt.Sprintf("%s %s %d", req.Method, req.URL.RequestURI(), max(req.ContentLength, 0)); err == nil && string(body) != want {
		x.problem = fmt.Sprintf("body %q, want %q", body, want)
	}
	return err
}

// checkStream reads events, each of which must arrive once, in order and complete.
func (c *caller) checkStream(body io.Reader, x *exchange, events int) error {
	lines := bufio.NewReader(body)
	for n := 1; ; n++ {
		var got [3]string
		for i := range got {
			line, err := lines.ReadString('\n')
			if err == io.EOF && i == 0 && line == "" {
				if n-1 != events && x.problem == "" {
					x.problem = fmt.Sprintf("stream ended without an error after %d of %d events", n-1, events)
				}
				return nil
			}
			if err != nil {
				return err
			}
			got[i] = strings.TrimSuffix(line, "\n")
		}
		if want := [3]string{fmt.Sprintf("id: %d", n), fmt.Sprintf("data: %s token %d", x.id, n), ""}; got != want && x.problem == "" {
			x.problem = fmt.Sprintf("event %q, want %q", got, want)
		}
	}
}

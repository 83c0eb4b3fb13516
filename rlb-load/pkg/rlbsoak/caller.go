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
	"strconv"
	"strings"
	"time"
)

// Kinds of requests.
type requestKind int

const (
	kindNonIdempotent requestKind = iota // at most one run
	kindRead                             // may run more than once
	kindStream
)

func (k requestKind) String() string { return [...]string{"once", "read", "stream"}[k] }

// pathPrefix returns the prefix of the kind's route.
func (k requestKind) pathPrefix() string { return [...]string{"/assign/", "/lookup/", "/draft/"}[k] }

// timeout returns the time limit of the kind's route.
func (k requestKind) timeout() time.Duration {
	return [...]time.Duration{800 * time.Millisecond, 800 * time.Millisecond, 15 * time.Second}[k]
}

// Terms of callers.
const (
	thinkTime       = 150 * time.Millisecond // mean pause between two requests of a caller
	idleConnTimeout = 5 * time.Second        // for which a caller keeps a connection open
	timeoutSlack    = 4 * time.Second        // beyond a route's time limit
	maxEvents       = 20                     // events of a stream
	routeHost       = "fleet.example"
	abandonShare    = 0.03 // of the requests that are left before they are answered
)

// exchange is one request of a caller, and what came of it.
type exchange struct {
	id          string
	kind        requestKind
	instance    *instance
	began       time.Time
	ended       time.Time
	status      int    // 0: none came
	cut         bool   // the connection ended without a whole answer
	abandoned   bool   // the caller left
	problem     string // why the answer is not the endpoint's own whole one; empty: it is, or there is none
	model       string // with its adapter
	connRefused bool   // no process listened
}

// caller sends requests, one after the other, over connections that it keeps.
type caller struct {
	name   string
	rng    *rand.Rand
	client *http.Client
	soak   *soak
	sent   int
}

func newCaller(s *soak, n int) *caller {
	return &caller{
		name: fmt.Sprintf("s%d-c%d", s.opts.Seed, n), soak: s, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000+n))),
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
		to := c.soak.pickInstance(c.rng)
		if to == nil {
			continue
		}
		c.soak.record(c.sendRequest(context.WithoutCancel(ctx), to))
	}
}

// sendRequest sends one request.
func (c *caller) sendRequest(ctx context.Context, to *instance) exchange {
	c.sent++
	s := exchange{id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: requestKind(c.rng.IntN(3)), instance: to}
	longest := s.kind.timeout() + timeoutSlack
	if c.rng.Float64() < abandonShare {
		s.abandoned = true
		longest = time.Duration(c.rng.Int64N(int64(300 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	events := 0
	req := c.newRequest(ctx, &s, &events)
	s.began = time.Now()
	answer, err := c.client.Do(req)
	if err != nil {
		s.ended = time.Now()
		s.connRefused = strings.Contains(err.Error(), "refused")
		s.cut = !s.connRefused && ctx.Err() == nil
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	s.status = answer.StatusCode
	err = c.checkAnswer(answer, req, &s, events)
	s.ended = time.Now()
	if err != nil {
		s.cut = ctx.Err() == nil
		if !s.cut {
			s.problem = "" // the caller left
		}
	}
	return s
}

// newRequest returns the request of a kind.
func (c *caller) newRequest(ctx context.Context, s *exchange, events *int) *http.Request {
	method, body := http.MethodPost, []byte("body of "+s.id)
	if s.kind == kindRead {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.instance.callerAddress+s.kind.pathPrefix()+s.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.GetBody = nil // the soak's requests are sent once by the library
	req.Host = routeHost
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(s.kind.timeout().Milliseconds(), 10))
	if s.kind == kindStream {
		*events = 1 + c.rng.IntN(maxEvents)
		spec := modelSpecs[c.soak.hotModel(c.rng)]
		s.model = spec.Name
		if c.rng.IntN(3) == 0 {
			s.model += fmt.Sprintf("/a%d", 1+c.rng.IntN(spec.Adapters))
		}
		req.Header.Set("X-Model", s.model)
		req.Header.Set("X-Token-Count", fmt.Sprintf("100,%d", *events))
	}
	return req
}

// checkAnswer reads an answer and notes what is wrong with it.
func (c *caller) checkAnswer(answer *http.Response, req *http.Request, s *exchange, events int) error {
	if answer.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, answer.Body)
		return err
	}
	if answer.Header.Get("X-Server-Stamp") == "" || answer.Header.Get("X-Request-Id") != s.id {
		s.problem = "success without proof, or of another request"
	}
	if s.kind == kindStream {
		return c.checkStream(answer.Body, s, events)
	}
	body, err := io.ReadAll(answer.Body)
	if want := fmt.Sprintf("%s %s %d", req.Method, req.URL.RequestURI(), max(req.ContentLength, 0)); err == nil && string(body) != want {
		s.problem = fmt.Sprintf("body %q, want %q", body, want)
	}
	return err
}

// checkStream reads events, which must come each once, in order and whole.
func (c *caller) checkStream(body io.Reader, s *exchange, events int) error {
	lines := bufio.NewReader(body)
	for n := 1; ; n++ {
		var got [3]string
		for i := range got {
			line, err := lines.ReadString('\n')
			if err == io.EOF && i == 0 && line == "" {
				if n-1 != events && s.problem == "" {
					s.problem = fmt.Sprintf("stream ends as complete after %d of %d events", n-1, events)
				}
				return nil
			}
			if err != nil {
				return err
			}
			got[i] = strings.TrimSuffix(line, "\n")
		}
		if want := [3]string{fmt.Sprintf("id: %d", n), fmt.Sprintf("data: %s token %d", s.id, n), ""}; got != want && s.problem == "" {
			s.problem = fmt.Sprintf("event %q, want %q", got, want)
		}
	}
}

package rlbsoak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakesite"
)

// Verdict is what a run found.
type Verdict struct {
	Seed       uint64
	Sends      int
	Answered   int            // with an endpoint's own whole answer
	Faults     map[string]int // by kind
	Violations map[string]int // promises, by kind
	Findings   []string
	Stalled    time.Duration // the soak itself did not run
}

// String is the run's line.
func (v Verdict) String() string {
	n := 0
	for _, count := range v.Faults {
		n += count
	}
	line := fmt.Sprintf("seed=%d sends=%d answered=%d troubles=%d stalled=%s broken=%d", v.Seed, v.Sends, v.Answered, n, v.Stalled.Round(time.Millisecond), len(v.Violations))
	for _, kind := range slices.Sorted(maps.Keys(v.Violations)) {
		line += fmt.Sprintf(" %s=%d", kind, v.Violations[kind])
	}
	return line
}

func (s *soak) verdict() Verdict {
	v := Verdict{Seed: s.opts.Seed, Sends: len(s.exchanges), Faults: s.injected, Violations: s.violations, Findings: s.findings}
	for _, x := range s.exchanges {
		if x.status == http.StatusOK && !x.cut && !x.abandoned {
			v.Answered++
		}
	}
	for _, stall := range s.stalls {
		v.Stalled += stall.to.Sub(stall.from)
	}
	return v
}

// ready reports whether an instance says that it is ready.
func (s *soak) ready(x *instance) bool {
	answer, err := s.pollClient.Get("http://" + x.readinessAddress + "/-/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// monitor looks at an instance as the balancer does, and at the config that it has
// in force.
func (s *soak) monitor(ctx context.Context, x *instance) {
	for n := 0; sleep(ctx, pollInterval); n++ {
		if n%4 == 0 {
			ready := s.ready(x)
			s.mu.Lock()
			if s.missedChecks[x]++; ready {
				s.missedChecks[x] = 0
			}
			s.mu.Unlock()
		}
		s.checkConfig(ctx, x)
	}
}

// checkConfig asks for the route that the newest config adds, and for one that it
// dropped.
func (s *soak) checkConfig(ctx context.Context, x *instance) {
	version, acked := s.deployment.newestConfig()
	began, life := time.Now(), x.currentIncarnation()
	status := s.probe(ctx, x, version)
	if now, _ := s.deployment.newestConfig(); now > version+1 || x.currentIncarnation() != life {
		return // the route may be dropped by now
	}
	key := fmt.Sprintf("%s/%d", x.name, life)
	calm := x.undisturbed(began, time.Now()) && s.deployment.storeDisturbances.undisturbed(began, time.Now()) && x.notShuttingDown(began, time.Now()) && !s.stalled(began)
	s.mu.Lock()
	seen := s.seenVersion[key]
	if status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable {
		s.seenVersion[key] = max(seen, version)
	}
	s.mu.Unlock()
	if status != http.StatusNotFound {
		return
	}
	switch {
	case seen >= version:
		s.addFinding("config-back", fmt.Sprintf("%s answers as before version %d, which it had in force", x.name, version))
	case calm && began.Sub(acked) > inForceLimit:
		s.addFinding("config-late", fmt.Sprintf("%s does not have version %d, %s after it was acknowledged", x.name, version, began.Sub(acked)))
	}
}

// probe asks an instance for a route that a version added; 0: no answer.
func (s *soak) probe(ctx context.Context, x *instance, version uint64) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.callerAddress+probePath(version)+"x", nil)
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Id", fmt.Sprintf("probe-%s-%d", x.name, time.Now().UnixNano()))
	answer, err := s.pollClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body) // only the status matters
	return answer.StatusCode
}

// stalled reports whether the machine did not run the soak around a moment.
func (s *soak) stalled(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalls.overlap(at.Add(-quietPeriod), at.Add(quietPeriod))
}

// checkReach asks each instance for each model and adapter.
func (s *soak) checkReach(ctx context.Context) {
	var all sync.WaitGroup
	for n, x := range s.instances {
		all.Go(func() { s.reachAll(ctx, newCaller(s, s.opts.Callers+n), x) })
	}
	all.Wait()
}

func (s *soak) reachAll(ctx context.Context, c *caller, x *instance) {
	for _, spec := range modelSpecs {
		names := []string{spec.Name}
		for n := range spec.Adapters {
			names = append(names, fmt.Sprintf("%s/a%d", spec.Name, n+1))
		}
		for _, name := range names {
			if last := s.reach(ctx, c, x, name); last != http.StatusOK {
				s.addFinding("unreachable", fmt.Sprintf("%s by %s: last answer %d", name, x.name, last))
			}
		}
	}
}

// reach asks for a model as a caller does who comes back when told; it returns the
// last status.
func (s *soak) reach(ctx context.Context, c *caller, x *instance, model string) (last int) {
	deadline := time.Now().Add(kindStream.timeout())
	for n := 0; time.Now().Before(deadline); n++ {
		one := exchange{id: fmt.Sprintf("%s-reach-%s-%s-%d", c.name, x.name, strings.ReplaceAll(model, "/", "-"), n), kind: kindStream, instance: x}
		events := 0
		req := c.newRequest(ctx, &one, &events)
		req.Header.Set("X-Model", model)
		answer, err := c.client.Do(req)
		if err != nil {
			last = 0
			continue
		}
		last = answer.StatusCode
		err = c.checkAnswer(answer, req, &one, events)
		_ = answer.Body.Close()
		if last == http.StatusOK && err == nil && one.problem == "" {
			return last
		}
		time.Sleep(pollInterval)
	}
	return last
}

// checkHistory compares what callers saw with what endpoints ran.
func (s *soak) checkHistory() {
	time.Sleep(answerSlack) // for runs that have just begun
	runs := map[string][]endpointRun{}
	for _, e := range s.deployment.endpoints() {
		if e.replica.Overcommitted() {
			s.addFinding("memory", e.id+" was ordered to hold more than it can")
		}
		s.checkOrders(e)
		for _, run := range e.replica.History() {
			runs[run.ID] = append(runs[run.ID], endpointRun{run, e})
		}
	}
	for _, x := range s.exchanges {
		s.checkExchange(x, runs[x.id])
	}
}

// endpointRun is a run with its endpoint.
type endpointRun struct {
	rlbfakesite.Run
	endpoint *endpoint
}

// checkOrders checks that a fence has one holder, and that fences rise.
func (s *soak) checkOrders(e *endpoint) {
	var latest rlbfakesite.Command
	for _, c := range e.replica.Commands() {
		if c.Life == latest.Life && (c.Fence < latest.Fence || c.Fence == latest.Fence && c.Holder != latest.Holder) {
			s.addFinding("orders", fmt.Sprintf("%s took an order of %s under fence %d after one of %s under %d", e.id, c.Holder, c.Fence, latest.Holder, latest.Fence))
		}
		latest = c
	}
}

// checkExchange checks one request.
func (s *soak) checkExchange(x exchange, runs []endpointRun) {
	where := fmt.Sprintf("%s %s %s to %s at %.2fs, status %d", x.kind, x.id, x.model, x.instance.name, x.began.Sub(s.began).Seconds(), x.status)
	notRun := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, x.status)
	switch {
	case x.problem != "":
		s.addFinding("answer", where+": "+x.problem)
	case x.status == http.StatusNotFound:
		s.addFinding("denied", where)
	case x.kind == kindNonIdempotent && len(runs) > 1:
		s.addFinding("twice", fmt.Sprintf("%s: ran %d times", where, len(runs)))
	case x.kind == kindNonIdempotent && notRun && len(runs) > 0:
		s.addFinding("not-run", where+": it had run")
	}
	if x.kind == kindStream {
		s.checkSingleRun(where, x, runs)
	}
	for _, run := range runs {
		if left := run.endpoint.drainStart(run.Began); !left.IsZero() && run.Began.Sub(left) > drainTime && s.undisturbed(x, run.Began) && s.deployment.storeDisturbances.undisturbed(left, run.Began) {
			s.addFinding("leaving", fmt.Sprintf("%s: ran at %s, %s after its leaving", where, run.endpoint.id, run.Began.Sub(left)))
		}
	}
	s.checkOutcome(where, x, runs)
}

// undisturbed reports whether a request's instance was undisturbed from the request's
// beginning until a moment.
func (s *soak) undisturbed(x exchange, until time.Time) bool {
	return x.instance.undisturbed(x.began, until) && !s.stalled(x.began) && !s.stalled(until)
}

// checkSingleRun checks that a stream runs at one endpoint at a time.
func (s *soak) checkSingleRun(where string, x exchange, runs []endpointRun) {
	slices.SortFunc(runs, func(a, b endpointRun) int { return a.Began.Compare(b.Began) })
	for i := 1; i < len(runs); i++ {
		before, now := runs[i-1], runs[i]
		until := before.Ended
		if until.IsZero() {
			until = time.Now()
		}
		if until.Sub(now.Began) > maxRunOverlap && s.undisturbed(x, now.Began) && before.endpoint.undisturbed(before.Began, now.Began.Add(maxRunOverlap)) {
			s.addFinding("two-runs", fmt.Sprintf("%s: at %s for %s beside %s", where, before.endpoint.id, until.Sub(now.Began), now.endpoint.id))
		}
	}
}

// checkOutcome checks how and when a request ended.
func (s *soak) checkOutcome(where string, x exchange, runs []endpointRun) {
	if x.abandoned || x.connRefused {
		return
	}
	if took := x.ended.Sub(x.began); took > x.kind.timeout()+answerSlack && s.undisturbed(x, x.ended) {
		s.addFinding("late", fmt.Sprintf("%s: %s for a time limit of %s", where, took, x.kind.timeout()))
	}
	if !x.cut || len(runs) == 0 || !s.undisturbed(x, x.ended) {
		return
	}
	undisturbed := !slices.ContainsFunc(runs, func(r endpointRun) bool {
		return !r.endpoint.undisturbed(r.Began, x.ended) || !r.endpoint.drainStart(x.ended).IsZero()
	})
	if undisturbed {
		s.addFinding("lost", where+": cut without a whole answer, though it ran")
	}
}

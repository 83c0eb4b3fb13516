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

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Verdict is what a run found.
type Verdict struct {
	Seed     uint64
	Sends    int
	Answered int            // with an endpoint's own whole answer
	Troubles map[string]int // by kind
	Broken   map[string]int // promises, by kind
	Findings []string
	Stalled  time.Duration // the soak itself did not run
}

// String is the run's line.
func (v Verdict) String() string {
	n := 0
	for _, count := range v.Troubles {
		n += count
	}
	line := fmt.Sprintf("seed=%d sends=%d answered=%d troubles=%d stalled=%s broken=%d", v.Seed, v.Sends, v.Answered, n, v.Stalled.Round(time.Millisecond), len(v.Broken))
	for _, kind := range slices.Sorted(maps.Keys(v.Broken)) {
		line += fmt.Sprintf(" %s=%d", kind, v.Broken[kind])
	}
	return line
}

func (s *soak) verdict() Verdict {
	v := Verdict{Seed: s.opts.Seed, Sends: len(s.sends), Troubles: s.harmed, Broken: s.broken, Findings: s.findings}
	for _, x := range s.sends {
		if x.status == http.StatusOK && !x.cut && !x.gaveUp {
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
	answer, err := s.looker.Get("http://" + x.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// watch looks at an instance as the balancer does, and at the config that it has
// in force.
func (s *soak) watch(ctx context.Context, x *instance) {
	for n := 0; sleep(ctx, lookPeriod); n++ {
		if n%4 == 0 {
			ready := s.ready(x)
			s.mu.Lock()
			if s.rotation[x]++; ready {
				s.rotation[x] = 0
			}
			s.mu.Unlock()
		}
		s.lookAtConfig(ctx, x)
	}
}

// lookAtConfig asks for the route that the newest config adds, and for one that it
// dropped.
func (s *soak) lookAtConfig(ctx context.Context, x *instance) {
	version, acked := s.site.newest()
	began, life := time.Now(), x.number()
	status := s.probe(ctx, x, version)
	if now, _ := s.site.newest(); now > version+1 || x.number() != life {
		return // the route may be dropped by now
	}
	key := fmt.Sprintf("%s/%d", x.name, life)
	calm := x.calm(began, time.Now()) && s.site.storeWide.calm(began, time.Now()) && x.stays(began, time.Now()) && !s.stalled(began)
	s.mu.Lock()
	seen := s.seen[key]
	if status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable {
		s.seen[key] = max(seen, version)
	}
	s.mu.Unlock()
	if status != http.StatusNotFound {
		return
	}
	switch {
	case seen >= version:
		s.find("config-back", fmt.Sprintf("%s answers as before version %d, which it had in force", x.name, version))
	case calm && began.Sub(acked) > inForce:
		s.find("config-late", fmt.Sprintf("%s does not have version %d, %s after it was acknowledged", x.name, version, began.Sub(acked)))
	}
}

// probe asks an instance for a route that a version added; 0: no answer.
func (s *soak) probe(ctx context.Context, x *instance, version uint64) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.callers+probePath(version)+"x", nil)
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.Host = siteHost
	req.Header.Set("X-Request-Id", fmt.Sprintf("probe-%s-%d", x.name, time.Now().UnixNano()))
	answer, err := s.looker.Do(req)
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
	return s.stalls.touch(at.Add(-contact), at.Add(contact))
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
				s.find("unreachable", fmt.Sprintf("%s by %s: last answer %d", name, x.name, last))
			}
		}
	}
}

// reach asks for a model as a caller does who comes back when told; it returns the
// last status.
func (s *soak) reach(ctx context.Context, c *caller, x *instance, model string) (last int) {
	deadline := time.Now().Add(kindStream.timeout())
	for n := 0; time.Now().Before(deadline); n++ {
		one := send{id: fmt.Sprintf("%s-reach-%s-%s-%d", c.name, x.name, strings.ReplaceAll(model, "/", "-"), n), kind: kindStream, to: x}
		events := 0
		req := c.make(ctx, &one, &events)
		req.Header.Set("X-Model", model)
		answer, err := c.client.Do(req)
		if err != nil {
			last = 0
			continue
		}
		last = answer.StatusCode
		err = c.check(answer, req, &one, events)
		_ = answer.Body.Close()
		if last == http.StatusOK && err == nil && one.problem == "" {
			return last
		}
		time.Sleep(lookPeriod)
	}
	return last
}

// judge compares what callers saw with what endpoints ran.
func (s *soak) judge() {
	time.Sleep(answerSlack) // for runs that have just begun
	runs := map[string][]ran{}
	for _, e := range s.site.endpoints() {
		if e.replica.Overcommitted() {
			s.find("memory", e.id+" was ordered to hold more than it can")
		}
		s.judgeOrders(e)
		for _, run := range e.replica.History() {
			runs[run.ID] = append(runs[run.ID], ran{run, e})
		}
	}
	for _, x := range s.sends {
		s.judgeSend(x, runs[x.id])
	}
}

// ran is a run with its endpoint.
type ran struct {
	rlbfakedeployment.Run
	at *endpoint
}

// judgeOrders checks that a fence has one holder, and that fences rise.
func (s *soak) judgeOrders(e *endpoint) {
	var latest rlbfakedeployment.Command
	for _, c := range e.replica.Commands() {
		if c.Incarnation == latest.Incarnation && (c.Fence < latest.Fence || c.Fence == latest.Fence && c.Holder != latest.Holder) {
			s.find("orders", fmt.Sprintf("%s took an order of %s under fence %d after one of %s under %d", e.id, c.Holder, c.Fence, latest.Holder, latest.Fence))
		}
		latest = c
	}
}

// judgeSend checks one request.
func (s *soak) judgeSend(x send, runs []ran) {
	where := fmt.Sprintf("%s %s %s to %s at %.2fs, status %d", x.kind, x.id, x.model, x.to.name, x.began.Sub(s.began).Seconds(), x.status)
	notRun := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, x.status)
	switch {
	case x.problem != "":
		s.find("answer", where+": "+x.problem)
	case x.status == http.StatusNotFound:
		s.find("denied", where)
	case x.kind == kindOnce && len(runs) > 1:
		s.find("twice", fmt.Sprintf("%s: ran %d times", where, len(runs)))
	case x.kind == kindOnce && notRun && len(runs) > 0:
		s.find("not-run", where+": it had run")
	}
	if x.kind == kindStream {
		s.judgeOneRun(where, x, runs)
	}
	for _, run := range runs {
		if left := run.at.left(run.Began); !left.IsZero() && run.Began.Sub(left) > drainTime && s.calm(x, run.Began) && s.site.storeWide.calm(left, run.Began) {
			s.find("leaving", fmt.Sprintf("%s: ran at %s, %s after its leaving", where, run.at.id, run.Began.Sub(left)))
		}
	}
	s.judgeEnd(where, x, runs)
}

// calm reports whether a request's instance was undisturbed from the request's
// beginning until a moment.
func (s *soak) calm(x send, until time.Time) bool {
	return x.to.calm(x.began, until) && !s.stalled(x.began) && !s.stalled(until)
}

// judgeOneRun checks that a stream runs at one endpoint at a time.
func (s *soak) judgeOneRun(where string, x send, runs []ran) {
	slices.SortFunc(runs, func(a, b ran) int { return a.Began.Compare(b.Began) })
	for i := 1; i < len(runs); i++ {
		before, now := runs[i-1], runs[i]
		until := before.Ended
		if until.IsZero() {
			until = time.Now()
		}
		if until.Sub(now.Began) > oneRun && s.calm(x, now.Began) && before.at.calm(before.Began, now.Began.Add(oneRun)) {
			s.find("two-runs", fmt.Sprintf("%s: at %s for %s beside %s", where, before.at.id, until.Sub(now.Began), now.at.id))
		}
	}
}

// judgeEnd checks how and when a request ended.
func (s *soak) judgeEnd(where string, x send, runs []ran) {
	if x.gaveUp || x.stranger {
		return
	}
	if took := x.ended.Sub(x.began); took > x.kind.timeout()+answerSlack && s.calm(x, x.ended) {
		s.find("late", fmt.Sprintf("%s: %s for a time limit of %s", where, took, x.kind.timeout()))
	}
	if !x.cut || len(runs) == 0 || !s.calm(x, x.ended) {
		return
	}
	undisturbed := !slices.ContainsFunc(runs, func(r ran) bool { return !r.at.calm(r.Began, x.ended) || !r.at.left(x.ended).IsZero() })
	if undisturbed {
		s.find("lost", where+": cut without a whole answer, though it ran")
	}
}

// Package rlbsoak runs the node's program as many processes on loopback, harms
// them from outside, and checks the promises by what callers and endpoints see.
// Links are harmed by proxies, processes by signals, the object store and the
// endpoints by their stand-ins.
package rlbsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Opts describe a run.
type Opts struct {
	Program   string // of a node
	Folder    string // for settings and logs
	Host      string // IP on loopback
	Port      int    // the first of those that are used
	Instances int
	Engines   int
	Plain     int // endpoints of the plain service
	Callers   int
	Seed      uint64
	Length    time.Duration // of the time in which things are harmed
	Only      []string      // kinds of trouble; empty: all
}

// Terms that the promises are checked by, and of a run.
const (
	contact     = 3 * time.Second // undisturbed before bounds in time hold
	inForce     = 2 * time.Second // from a config's acknowledgement
	oneRun      = 400 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	recovery    = 12 * time.Second
	startWait   = 15 * time.Second
	lookPeriod  = 250 * time.Millisecond // between two looks at an instance
	lookTimeout = time.Second
	misses      = 2 // unanswered readiness checks that take an instance out
	stallAfter  = 150 * time.Millisecond
	stallLook   = 20 * time.Millisecond
	shiftPeriod = 7 * time.Second // between two changes of demand
	hotShare    = 0.7             // of the requests that ask for the hot model
	mostKept    = 30              // findings
)

// domains are the failure domains of a run.
var domains = []string{"seeb", "bawshar", "muttrah"}

// soak is one run.
type soak struct {
	opts      Opts
	site      *site
	program   *program
	instances []*instance
	began     time.Time
	looker    *http.Client
	closers   []func()

	mu       sync.Mutex
	sends    []send
	findings []string
	broken   map[string]int
	rotation map[*instance]int // unanswered readiness checks in a row
	seen     map[string]uint64 // newest version whose effect was seen, by instance and life
	harmed   map[string]int    // by kind of trouble
	stalls   spans             // in which the machine did not run the soak itself
}

// Run plays one seed and returns what it found.
func Run(ctx context.Context, opts Opts) (Verdict, error) {
	if err := os.MkdirAll(opts.Folder, 0o700); err != nil {
		return Verdict{}, fmt.Errorf("folder of the soak: %w", err)
	}
	s := &soak{
		opts: opts, broken: map[string]int{}, rotation: map[*instance]int{}, seen: map[string]uint64{}, harmed: map[string]int{},
		looker: &http.Client{Timeout: lookTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.program = &program{path: opts.Program, folder: opts.Folder, report: s.find}
	defer s.close()
	if err := s.setUp(); err != nil {
		return Verdict{}, err
	}
	if err := s.play(ctx); err != nil {
		return Verdict{}, err
	}
	s.shutDown()
	s.judge()
	return s.verdict(), nil
}

func (s *soak) close() {
	for _, x := range s.instances {
		if x.command != nil {
			x.end(syscall.SIGKILL, grace)
		}
	}
	for _, done := range s.closers {
		done()
	}
	if s.site != nil {
		s.site.close()
	}
}

// setUp serves the site and starts all instances.
func (s *soak) setUp() error {
	site, port, err := newSite(s.opts.Host, s.opts.Port, domains, s.opts.Engines, s.opts.Plain, s.opts.Seed)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	s.site = site
	for n := range s.opts.Instances {
		x, err := s.newInstance(n, port+n*portsEach)
		if err != nil {
			return fmt.Errorf("instance %d: %w", n, err)
		}
		s.instances = append(s.instances, x)
		if err := s.program.start(x); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startWait)
	for _, x := range s.instances {
		for !s.ready(x) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", x.name, startWait)
			}
			time.Sleep(lookPeriod)
		}
	}
	return nil
}

// portsEach is the number of ports of an instance: callers, readiness, the
// internal ones, and those of its two proxies.
const portsEach = 6

func (s *soak) newInstance(n, port int) (*instance, error) {
	host := s.opts.Host
	x := &instance{
		name: fmt.Sprintf("node-%d", n+1), domain: domains[n%len(domains)], callers: at(host, port), ready: at(host, port+1),
		settings: filepath.Join(s.opts.Folder, fmt.Sprintf("node-%d.ini", n+1)),
	}
	var closeStore, closePeers func()
	var err error
	if x.store, closeStore, err = newProxy(at(host, port+4), at(host, s.opts.Port), false); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, closeStore)
	if x.peers, closePeers, err = newProxy(at(host, port+5), at(host, port+2), true); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, closePeers)
	return x, s.write(x, port, 0)
}

// write writes an instance's settings; version tells two of them apart.
func (s *soak) write(x *instance, port, version int) error {
	host := s.opts.Host
	text := fmt.Sprintf(`[instance]
id = %s
failure_domain = %s
[platform]
objects = %s
[node]
callers = %s
readiness = %s
internal = %s
internal_ports = %d,%d
advertise = %s
retry_allowance = %d
grace = %s
`, x.name, x.domain, at(host, port+4), x.callers, x.ready, host, port+2, port+3, at(host, port+5), 50+version%2, grace)
	x.port = port
	return os.WriteFile(x.settings, []byte(text), 0o600)
}

// play sends requests while things are harmed, and until all has recovered.
func (s *soak) play(ctx context.Context) error {
	s.began = time.Now()
	running, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for n := range s.opts.Callers {
		all.Go(func() { newCaller(s, n).run(running) })
	}
	for _, x := range s.instances {
		all.Go(func() { s.watch(running, x) })
	}
	all.Go(func() { s.beat(running) })
	all.Go(func() { s.watchStalls(running) })
	harming, end := context.WithTimeout(ctx, s.opts.Length)
	err := s.harm(harming)
	end()
	if err == nil {
		sleep(ctx, recovery)
		s.checkReach(ctx)
	}
	stop()
	all.Wait()
	return err
}

// beat keeps the endpoints' entries fresh.
func (s *soak) beat(ctx context.Context) {
	for sleep(ctx, beat) {
		s.site.refresh()
	}
}

// watchStalls notes when the soak itself did not run: then the instances may not
// have run either.
func (s *soak) watchStalls(ctx context.Context) {
	before := time.Now()
	for sleep(ctx, stallLook) {
		now := time.Now()
		if now.Sub(before) > stallAfter {
			s.mu.Lock()
			s.stalls = append(s.stalls, span{before, now})
			s.mu.Unlock()
		}
		before = now
	}
}

// shutDown stops all instances, which must end by themselves.
func (s *soak) shutDown() {
	var all sync.WaitGroup
	for _, x := range s.instances {
		all.Go(func() {
			began := time.Now()
			x.end(syscall.SIGTERM, grace)
			if time.Since(began) >= grace {
				s.find("shutdown", fmt.Sprintf("%s had not ended %s after SIGTERM without a request", x.name, grace))
			}
		})
	}
	all.Wait()
}

// sleep waits; it reports false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// hotModel returns the number of the model of the next request: one model is hot
// for a while, then the next.
func (s *soak) hotModel(draw *rand.Rand) int {
	if draw.Float64() < hotShare {
		return int(time.Since(s.began)/shiftPeriod) % len(modelSpecs)
	}
	return draw.IntN(len(modelSpecs))
}

// pick returns an instance that the balancer sends new callers to; nil: there is
// none.
func (s *soak) pick(draw *rand.Rand) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []*instance
	for _, x := range s.instances {
		if s.rotation[x] < misses {
			in = append(in, x)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[draw.IntN(len(in))]
}

func (s *soak) note(x send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, x)
}

// find notes a broken promise.
func (s *soak) find(kind, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken[kind]++; len(s.findings) < mostKept {
		s.findings = append(s.findings, fmt.Sprintf("%s at %.2fs: %s", kind, time.Since(s.began).Seconds(), what))
	}
}

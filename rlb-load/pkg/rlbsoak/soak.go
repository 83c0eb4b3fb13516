// Package rlbsoak runs several instances as processes on loopback, injects faults
// from outside, and checks invariants against what callers and endpoints observed.
// Proxies inject faults into links, signals into processes, and the stand-ins
// into the object store and the endpoints.
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
	Program   string // path of the rlb-node binary
	Folder    string // for settings and logs
	Host      string // IP address on loopback
	Port      int    // first of the ports in use
	Instances int
	Engines   int
	Plain     int // endpoints of the plain service
	Callers   int
	Seed      uint64
	Length    time.Duration // duration of the fault injection
	Only      []string      // kinds of fault; empty: all
}

// Limits of the invariants and timing of a run.
const (
	quietPeriod         = 3 * time.Second        // required without a disturbance before time limits are checked
	inForceLimit        = 2 * time.Second        // from the acknowledgement of a config until it is in force
	maxRunOverlap       = 400 * time.Millisecond // tolerated overlap of two runs of one stream
	answerSlack         = 500 * time.Millisecond
	recoveryTime        = 12 * time.Second
	startTimeout        = 15 * time.Second
	pollInterval        = 250 * time.Millisecond // between polls of an instance
	pollTimeout         = time.Second
	maxMissedChecks     = 2 // failed readiness checks in a row that take an instance out of rotation
	stallThreshold      = 150 * time.Millisecond
	stallCheckInterval  = 20 * time.Millisecond
	demandShiftInterval = 7 * time.Second // between changes of the hot model
	hotShare            = 0.7             // share of the requests sent to the hot model; the others choose a random model
	maxFindings         = 30              // reported with their text; all are counted
)

// domains are the failure domains of a run.
var domains = []string{"seeb", "bawshar", "muttrah"}

// soak is the state of one run.
type soak struct {
	opts       Opts
	deployment *deployment
	program    *program
	instances  []*instance
	began      time.Time
	pollClient *http.Client
	closers    []func()
	restoring  sync.Mutex // held while the store is restored from a copy

	mu           sync.Mutex
	exchanges    []exchange
	findings     []string
	violations   map[string]int
	missedChecks map[*instance]int // failed readiness checks in a row
	seenVersion  map[string]uint64 // newest config version observed in force, by instance and incarnation
	injected     map[string]int    // faults, by kind
	stalls       spans             // times at which the soak process itself was not scheduled
}

// Run runs one seed and returns its verdict.
func Run(ctx context.Context, opts Opts) (Verdict, error) {
	if err := os.MkdirAll(opts.Folder, 0o700); err != nil {
		return Verdict{}, fmt.Errorf("create soak folder: %w", err)
	}
	s := &soak{
		opts: opts, violations: map[string]int{}, missedChecks: map[*instance]int{}, seenVersion: map[string]uint64{}, injected: map[string]int{},
		pollClient: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.program = &program{path: opts.Program, folder: opts.Folder, report: s.addFinding}
	defer s.close()
	if err := s.setUp(); err != nil {
		return Verdict{}, err
	}
	if err := s.runLoad(ctx); err != nil {
		return Verdict{}, err
	}
	s.shutDown()
	s.checkHistory()
	return s.verdict(), nil
}

func (s *soak) close() {
	for _, inst := range s.instances {
		if inst.command != nil {
			inst.terminate(syscall.SIGKILL, grace)
		}
	}
	for _, closer := range s.closers {
		closer()
	}
	if s.deployment != nil {
		s.deployment.close()
	}
}

// setUp serves the deployment and starts all instances.
func (s *soak) setUp() error {
	d, port, err := newDeployment(s.opts.Host, s.opts.Port, domains, s.opts.Engines, s.opts.Plain, s.opts.Seed)
	if err != nil {
		return fmt.Errorf("serve deployment: %w", err)
	}
	s.deployment = d
	for n := range s.opts.Instances {
		inst, err := s.newInstance(n, port+n*portsPerInstance)
		if err != nil {
			return fmt.Errorf("set up instance %d: %w", n, err)
		}
		s.instances = append(s.instances, inst)
		if err := s.program.start(inst); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, inst := range s.instances {
		for !s.ready(inst) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready %s after the start", inst.name, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// portsPerInstance is the number of ports of an instance: callers, readiness, two
// internal ports, and one for each of its two proxies.
const portsPerInstance = 6

func (s *soak) newInstance(n, port int) (*instance, error) {
	host := s.opts.Host
	inst := &instance{
		name: fmt.Sprintf("node-%d", n+1), domain: domains[n%len(domains)], callerAddress: address(host, port), readinessAddress: address(host, port+1),
		settingsPath: filepath.Join(s.opts.Folder, fmt.Sprintf("node-%d.ini", n+1)),
	}
	var closeStore, closePeers func()
	var err error
	if inst.storeProxy, closeStore, err = newProxy(address(host, port+4), address(host, s.opts.Port), false); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, closeStore)
	if inst.peerProxy, closePeers, err = newProxy(address(host, port+5), address(host, port+2), true); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, closePeers)
	return inst, s.writeSettings(inst, port, 0)
}

// writeSettings writes the settings file of an instance. An odd and an even
// version give different settings, so that a reload has a change to apply.
func (s *soak) writeSettings(inst *instance, port, version int) error {
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
`, inst.name, inst.domain, address(host, port+4), inst.callerAddress, inst.readinessAddress, host, port+2, port+3, address(host, port+5), 50+version%2, grace)
	inst.firstPort = port
	return os.WriteFile(inst.settingsPath, []byte(text), 0o600)
}

// runLoad sends requests while faults are injected and during the recovery time.
func (s *soak) runLoad(ctx context.Context) error {
	s.began = time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for n := range s.opts.Callers {
		all.Go(func() { newCaller(s, n).run(loadCtx) })
	}
	for n := range limitedCallers {
		all.Go(func() { newLimitedCaller(s, n).run(loadCtx) })
	}
	for _, inst := range s.instances {
		all.Go(func() { s.monitor(loadCtx, inst) })
	}
	all.Go(func() { s.refreshEntries(loadCtx) })
	all.Go(func() { s.detectStalls(loadCtx) })
	faultCtx, end := context.WithTimeout(ctx, s.opts.Length)
	err := s.injectFaults(faultCtx)
	end()
	if err == nil {
		sleep(ctx, recoveryTime)
		s.checkReach(ctx)
	}
	stop()
	all.Wait()
	return err
}

// refreshEntries renews the entries of the endpoints periodically.
func (s *soak) refreshEntries(ctx context.Context) {
	for sleep(ctx, entryInterval) {
		s.deployment.refresh()
	}
}

// detectStalls records when the soak process itself was not scheduled, since the
// instances may not have been scheduled then either.
func (s *soak) detectStalls(ctx context.Context) {
	before := time.Now()
	for sleep(ctx, stallCheckInterval) {
		now := time.Now()
		if now.Sub(before) > stallThreshold {
			s.mu.Lock()
			s.stalls = append(s.stalls, span{before, now})
			s.mu.Unlock()
		}
		before = now
	}
}

// shutDown sends SIGTERM to all instances, which must exit without SIGKILL.
func (s *soak) shutDown() {
	var all sync.WaitGroup
	for _, inst := range s.instances {
		all.Go(func() {
			began := time.Now()
			inst.terminate(syscall.SIGTERM, grace)
			if time.Since(began) >= grace {
				s.addFinding("shutdown", fmt.Sprintf("%s was still running %s after SIGTERM, with no requests in flight", inst.name, grace))
			}
		})
	}
	all.Wait()
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// hotModel returns the index of the model of the next request. One model is hot
// for demandShiftInterval, then the next.
func (s *soak) hotModel(rng *rand.Rand) int {
	if rng.Float64() < hotShare {
		return int(time.Since(s.began)/demandShiftInterval) % len(modelSpecs)
	}
	return rng.IntN(len(modelSpecs))
}

// pickInstance returns a random instance in rotation, as a load balancer would,
// or nil if there is none. Callers of the workspace with a quota reach a part of them.
func (s *soak) pickInstance(rng *rand.Rand, limited bool) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var healthy []*instance
	for n, inst := range s.instances {
		if s.missedChecks[inst] < maxMissedChecks && (!limited || n%limitedOneOf == 0) {
			healthy = append(healthy, inst)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return healthy[rng.IntN(len(healthy))]
}

func (s *soak) record(x exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, x)
}

// addFinding records a violated invariant.
func (s *soak) addFinding(kind, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violations[kind]++; len(s.findings) < maxFindings {
		s.findings = append(s.findings, fmt.Sprintf("%s at %.2fs: %s", kind, time.Since(s.began).Seconds(), text))
	}
}

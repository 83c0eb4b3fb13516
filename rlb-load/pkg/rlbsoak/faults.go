package rlbsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// fault is a kind of fault. Its function returns once the fault has ended.
type fault struct {
	name   string
	weight int // relative frequency
	inject func(*injector) error
}

// meanFaultInterval is the mean time between the starts of faults, which may
// overlap.
const meanFaultInterval = 900 * time.Millisecond

var faults = []fault{
	{"kill", 3, (*injector).kill},
	{"herd-kill", 1, (*injector).herdKill},
	{"pause", 3, (*injector).pause},
	{"stop", 3, (*injector).stop},
	{"hup", 1, (*injector).hup},
	{"store-link", 3, (*injector).storeLink},
	{"store-silent", 2, (*injector).storeSilent},
	{"peer-cut", 2, (*injector).peerCut},
	{"store-down", 2, (*injector).storeDown},
	{"store-slow", 1, (*injector).storeSlow},
	{"store-lost", 2, (*injector).storeLost},
	{"store-compact", 2, (*injector).storeCompact},
	{"config", 4, (*injector).config},
	{"endpoint-link", 3, (*injector).endpointLink},
	{"endpoint-silent", 2, (*injector).endpointSilent},
	{"endpoint-reset", 2, (*injector).endpointReset},
	{"endpoint-crash", 3, (*injector).endpointCrash},
	{"endpoint-leaves", 3, (*injector).endpointLeaves},
	{"spoil", 3, (*injector).spoil},
}

// FaultKinds returns the names of all kinds of fault.
func FaultKinds() []string {
	var names []string
	for _, t := range faults {
		names = append(names, t.name)
	}
	return names
}

// injector injects one fault, with random numbers of its own.
type injector struct {
	*soak
	ctx context.Context
	rng *rand.Rand // of this fault only
}

// injectFaults starts random faults until ctx ends, and waits for all of them to
// end.
func (s *soak) injectFaults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1))
	var candidates []fault
	for _, t := range faults {
		if len(s.opts.Only) == 0 || slices.Contains(s.opts.Only, t.name) {
			candidates = append(candidates, slices.Repeat([]fault{t}, t.weight)...)
		}
	}
	if len(candidates) == 0 {
		return fmt.Errorf("unknown kinds of fault: %v", s.opts.Only)
	}
	var all sync.WaitGroup
	failed := make(chan error, 1)
	for sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval))) {
		t := candidates[rng.IntN(len(candidates))]
		faultRNG := rand.New(rand.NewPCG(s.opts.Seed, rng.Uint64()))
		s.mu.Lock()
		s.injected[t.name]++
		s.mu.Unlock()
		all.Go(func() {
			if err := t.inject(&injector{s, ctx, faultRNG}); err != nil {
				select {
				case failed <- fmt.Errorf("%s: %w", t.name, err):
				default: // only the first error is returned
				}
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// randomDuration returns a random duration. The end of the injection does not cut
// it short.
func (t *injector) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(t.rng.Int64N(int64(most-least)))
}

// lockInstance returns a random instance that no other fault is stopping or
// starting, and the function that unlocks it; nil if there is none.
func (t *injector) lockInstance() (*instance, func()) {
	for _, n := range t.rng.Perm(len(t.instances)) {
		if inst := t.instances[n]; inst.faultLock.TryLock() {
			return inst, inst.faultLock.Unlock
		}
	}
	return nil, func() {}
}

func (t *injector) kill() error {
	inst, done := t.lockInstance()
	defer done()
	if inst == nil {
		return nil
	}
	return t.killFor(inst, t.randomDuration(200*time.Millisecond, 2*time.Second))
}

func (t *injector) killFor(inst *instance, down time.Duration) error {
	inst.disturb(time.Now(), time.Now().Add(down))
	inst.terminate(syscall.SIGKILL, grace)
	time.Sleep(down)
	return t.program.start(inst)
}

func (t *injector) herdKill() error {
	var all sync.WaitGroup
	errs := make(chan error, len(t.instances))
	for range t.instances {
		inst, done := t.lockInstance()
		if inst == nil || t.rng.IntN(5) == 0 {
			done()
			continue
		}
		down := t.randomDuration(300*time.Millisecond, time.Second)
		all.Go(func() {
			defer done()
			errs <- t.killFor(inst, down)
		})
	}
	all.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *injector) pause() error {
	inst, done := t.lockInstance()
	defer done()
	if inst == nil {
		return nil
	}
	d := t.randomDuration(300*time.Millisecond, 6*time.Second)
	inst.disturb(time.Now(), time.Now().Add(d))
	inst.signal(syscall.SIGSTOP)
	time.Sleep(d)
	inst.signal(syscall.SIGCONT)
	return nil
}

func (t *injector) stop() error {
	inst, done := t.lockInstance()
	defer done()
	if inst == nil {
		return nil
	}
	inst.terminate(syscall.SIGTERM, grace)
	return t.program.start(inst)
}

func (t *injector) hup() error {
	inst, done := t.lockInstance()
	defer done()
	if inst == nil {
		return nil
	}
	if err := t.writeSettings(inst, inst.firstPort, t.rng.IntN(2)); err != nil {
		return err
	}
	inst.signal(syscall.SIGHUP)
	return nil
}

// randomLinkFault returns a random kind of link fault.
func (t *injector) randomLinkFault() linkFault {
	return []linkFault{
		{holdToTarget: true, holdFromTarget: true},
		{holdToTarget: true},
		{holdFromTarget: true},
		{delay: t.randomDuration(20*time.Millisecond, 300*time.Millisecond)},
		{refuse: true},
	}[t.rng.IntN(5)]
}

func (t *injector) storeLink() error {
	inst := t.instances[t.rng.IntN(len(t.instances))]
	d := t.randomDuration(500*time.Millisecond, 6*time.Second)
	inst.disturb(time.Now(), time.Now().Add(d))
	inst.storeProxy.setFault(t.randomLinkFault())
	time.Sleep(d)
	inst.storeProxy.setFault(linkFault{})
	return nil
}

func (t *injector) storeSilent() error {
	for _, inst := range t.instances {
		inst.disturb(time.Now(), time.Now())
		inst.storeProxy.silenceConns(1)
	}
	return nil
}

func (t *injector) peerCut() error {
	inst := t.instances[t.rng.IntN(len(t.instances))]
	d := t.randomDuration(500*time.Millisecond, 6*time.Second)
	for _, other := range t.instances {
		other.disturb(time.Now(), time.Now().Add(d)) // an instance that doesn't receive from another is disturbed too
	}
	inst.peerProxy.setFault(t.randomLinkFault())
	time.Sleep(d)
	inst.peerProxy.setFault(linkFault{})
	return nil
}

func (t *injector) storeDown() error {
	d := t.randomDuration(500*time.Millisecond, 8*time.Second)
	t.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(d))
	t.deployment.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[t.rng.IntN(2)])
	time.Sleep(d)
	t.deployment.store.Refuse(0)
	return nil
}

func (t *injector) storeSlow() error {
	d, delay := t.randomDuration(time.Second, 5*time.Second), t.randomDuration(50*time.Millisecond, 300*time.Millisecond)
	t.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(d))
	for _, inst := range t.instances {
		inst.storeProxy.setFault(linkFault{delay: delay})
	}
	time.Sleep(d)
	for _, inst := range t.instances {
		inst.storeProxy.setFault(linkFault{})
	}
	return nil
}

func (t *injector) storeLost() error {
	t.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(time.Second))
	t.deployment.store.LoseAnswers(1 + t.rng.IntN(4))
	return nil
}

func (t *injector) storeCompact() error {
	t.deployment.storeDisturbances.disturb(time.Now(), time.Now())
	t.deployment.publishConfig()
	t.deployment.store.Compact()
	return nil
}

func (t *injector) config() error {
	for range 1 + t.rng.IntN(4) {
		t.deployment.publishConfig()
		time.Sleep(t.randomDuration(20*time.Millisecond, 400*time.Millisecond))
	}
	return nil
}

func (t *injector) randomEndpoint() *endpoint {
	endpoints := t.deployment.endpoints()
	return endpoints[t.rng.IntN(len(endpoints))]
}

func (t *injector) endpointLink() error {
	e := t.randomEndpoint()
	d := t.randomDuration(300*time.Millisecond, 5*time.Second)
	e.disturb(time.Now(), time.Now().Add(d))
	e.proxy.setFault(t.randomLinkFault())
	time.Sleep(d)
	e.proxy.setFault(linkFault{})
	return nil
}

func (t *injector) endpointSilent() error {
	e := t.randomEndpoint()
	e.disturb(time.Now(), time.Now())
	e.proxy.silenceConns(1 + t.rng.IntN(2))
	return nil
}

func (t *injector) endpointReset() error {
	e := t.randomEndpoint()
	e.disturb(time.Now(), time.Now())
	e.proxy.resetConns(1 + t.rng.IntN(2))
	return nil
}

// lockSpareEndpoint returns a random endpoint whose service has another ready
// endpoint, and the function that unlocks it; nil if there is none.
func (t *injector) lockSpareEndpoint() (*endpoint, func()) {
	all := [][]*endpoint{t.deployment.engines, t.deployment.plain}[t.rng.IntN(2)]
	for _, n := range t.rng.Perm(len(all)) {
		e := all[n]
		if others := slices.IndexFunc(all, func(o *endpoint) bool { return o != e && o.currentState() == stateReady }); others < 0 {
			continue
		}
		if e.faultLock.TryLock() {
			return e, e.faultLock.Unlock
		}
	}
	return nil, func() {}
}

func (t *injector) endpointCrash() error {
	e, done := t.lockSpareEndpoint()
	defer done()
	if e == nil {
		return nil
	}
	t.crash(e, t.randomDuration(300*time.Millisecond, 5*time.Second))
	return nil
}

// crash crashes an endpoint, which restarts as a new incarnation under the same id.
func (t *injector) crash(e *endpoint, down time.Duration) {
	e.disturb(time.Now(), time.Now().Add(down))
	e.proxy.setFault(linkFault{refuse: true})
	e.replica.Restart()
	e.proxy.resetConns(1)
	time.Sleep(min(down, entryExpiry))
	if down > entryExpiry {
		e.setState(t.deployment.store, "")
		time.Sleep(down - entryExpiry)
	}
	e.replica.Restart() // requests that arrived in between belong to no incarnation
	e.proxy.setFault(linkFault{})
	e.setState(t.deployment.store, stateReady)
}

func (t *injector) endpointLeaves() error {
	e, done := t.lockSpareEndpoint()
	defer done()
	if e == nil {
		return nil
	}
	e.setState(t.deployment.store, stateDraining)
	time.Sleep(drainTime + t.randomDuration(300*time.Millisecond, 3*time.Second))
	e.setState(t.deployment.store, "")
	t.crash(e, t.randomDuration(time.Second, 3*time.Second))
	return nil
}

func (t *injector) spoil() error {
	e := t.randomEndpoint()
	d := t.randomDuration(time.Second, 5*time.Second)
	share := 0.05 + 0.4*t.rng.Float64()
	e.disturb(time.Now(), time.Now().Add(d))
	switch t.rng.IntN(3) {
	case 0:
		e.setAnswerFaults(share, 0, 0)
	case 1:
		e.setAnswerFaults(0, share, 0)
	default:
		e.setAnswerFaults(0, 0, share)
	}
	time.Sleep(d)
	e.setAnswerFaults(0, 0, 0)
	return nil
}

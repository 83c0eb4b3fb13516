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
	{"store-restored", 2, (*injector).storeRestored},
	{"config", 4, (*injector).config},
	{"endpoint-link", 3, (*injector).endpointLink},
	{"endpoint-silent", 2, (*injector).endpointSilent},
	{"endpoint-reset", 2, (*injector).endpointReset},
	{"endpoint-crash", 3, (*injector).endpointCrash},
	{"endpoint-leaves", 3, (*injector).endpointLeaves},
	{"spoil", 3, (*injector).spoil},
	{"endpoint-says-leaving", 2, (*injector).endpointSaysLeaving},
	{"endpoint-refuses", 2, (*injector).endpointRefuses},
	{"odd-entry", 2, (*injector).oddEntry},
}

// FaultKinds returns the names of all kinds of fault.
func FaultKinds() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// injector injects one fault.
type injector struct {
	*soak
	ctx context.Context
	rng *rand.Rand // not shared, so that concurrent faults don't change each other's numbers
}

// injectFaults starts random faults until ctx ends, and waits for all of them to
// end.
func (s *soak) injectFaults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1))
	var candidates []fault
	for _, f := range faults {
		if len(s.opts.Only) == 0 || slices.Contains(s.opts.Only, f.name) {
			candidates = append(candidates, slices.Repeat([]fault{f}, f.weight)...)
		}
	}
	if len(candidates) == 0 {
		return fmt.Errorf("unknown kinds of fault: %v", s.opts.Only)
	}
	var all sync.WaitGroup
	failed := make(chan error, 1)
	for sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval))) {
		f := candidates[rng.IntN(len(candidates))]
		faultRNG := rand.New(rand.NewPCG(s.opts.Seed, rng.Uint64()))
		s.mu.Lock()
		s.injected[f.name]++
		s.mu.Unlock()
		all.Go(func() {
			if err := f.inject(&injector{s, ctx, faultRNG}); err != nil {
				select {
				case failed <- fmt.Errorf("%s: %w", f.name, err):
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

// randomDuration returns a random duration between least and most. The end of the
// injection does not cut it short.
func (inj *injector) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(inj.rng.Int64N(int64(most-least)))
}

// lockInstance returns a random instance that no other fault has locked, and the
// function that unlocks it; nil if there is none.
func (inj *injector) lockInstance() (*instance, func()) {
	for _, n := range inj.rng.Perm(len(inj.instances)) {
		if inst := inj.instances[n]; inst.faultLock.TryLock() {
			return inst, inst.faultLock.Unlock
		}
	}
	return nil, func() {}
}

func (inj *injector) kill() error {
	inst, unlock := inj.lockInstance()
	defer unlock()
	if inst == nil {
		return nil
	}
	return inj.killFor(inst, inj.randomDuration(200*time.Millisecond, 2*time.Second))
}

func (inj *injector) killFor(inst *instance, downtime time.Duration) error {
	inst.disturb(time.Now(), time.Now().Add(downtime))
	inst.terminate(syscall.SIGKILL, grace)
	time.Sleep(downtime)
	return inj.program.start(inst)
}

func (inj *injector) herdKill() error {
	var all sync.WaitGroup
	errs := make(chan error, len(inj.instances))
	for range inj.instances {
		inst, unlock := inj.lockInstance()
		if inst == nil || inj.rng.IntN(5) == 0 {
			unlock()
			continue
		}
		down := inj.randomDuration(300*time.Millisecond, time.Second)
		all.Go(func() {
			defer unlock()
			errs <- inj.killFor(inst, down)
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

func (inj *injector) pause() error {
	inst, unlock := inj.lockInstance()
	defer unlock()
	if inst == nil {
		return nil
	}
	d := inj.randomDuration(300*time.Millisecond, 6*time.Second)
	inst.disturb(time.Now(), time.Now().Add(d))
	inst.signal(syscall.SIGSTOP)
	time.Sleep(d)
	inst.signal(syscall.SIGCONT)
	return nil
}

func (inj *injector) stop() error {
	inst, unlock := inj.lockInstance()
	defer unlock()
	if inst == nil {
		return nil
	}
	inst.terminate(syscall.SIGTERM, grace)
	return inj.program.start(inst)
}

func (inj *injector) hup() error {
	inst, unlock := inj.lockInstance()
	defer unlock()
	if inst == nil {
		return nil
	}
	if err := inj.writeSettings(inst, inst.firstPort, inj.rng.IntN(2)); err != nil {
		return err
	}
	inst.signal(syscall.SIGHUP)
	return nil
}

// randomLinkFault returns a random kind of link fault.
func (inj *injector) randomLinkFault() linkFault {
	return []linkFault{
		{holdToTarget: true, holdFromTarget: true},
		{holdToTarget: true},
		{holdFromTarget: true},
		{delay: inj.randomDuration(20*time.Millisecond, 300*time.Millisecond)},
		{refuse: true},
	}[inj.rng.IntN(5)]
}

func (inj *injector) storeLink() error {
	inst := inj.instances[inj.rng.IntN(len(inj.instances))]
	d := inj.randomDuration(500*time.Millisecond, 6*time.Second)
	inst.disturb(time.Now(), time.Now().Add(d))
	inst.storeProxy.setFault(inj.randomLinkFault())
	time.Sleep(d)
	inst.storeProxy.setFault(linkFault{})
	return nil
}

func (inj *injector) storeSilent() error {
	for _, inst := range inj.instances {
		inst.disturb(time.Now(), time.Now())
		inst.storeProxy.silenceConns(1)
	}
	return nil
}

func (inj *injector) peerCut() error {
	inst := inj.instances[inj.rng.IntN(len(inj.instances))]
	d := inj.randomDuration(500*time.Millisecond, 6*time.Second)
	for _, other := range inj.instances {
		other.disturb(time.Now(), time.Now().Add(d)) // an instance that doesn't receive from another is disturbed too
	}
	inst.peerProxy.setFault(inj.randomLinkFault())
	time.Sleep(d)
	inst.peerProxy.setFault(linkFault{})
	return nil
}

func (inj *injector) storeDown() error {
	d := inj.randomDuration(500*time.Millisecond, 8*time.Second)
	inj.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(d))
	inj.deployment.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[inj.rng.IntN(2)])
	time.Sleep(d)
	inj.deployment.store.Refuse(0)
	return nil
}

func (inj *injector) storeSlow() error {
	d, delay := inj.randomDuration(time.Second, 5*time.Second), inj.randomDuration(50*time.Millisecond, 300*time.Millisecond)
	inj.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(d))
	for _, inst := range inj.instances {
		inst.storeProxy.setFault(linkFault{delay: delay})
	}
	time.Sleep(d)
	for _, inst := range inj.instances {
		inst.storeProxy.setFault(linkFault{})
	}
	return nil
}

func (inj *injector) storeLost() error {
	inj.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(time.Second))
	inj.deployment.store.LoseAnswers(1 + inj.rng.IntN(4))
	return nil
}

func (inj *injector) storeCompact() error {
	inj.deployment.storeDisturbances.disturb(time.Now(), time.Now())
	inj.deployment.publishConfig()
	inj.deployment.store.Compact()
	return nil
}

// storeRestored brings the store back from a copy some seconds old, after a short outage.
func (inj *injector) storeRestored() error {
	if !inj.restoring.TryLock() {
		return nil
	}
	defer inj.restoring.Unlock()
	older := inj.deployment.store.Copy()
	time.Sleep(inj.randomDuration(time.Second, 8*time.Second))
	outage := inj.randomDuration(100*time.Millisecond, 2*time.Second)
	inj.deployment.storeDisturbances.disturb(time.Now(), time.Now().Add(outage+entryExpiry))
	inj.deployment.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(outage)
	inj.deployment.restore(older)
	inj.deployment.store.Refuse(0)
	time.Sleep(entryExpiry)
	inj.deployment.removeEntries()
	return nil
}

func (inj *injector) config() error {
	for range 1 + inj.rng.IntN(4) {
		inj.deployment.publishConfig()
		time.Sleep(inj.randomDuration(20*time.Millisecond, 400*time.Millisecond))
	}
	return nil
}

func (inj *injector) randomEndpoint() *endpoint {
	endpoints := inj.deployment.endpoints()
	return endpoints[inj.rng.IntN(len(endpoints))]
}

func (inj *injector) endpointLink() error {
	e := inj.randomEndpoint()
	d := inj.randomDuration(300*time.Millisecond, 5*time.Second)
	e.disturb(time.Now(), time.Now().Add(d))
	e.proxy.setFault(inj.randomLinkFault())
	time.Sleep(d)
	e.proxy.setFault(linkFault{})
	return nil
}

func (inj *injector) endpointSilent() error {
	e := inj.randomEndpoint()
	e.disturb(time.Now(), time.Now())
	e.proxy.silenceConns(1 + inj.rng.IntN(2))
	return nil
}

func (inj *injector) endpointReset() error {
	e := inj.randomEndpoint()
	e.disturb(time.Now(), time.Now())
	e.proxy.resetConns(1 + inj.rng.IntN(2))
	return nil
}

// lockRedundantEndpoint returns a random endpoint whose service has another ready
// endpoint, and the function that unlocks it; nil if there is none.
func (inj *injector) lockRedundantEndpoint() (*endpoint, func()) {
	all := [][]*endpoint{inj.deployment.engines, inj.deployment.plain}[inj.rng.IntN(2)]
	for _, n := range inj.rng.Perm(len(all)) {
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

func (inj *injector) endpointCrash() error {
	e, unlock := inj.lockRedundantEndpoint()
	defer unlock()
	if e == nil {
		return nil
	}
	inj.crash(e, inj.randomDuration(300*time.Millisecond, 5*time.Second))
	return nil
}

// crash crashes an endpoint, which restarts as a new incarnation under the same id.
func (inj *injector) crash(e *endpoint, downtime time.Duration) {
	e.disturb(time.Now(), time.Now().Add(downtime))
	e.proxy.setFault(linkFault{refuse: true})
	e.replica.Restart()
	e.proxy.resetConns(1)
	time.Sleep(min(downtime, entryExpiry))
	if downtime > entryExpiry {
		e.setState(inj.deployment.store, "")
		time.Sleep(downtime - entryExpiry)
	}
	e.replica.Restart() // ends runs that began while the endpoint was down
	e.proxy.setFault(linkFault{})
	e.setState(inj.deployment.store, stateReady)
}

func (inj *injector) endpointLeaves() error {
	e, unlock := inj.lockRedundantEndpoint()
	defer unlock()
	if e == nil {
		return nil
	}
	e.setState(inj.deployment.store, stateDraining)
	time.Sleep(drainTime + inj.randomDuration(300*time.Millisecond, 3*time.Second))
	e.setState(inj.deployment.store, "")
	inj.crash(e, inj.randomDuration(time.Second, 3*time.Second))
	return nil
}

func (inj *injector) spoil() error {
	e := inj.randomEndpoint()
	d := inj.randomDuration(time.Second, 5*time.Second)
	share := 0.05 + 0.4*inj.rng.Float64()
	e.disturb(time.Now(), time.Now().Add(d))
	switch inj.rng.IntN(3) {
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

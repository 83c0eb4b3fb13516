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

// trouble is a way to harm something. It returns when the harm has ended.
type trouble struct {
	name   string
	weight int // share of the draws
	do     func(*troubles) error
}

// meanPause is the mean time between two troubles' beginnings; they overlap.
const meanPause = 900 * time.Millisecond

var allTroubles = []trouble{
	{"kill", 3, (*troubles).kill},
	{"herd-kill", 1, (*troubles).herdKill},
	{"pause", 3, (*troubles).pause},
	{"stop", 3, (*troubles).stop},
	{"hup", 1, (*troubles).hup},
	{"store-link", 3, (*troubles).storeLink},
	{"store-silent", 2, (*troubles).storeSilent},
	{"peer-cut", 2, (*troubles).peerCut},
	{"store-down", 2, (*troubles).storeDown},
	{"store-slow", 1, (*troubles).storeSlow},
	{"store-lost", 2, (*troubles).storeLost},
	{"store-compact", 2, (*troubles).storeCompact},
	{"config", 4, (*troubles).config},
	{"endpoint-link", 3, (*troubles).endpointLink},
	{"endpoint-silent", 2, (*troubles).endpointSilent},
	{"endpoint-reset", 2, (*troubles).endpointReset},
	{"endpoint-crash", 3, (*troubles).endpointCrash},
	{"endpoint-leaves", 3, (*troubles).endpointLeaves},
	{"spoil", 3, (*troubles).spoil},
}

// Troubles returns the names of all kinds of trouble.
func Troubles() []string {
	var names []string
	for _, t := range allTroubles {
		names = append(names, t.name)
	}
	return names
}

// troubles draws troubles; each runs by itself.
type troubles struct {
	*soak
	ctx  context.Context
	draw *rand.Rand // of one trouble
}

// harm begins troubles until ctx ends, and waits until they have ended.
func (s *soak) harm(ctx context.Context) error {
	draw := rand.New(rand.NewPCG(s.opts.Seed, 1))
	var from []trouble
	for _, t := range allTroubles {
		if len(s.opts.Only) == 0 || slices.Contains(s.opts.Only, t.name) {
			from = append(from, slices.Repeat([]trouble{t}, t.weight)...)
		}
	}
	if len(from) == 0 {
		return fmt.Errorf("no trouble of %v is known", s.opts.Only)
	}
	var all sync.WaitGroup
	failed := make(chan error, 1)
	for sleep(ctx, time.Duration(draw.ExpFloat64()*float64(meanPause))) {
		t := from[draw.IntN(len(from))]
		own := rand.New(rand.NewPCG(s.opts.Seed, draw.Uint64()))
		s.mu.Lock()
		s.harmed[t.name]++
		s.mu.Unlock()
		all.Go(func() {
			if err := t.do(&troubles{s, ctx, own}); err != nil {
				select {
				case failed <- fmt.Errorf("%s: %w", t.name, err):
				default: // the first one is told
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

// between draws a time; it is not cut short by the end of the troubles.
func (t *troubles) between(least, most time.Duration) time.Duration {
	return least + time.Duration(t.draw.Int64N(int64(most-least)))
}

// take returns an instance that no other trouble stops or starts now, with the
// function that gives it back; nil: there is none.
func (t *troubles) take() (*instance, func()) {
	for _, n := range t.draw.Perm(len(t.instances)) {
		if x := t.instances[n]; x.handled.TryLock() {
			return x, x.handled.Unlock
		}
	}
	return nil, func() {}
}

func (t *troubles) kill() error {
	x, done := t.take()
	defer done()
	if x == nil {
		return nil
	}
	return t.killed(x, t.between(200*time.Millisecond, 2*time.Second))
}

func (t *troubles) killed(x *instance, down time.Duration) error {
	x.hurts(time.Now(), time.Now().Add(down))
	x.end(syscall.SIGKILL, grace)
	time.Sleep(down)
	return t.program.start(x)
}

func (t *troubles) herdKill() error {
	var all sync.WaitGroup
	errs := make(chan error, len(t.instances))
	for range t.instances {
		x, done := t.take()
		if x == nil || t.draw.IntN(5) == 0 {
			done()
			continue
		}
		down := t.between(300*time.Millisecond, time.Second)
		all.Go(func() {
			defer done()
			errs <- t.killed(x, down)
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

func (t *troubles) pause() error {
	x, done := t.take()
	defer done()
	if x == nil {
		return nil
	}
	d := t.between(300*time.Millisecond, 6*time.Second)
	x.hurts(time.Now(), time.Now().Add(d))
	x.signal(syscall.SIGSTOP)
	time.Sleep(d)
	x.signal(syscall.SIGCONT)
	return nil
}

func (t *troubles) stop() error {
	x, done := t.take()
	defer done()
	if x == nil {
		return nil
	}
	x.end(syscall.SIGTERM, grace)
	return t.program.start(x)
}

func (t *troubles) hup() error {
	x, done := t.take()
	defer done()
	if x == nil {
		return nil
	}
	if err := t.write(x, x.port, t.draw.IntN(2)); err != nil {
		return err
	}
	x.signal(syscall.SIGHUP)
	return nil
}

// link draws what happens to a link.
func (t *troubles) link() harm {
	return []harm{
		{noTo: true, noFrom: true},
		{noTo: true},
		{noFrom: true},
		{delay: t.between(20*time.Millisecond, 300*time.Millisecond)},
		{refuse: true},
	}[t.draw.IntN(5)]
}

func (t *troubles) storeLink() error {
	x := t.instances[t.draw.IntN(len(t.instances))]
	d := t.between(500*time.Millisecond, 6*time.Second)
	x.hurts(time.Now(), time.Now().Add(d))
	x.store.harm(t.link())
	time.Sleep(d)
	x.store.harm(harm{})
	return nil
}

func (t *troubles) storeSilent() error {
	for _, x := range t.instances {
		x.hurts(time.Now(), time.Now())
		x.store.silence(1)
	}
	return nil
}

func (t *troubles) peerCut() error {
	x := t.instances[t.draw.IntN(len(t.instances))]
	d := t.between(500*time.Millisecond, 6*time.Second)
	for _, other := range t.instances {
		other.hurts(time.Now(), time.Now().Add(d)) // one that does not hear another
	}
	x.peers.harm(t.link())
	time.Sleep(d)
	x.peers.harm(harm{})
	return nil
}

func (t *troubles) storeDown() error {
	d := t.between(500*time.Millisecond, 8*time.Second)
	t.site.storeWide.hurts(time.Now(), time.Now().Add(d))
	t.site.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[t.draw.IntN(2)])
	time.Sleep(d)
	t.site.store.Refuse(0)
	return nil
}

func (t *troubles) storeSlow() error {
	d, delay := t.between(time.Second, 5*time.Second), t.between(50*time.Millisecond, 300*time.Millisecond)
	t.site.storeWide.hurts(time.Now(), time.Now().Add(d))
	for _, x := range t.instances {
		x.store.harm(harm{delay: delay})
	}
	time.Sleep(d)
	for _, x := range t.instances {
		x.store.harm(harm{})
	}
	return nil
}

func (t *troubles) storeLost() error {
	t.site.storeWide.hurts(time.Now(), time.Now().Add(time.Second))
	t.site.store.LoseAnswers(1 + t.draw.IntN(4))
	return nil
}

func (t *troubles) storeCompact() error {
	t.site.storeWide.hurts(time.Now(), time.Now())
	t.site.publish()
	t.site.store.Compact()
	return nil
}

func (t *troubles) config() error {
	for range 1 + t.draw.IntN(4) {
		t.site.publish()
		time.Sleep(t.between(20*time.Millisecond, 400*time.Millisecond))
	}
	return nil
}

func (t *troubles) endpoint() *endpoint {
	all := t.site.endpoints()
	return all[t.draw.IntN(len(all))]
}

func (t *troubles) endpointLink() error {
	e := t.endpoint()
	d := t.between(300*time.Millisecond, 5*time.Second)
	e.hurts(time.Now(), time.Now().Add(d))
	e.proxy.harm(t.link())
	time.Sleep(d)
	e.proxy.harm(harm{})
	return nil
}

func (t *troubles) endpointSilent() error {
	e := t.endpoint()
	e.hurts(time.Now(), time.Now())
	e.proxy.silence(1 + t.draw.IntN(2))
	return nil
}

func (t *troubles) endpointReset() error {
	e := t.endpoint()
	e.hurts(time.Now(), time.Now())
	e.proxy.reset(1 + t.draw.IntN(2))
	return nil
}

// spare returns an endpoint without which its service goes on.
func (t *troubles) spare() (*endpoint, func()) {
	all := [][]*endpoint{t.site.engines, t.site.plain}[t.draw.IntN(2)]
	for _, n := range t.draw.Perm(len(all)) {
		e := all[n]
		if others := slices.IndexFunc(all, func(o *endpoint) bool { return o != e && o.present() == stateReady }); others < 0 {
			continue
		}
		if e.handled.TryLock() {
			return e, e.handled.Unlock
		}
	}
	return nil, func() {}
}

func (t *troubles) endpointCrash() error {
	e, done := t.spare()
	defer done()
	if e == nil {
		return nil
	}
	t.away(e, t.between(300*time.Millisecond, 5*time.Second))
	return nil
}

// away makes an endpoint crash, and come back as a new life under its id.
func (t *troubles) away(e *endpoint, down time.Duration) {
	e.hurts(time.Now(), time.Now().Add(down))
	e.proxy.harm(harm{refuse: true})
	e.replica.Restart()
	e.proxy.reset(1)
	time.Sleep(min(down, lapse))
	if down > lapse {
		e.set(t.site.store, "")
		time.Sleep(down - lapse)
	}
	e.replica.Restart() // what came meanwhile is of no life
	e.proxy.harm(harm{})
	e.set(t.site.store, stateReady)
}

func (t *troubles) endpointLeaves() error {
	e, done := t.spare()
	defer done()
	if e == nil {
		return nil
	}
	e.set(t.site.store, stateLeaving)
	time.Sleep(drainTime + t.between(300*time.Millisecond, 3*time.Second))
	e.set(t.site.store, "")
	t.away(e, t.between(time.Second, 3*time.Second))
	return nil
}

func (t *troubles) spoil() error {
	e := t.endpoint()
	d := t.between(time.Second, 5*time.Second)
	share := 0.05 + 0.4*t.draw.Float64()
	e.hurts(time.Now(), time.Now().Add(d))
	switch t.draw.IntN(3) {
	case 0:
		e.spoil(share, 0, 0)
	case 1:
		e.spoil(0, share, 0)
	default:
		e.spoil(0, 0, share)
	}
	time.Sleep(d)
	e.spoil(0, 0, 0)
	return nil
}

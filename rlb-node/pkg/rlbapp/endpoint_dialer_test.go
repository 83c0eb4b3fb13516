package rlbapp

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// errCut is the error of a link that is cut.
var errCut = errors.New("cut")

// dialerFixture is an instance with two others: the links to endpoints of each may be cut, and
// an instance may not answer at all.
type dialerFixture struct {
	*endpointDialer
	cut     map[string]bool // by instance: "" is the own one
	refused bool            // own connections are refused, in place of no answer
	down    map[string]bool // endpoints that nobody reaches
	silent  map[string]bool // instances
	dropped int
	asked   atomic.Int64
}

func newDialerFixture() *dialerFixture {
	f := &dialerFixture{cut: map[string]bool{}, down: map[string]bool{}, silent: map[string]bool{}}
	f.endpointDialer = newEndpointDialer(endpointDialerOpts{
		log: &log.Logger{Handler: discard.New()}, self: "self", now: time.Now,
		direct: func(ctx context.Context, address string) (net.Conn, error) {
			return f.connect(ctx, "", address, connectTimeout)
		},
		tunnel: func(ctx context.Context, peer, address string) (net.Conn, error) {
			f.asked.Add(1)
			if f.silent[peer] {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return f.connect(ctx, peer, address, 0)
		},
		addresses: func() (own, others []string) { return []string{"self", "near"}, []string{"far"} },
		knows:     func(address string) bool { return address != "foreign" },
		draining:  func() bool { return false },
	})
	f.dropIdle = func() { f.dropped++ }
	return f
}

// connect connects an instance to an endpoint, or fails after a time without an answer.
func (f *dialerFixture) connect(ctx context.Context, instance, address string, silence time.Duration) (net.Conn, error) {
	if !f.cut[instance] && !f.down[address] {
		conn, _ := net.Pipe()
		return conn, nil
	}
	if !f.refused {
		select {
		case <-ctx.Done():
		case <-time.After(silence):
		}
	}
	return nil, errCut
}

// withDialer runs f with a fixture on the clock of a synctest bubble.
func withDialer(t *testing.T, f func(t *testing.T, d *dialerFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDialerFixture()
		f(t, d)
		time.Sleep(time.Minute) // until all attempts have ended
	})
}

// expectDial dials and checks whether and how soon that succeeds.
func expectDial(t *testing.T, d *dialerFixture, address string, ok bool, within time.Duration) {
	t.Helper()
	start := time.Now()
	_, err := d.dial(t.Context(), address)
	if took := time.Since(start); (err == nil) != ok || took > within {
		t.Errorf("dial %s: error %v after %v, want success %v within %v", address, err, took, ok, within)
	}
}

func TestInstanceCutOffFromAllEndpointsServesThroughOthers(t *testing.T) {
	for name, refused := range map[string]bool{"links that hang": false, "links that refuse": true} {
		t.Run(name, func(t *testing.T) {
			withDialer(t, func(t *testing.T, d *dialerFixture) {
				expectDial(t, d, "e0", true, 0)
				if d.asked.Load() > 0 {
					t.Error("asked another instance although the endpoint was reached")
				}
				time.Sleep(time.Second)
				d.cut[""], d.refused = true, refused
				expectDial(t, d, "e1", true, connectTimeout)
				expectDial(t, d, "e1", true, 0)
				expectDial(t, d, "e2", true, connectTimeout)
				for _, address := range []string{"e0", "e3", "e4"} {
					expectDial(t, d, address, true, 0)
				}
				if d.dropped != 1 {
					t.Errorf("dropped the idle connections %d times, want once", d.dropped)
				}
				time.Sleep(leaseCutOff)
				if !d.cutOff() {
					t.Error("does not know that it is cut off")
				}
			})
		})
	}
}

func TestInstanceReturnsToItsLinksOnceTheyWork(t *testing.T) {
	withDialer(t, func(t *testing.T, d *dialerFixture) {
		d.cut[""] = true
		expectDial(t, d, "e1", true, connectTimeout)
		expectDial(t, d, "e2", true, connectTimeout)
		d.cut[""] = false
		time.Sleep(time.Second)
		expectDial(t, d, "e1", true, 0) // begins a probe
		time.Sleep(time.Millisecond)
		asked := d.asked.Load()
		expectDial(t, d, "e1", true, 0)
		expectDial(t, d, "e3", true, 0)
		if d.asked.Load() != asked || d.cutOff() {
			t.Errorf("asked %d instances after the links worked again, cut off: %v", d.asked.Load()-asked, d.cutOff())
		}
	})
}

func TestInstancesOfOtherDomainsAreAskedWhileAllOfTheOwnDomainAreCutOff(t *testing.T) {
	withDialer(t, func(t *testing.T, d *dialerFixture) {
		d.addresses = func() (own, others []string) {
			return []string{"self", "near", "near2", "near3", "near4", "near5"}, []string{"far", "far2"}
		}
		for _, instance := range []string{"", "near", "near2", "near3", "near4", "near5"} {
			d.cut[instance] = true
		}
		for _, address := range []string{"e1", "e2", "e3"} {
			expectDial(t, d, address, true, connectTimeout)
		}
	})
}

func TestCallerThatLeavesBlamesNoEndpoint(t *testing.T) {
	withDialer(t, func(t *testing.T, d *dialerFixture) {
		d.cut[""] = true
		expectDial(t, d, "e1", true, connectTimeout)
		d.silent["near"], d.silent["far"] = true, true
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := d.dial(ctx, "e1"); err == nil {
			t.Error("connected although no instance answers")
		}
		d.silent["near"], d.silent["far"] = false, false
		expectDial(t, d, "e1", true, 0)
	})
}

func TestInstancesThatDoNotHelpCostLittle(t *testing.T) {
	t.Run("one that is cut off too, or does not answer", func(t *testing.T) {
		withDialer(t, func(t *testing.T, d *dialerFixture) {
			d.cut[""], d.silent["near"] = true, true
			expectDial(t, d, "e1", true, connectTimeout+askStagger)
			expectDial(t, d, "e1", true, 0) // the one that helped is asked first
		})
	})
	t.Run("an endpoint that nobody reaches", func(t *testing.T) {
		withDialer(t, func(t *testing.T, d *dialerFixture) {
			d.down["e1"] = true
			expectDial(t, d, "e1", false, connectTimeout+throughTimeout)
			asked := d.asked.Load()
			expectDial(t, d, "e1", false, connectTimeout)
			if d.asked.Load() != asked || d.cutOff() {
				t.Errorf("asked %d instances at once again, cut off: %v", d.asked.Load()-asked, d.cutOff())
			}
			expectDial(t, d, "e2", true, 0)
		})
	})
}

func TestOrdersNeverGoThroughOtherInstances(t *testing.T) {
	withDialer(t, func(t *testing.T, d *dialerFixture) {
		d.cut[""] = true
		for _, address := range []string{"e1", "e2", "e1"} {
			if _, err := d.dialControl(t.Context(), "tcp", address); !errors.Is(err, errCut) {
				t.Errorf("dial of the control interface: %v, want %v", err, errCut)
			}
		}
		time.Sleep(time.Second)
		if !d.cutOff() {
			t.Error("the lease holder does not learn from its orders that it is cut off")
		}
	})
}

func TestNoConnectionIsOpenedForOthersThatWouldNotHelp(t *testing.T) {
	withDialer(t, func(t *testing.T, d *dialerFixture) {
		if _, err := d.dialFor(t.Context(), "e1"); err != nil {
			t.Errorf("an endpoint in reach: %v", err)
		}
		if _, err := d.dialFor(t.Context(), "foreign"); err == nil {
			t.Error("connected another instance to an address that is no endpoint's")
		}
		d.cut[""] = true
		expectDial(t, d, "e1", true, connectTimeout)
		start := time.Now()
		if _, err := d.dialFor(t.Context(), "e1"); err == nil || time.Since(start) > 0 {
			t.Errorf("an endpoint out of reach: error %v after %v, want one at once", err, time.Since(start))
		}
		d.draining = func() bool { return true }
		if _, err := d.dialFor(t.Context(), "e9"); err == nil {
			t.Error("connected another instance while draining")
		}
	})
}

package rlbapp

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbpath"
	"github.com/rhubarblb/rhubarblb/rlb-gateway/pkg/rlbdispatch"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// Limits of connections through other instances.
const (
	throughTimeout = 250 * time.Millisecond // for all instances that are asked
	askStagger     = 60 * time.Millisecond  // until the next instance is asked beside one that does not answer
	maxAsked       = 4                      // instances for one connection
	maxOwnAsked    = 2                      // the one that helped last and those of the own domain, before others
	// leaseCutOff is how long an instance that is cut off from the endpoints keeps the lease for
	// orders, which would not reach them.
	leaseCutOff = 500 * time.Millisecond
)

// endpointDialerOpts are the dependencies of an endpointDialer.
type endpointDialerOpts struct {
	log       log.Interface
	self      string // address of this instance
	direct    rlbdispatch.Dial
	tunnel    func(ctx context.Context, peer, address string) (net.Conn, error)
	addresses func() (own, others []string) // of the instances, by whether they are in the own domain
	knows     func(address string) bool     // whether an endpoint has the address
	draining  func() bool
	now       func() time.Time
}

// endpointDialer connects to endpoints: directly, or through another instance while this one is
// cut off from them.
type endpointDialer struct {
	endpointDialerOpts
	paths    *rlbpath.Paths
	helper   atomic.Pointer[string] // address of the instance through which the latest connection was opened
	dropIdle func()                 // closes the idle connections to endpoints
	wasCut   atomic.Bool
}

func newEndpointDialer(opts endpointDialerOpts) *endpointDialer {
	return &endpointDialer{endpointDialerOpts: opts, paths: rlbpath.New(opts.now), dropIdle: func() {}}
}

// newDialer returns the dialer of connections to endpoints.
func (a *app) newDialer() *endpointDialer {
	return newEndpointDialer(endpointDialerOpts{
		log: a.Log, self: a.address, direct: rlbdispatch.DialTCP(connectTimeout), tunnel: rlbpeer.Tunnel,
		addresses: func() (own, others []string) { return a.fleet.Addresses(rlbclock.Now()) },
		knows:     a.knowsEndpoint, draining: func() bool { return a.proxy.Draining() }, now: rlbclock.Now,
	})
}

// dial connects to an endpoint for the request of a caller.
func (d *endpointDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	route := d.paths.Route(address)
	if route.Through {
		if route.Probe {
			go d.probe(address)
		}
		if conn, err := d.through(ctx, address); err == nil {
			return conn, nil
		}
	}
	conn, err := d.dialDirect(ctx, address)
	if err == nil || ctx.Err() != nil || route.Through || !d.paths.DirectFailed(address) {
		return conn, err
	}
	if conn, throughErr := d.through(ctx, address); throughErr == nil {
		return conn, nil
	}
	return nil, err
}

// dialControl connects to the control interface of an endpoint, only directly: an order counts
// as one of the instance that it comes from.
func (d *endpointDialer) dialControl(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := d.dialDirect(ctx, address)
	if err != nil && ctx.Err() == nil && d.paths.DirectFailed(address) {
		go d.ask(address)
	}
	return conn, err
}

// dialFor connects to an endpoint for another instance.
func (d *endpointDialer) dialFor(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case d.draining():
		return nil, errors.New("the instance drains")
	case !d.knows(address):
		return nil, errors.New("no endpoint has the address")
	case d.paths.Lost(address):
		return nil, errors.New("the instance is cut off from it too")
	}
	return d.dialDirect(ctx, address)
}

func (d *endpointDialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.direct(ctx, address)
	if err == nil {
		d.paths.DirectWorked(address)
		d.logChange()
	}
	return conn, err
}

// probe tries the direct way to an address.
func (d *endpointDialer) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := d.dialDirect(ctx, address)
	if err != nil {
		d.paths.DirectFailed(address)
		return
	}
	_ = conn.Close()
}

// ask learns whether another instance reaches an address.
func (d *endpointDialer) ask(address string) {
	if conn, err := d.through(context.Background(), address); err == nil {
		_ = conn.Close()
	}
}

// through connects to an address through another instance. It asks further ones if one does not
// answer soon.
func (d *endpointDialer) through(caller context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(caller, throughTimeout)
	peers := d.candidates()
	results := make(chan tunnelResult, len(peers))
	conn, err := d.firstTunnel(ctx, peers, address, results)
	cancel() // ends the others
	if conn == nil && caller.Err() != nil {
		return nil, err // nothing was learnt of the endpoint
	}
	if conn == nil {
		d.paths.ThroughFailed(address)
		return nil, err
	}
	d.paths.ThroughWorked(address)
	d.log.WithFields(log.Fields{"address": address, "helper": *d.helper.Load()}).Info("connected to an endpoint through another instance")
	d.logChange()
	return conn, nil
}

// tunnelResult is what became of one attempt to connect through an instance.
type tunnelResult struct {
	conn net.Conn
	peer string
	err  error
}

// firstTunnel returns the first connection that an instance opens. Later ones are closed.
func (d *endpointDialer) firstTunnel(ctx context.Context, peers []string, address string, results chan tunnelResult) (net.Conn, error) {
	err := errors.New("no other instance is known")
	asked, answered := 0, 0
	for {
		if asked < len(peers) {
			go func(peer string) {
				conn, err := d.tunnel(ctx, peer, address)
				results <- tunnelResult{conn, peer, err}
			}(peers[asked])
			asked++
		}
		if answered == asked {
			return nil, err
		}
		var next <-chan time.Time
		if asked < len(peers) {
			next = time.After(askStagger)
		}
		select {
		case r := <-results:
			answered++
			if r.err == nil {
				d.helper.Store(&r.peer)
				go closeTunnels(results, asked-answered)
				return r.conn, nil
			}
			err = fmt.Errorf("through %s: %w", r.peer, r.err)
		case <-next:
		}
	}
}

// closeTunnels closes the connections of the attempts that are left.
func closeTunnels(results <-chan tunnelResult, left int) {
	for range left {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// candidates returns the addresses of the instances to ask: the one that helped last, and then at
// random one of the own domain, whose links may all have failed, and others.
func (d *endpointDialer) candidates() []string {
	own, others := d.addresses()
	shuffle(own)
	shuffle(others)
	var ordered []string
	if helper := d.helper.Load(); helper != nil {
		ordered = append(ordered, *helper)
	}
	ordered = append(ordered, without(own, d.self)...)
	if firstOther := min(len(ordered), maxOwnAsked); len(others) > 0 {
		ordered = slices.Insert(ordered, firstOther, others...)
	}
	var peers []string
	for _, address := range ordered {
		if !slices.Contains(peers, address) && len(peers) < maxAsked {
			peers = append(peers, address)
		}
	}
	return peers
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
}

func without(addresses []string, except string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return address == except })
}

// logChange logs whether the instance is cut off from the endpoints. Connections of before are
// not used again once it is.
func (d *endpointDialer) logChange() {
	cut := !d.paths.CutOffSince().IsZero()
	switch before := d.wasCut.Swap(cut); {
	case cut && !before:
		d.dropIdle()
		d.log.WithField("helper", *d.helper.Load()).Warn("cut off from the endpoints, which other instances reach; connecting through these")
	case before && !cut:
		d.log.Info("an endpoint is reached directly again")
	}
}

// cutOff reports whether the instance has been cut off from the endpoints for a while.
func (d *endpointDialer) cutOff() bool {
	since := d.paths.CutOffSince()
	return !since.IsZero() && d.now().Sub(since) >= leaseCutOff
}

package rlbapp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// transit is how long a message or call between processes takes one way.
const transit = 5 * time.Millisecond

// eventStore is an object API that keeps the history of the entries.
type eventStore struct {
	rlbobject.API
	mu      sync.Mutex
	events  []rlbobject.Object
	changed chan struct{}
}

func (s *eventStore) append(o rlbobject.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Version = rlbobject.Version(len(s.events) + 1)
	s.events = append(s.events, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *eventStore) since(after rlbobject.Version) (rlbobject.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rlbobject.Changes{Objects: slices.Clone(s.events[after:]), Revision: rlbobject.Version(len(s.events))}, s.changed
}

// storeClient is the object API as an instance sees it.
type storeClient struct {
	*eventStore
	cut func() bool
	// refused reports whether the object API turns the instance away at once; nil: it does not.
	refused func() bool
	calls   *atomic.Int64 // of the instance; nil: not counted
}

func (c storeClient) List(ctx context.Context, kind string) (rlbobject.Changes, error) {
	time.Sleep(transit)
	all, _ := c.since(0)
	if kind != rlbplatform.ObjectKindEndpoints {
		all.Objects = nil
	}
	latest := map[string]rlbobject.Object{}
	for _, o := range all.Objects {
		latest[o.Name] = o
	}
	all.Objects = slices.DeleteFunc(all.Objects, func(o rlbobject.Object) bool {
		return o.Deleted || latest[o.Name].Version != o.Version
	})
	return c.respond(ctx, all)
}

func (c storeClient) Watch(ctx context.Context, kind string, after rlbobject.Version, deadline time.Time) (rlbobject.Changes, error) {
	end := time.NewTimer(time.Until(deadline))
	defer end.Stop()
	for {
		changes, changed := c.since(after)
		if kind != rlbplatform.ObjectKindEndpoints {
			changes.Objects = nil
		}
		if len(changes.Objects) > 0 {
			time.Sleep(transit)
			return c.respond(ctx, changes)
		}
		select {
		case <-changed:
		case <-end.C:
			return c.respond(ctx, changes)
		case <-ctx.Done():
			return changes, rlberror.New("watch", rlbobject.KindUnknown, ctx.Err())
		}
	}
}

func (c storeClient) respond(ctx context.Context, changes rlbobject.Changes) (rlbobject.Changes, error) {
	if c.calls != nil {
		c.calls.Add(1)
	}
	if c.refused != nil && c.refused() {
		return rlbobject.Changes{}, rlberror.New("call", rlbobject.KindUnavailable, errors.New("turned away"))
	}
	if c.cut() {
		<-ctx.Done()
		return rlbobject.Changes{}, rlberror.New("call", rlbobject.KindUnknown, ctx.Err())
	}
	return changes, nil
}

// datagrams are those of one instance on the network of a test.
type datagrams struct {
	fleet  *testFleet
	self   *testInstance
	queue  chan []byte
	closed chan struct{}
	net.Listener
}

func (d *datagrams) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case data := <-d.queue:
		return copy(buffer, data), netip.AddrPort{}, nil
	case <-d.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (d *datagrams) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	target, data := d.fleet.at(to.String()), slices.Clone(data)
	time.AfterFunc(transit, func() {
		if !d.self.lost.Load() && !target.lost.Load() {
			target.datagrams.queue <- data
		}
	})
	return len(data), nil
}

func (d *datagrams) Accept() (net.Conn, error) {
	<-d.closed
	return nil, net.ErrClosed
}

func (d *datagrams) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return nil
}

type testInstance struct {
	*app
	datagrams *datagrams
	lost      atomic.Bool // has lost power
	cut       atomic.Bool // from the object API
	refused   atomic.Bool // by the object API
	calls     atomic.Int64
	stop      func()
}

// testFleet is a fleet of instances in two failure domains without a network.
type testFleet struct {
	store     *eventStore
	instances []*testInstance
	spare     *testInstance // not started yet
	mu        sync.Mutex
	byAddress map[string]*testInstance
}

// at returns the instance at an address.
func (f *testFleet) at(address string) *testInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address]
}

// stateDecoder decodes "ready" and "leaving" as entries.
type stateDecoder struct{ decoder }

func (stateDecoder) Endpoint(id string, value []byte) (*rlbdeployment.Endpoint, error) {
	var state string
	if err := json.Unmarshal(value, &state); err != nil {
		return nil, err
	}
	return &rlbdeployment.Endpoint{ID: id, Service: "s", Draining: state == "leaving"}, nil
}

// newTestFleet returns a fleet without instances, which will see two endpoints.
func newTestFleet() *testFleet {
	f := &testFleet{store: &eventStore{changed: make(chan struct{})}, byAddress: map[string]*testInstance{}}
	f.store.append(rlbobject.Object{Name: "stays", Value: []byte(`"ready"`)})
	f.store.append(rlbobject.Object{Name: "leaves", Value: []byte(`"ready"`)})
	return f
}

// startTestFleet starts instances a, b and c in domain x and d and e in y. They see two
// endpoints.
func startTestFleet() *testFleet {
	f := newTestFleet()
	for n, name := range []string{"a", "b", "c", "d", "e"} {
		f.instances = append(f.instances, f.add(name, []string{"x", "x", "x", "y", "y"}[n], fmt.Sprintf("10.0.0.%d:1", n+1)))
	}
	f.spare = f.add("0", "x", "10.0.0.6:1")
	f.spare.lost.Store(true)
	for _, i := range f.instances {
		f.start(i)
	}
	return f
}

// startSpare starts an instance that comes before the others of domain x.
func (f *testFleet) startSpare() {
	f.spare.lost.Store(false)
	f.start(f.spare)
	f.instances = append(f.instances, f.spare)
}

func (f *testFleet) add(name, domain, address string) *testInstance {
	i := &testInstance{app: newTestApp(name, nil, false)}
	i.domain, i.address, i.now = domain, address, time.Now
	client := storeClient{f.store, i.cut.Load, i.refused.Load, &i.calls}
	i.api, i.staleAPI = client, client
	i.fleet = rlbpeer.NewFleet(name, domain)
	i.view = rlbdiscovery.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, stateDecoder{}, time.Now, time.Second)
	i.datagrams = &datagrams{fleet: f, self: i, queue: make(chan []byte, 1000), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddress[address] = i
	return i
}

func (f *testFleet) start(i *testInstance) {
	opts := i.linkOpts()
	opts.Sockets = &rlbpeer.Sockets{Datagrams: i.datagrams, Listener: i.datagrams}
	opts.Crashes, opts.Learn = rlbcrash.New(rlbcrash.Opts{Instance: i.name, Now: time.Now}), func([]rlborigin.Announcement) {}
	opts.Digest = i.viewDigest
	link, closeLink, err := rlbpeer.NewLink(opts)
	if err != nil {
		panic(err)
	}
	i.link, i.catchUp = link, i.newCatchUp()
	i.catchUp.query = f.query(i)
	for address, other := range f.byAddress {
		if other != i {
			i.fleet.AddAddress(time.Now(), address, other.domain)
		}
	}
	i.startedAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	i.startWatching(ctx)
	go i.link.Run(ctx)
	go func() {
		var era uint64
		for rlbcommon.Sleep(ctx, sweepPeriod) {
			era = i.sweepView(ctx, era)
		}
	}()
	i.stop = func() {
		cancel()
		closeLink()
	}
}

// query returns the queries of an instance. One to an instance without power gets no answer.
func (f *testFleet) query(from *testInstance) func(context.Context, string, rlbpeer.Query) (rlbpeer.Reply, error) {
	return func(ctx context.Context, address string, q rlbpeer.Query) (rlbpeer.Reply, error) {
		time.Sleep(2 * transit)
		if to := f.at(address); !to.lost.Load() && !from.lost.Load() {
			return to.handleQuery(ctx, q), nil
		}
		<-ctx.Done()
		return rlbpeer.Reply{}, errors.New("no answer")
	}
}

func (f *testFleet) stop() {
	for _, i := range f.instances {
		i.stop()
	}
	time.Sleep(2 * queryTimeout) // calls that get no answer end
}

// used reports whether an instance may send requests to an endpoint.
func (i *testInstance) used(id string) bool {
	e := i.view.Snapshot().ByID[id]
	return e != nil && !e.Draining
}

// watcherLoss is a way in which the watcher of a domain is lost.
type watcherLoss struct {
	name string
	lose func(watcher *testInstance)
}

// leavings are the ways in which an endpoint leaves.
var leavings = []struct {
	name  string
	event rlbobject.Object
}{
	{"draining", rlbobject.Object{Name: "leaves", Value: []byte(`"leaving"`)}},
	{"removed", rlbobject.Object{Name: "leaves", Deleted: true}},
}

// TestLeavingsReachAllInstancesWithinTheBound plays the loss of the watcher of a failure
// domain at each moment around the acknowledgement that an endpoint leaves.
func TestLeavingsReachAllInstancesWithinTheBound(t *testing.T) {
	const bound, before, after, step = 2 * time.Second, 800 * time.Millisecond, 600 * time.Millisecond, 50 * time.Millisecond
	losses := []watcherLoss{
		{"loses power", func(watcher *testInstance) { watcher.lost.Store(true); watcher.stop() }},
		{"is cut from the object API", func(watcher *testInstance) { watcher.cut.Store(true) }},
		{"hands over to one before it that starts", func(watcher *testInstance) { watcher.datagrams.fleet.startSpare() }},
		{"stands still", func(watcher *testInstance) { watcher.lost.Store(true); watcher.cut.Store(true) }},
	}
	for _, loss := range losses {
		for _, leaving := range leavings {
			t.Run(fmt.Sprintf("the watcher %s, an endpoint is %s", loss.name, leaving.name), func(t *testing.T) {
				var late []string
				for offset := -before; offset <= after; offset += step {
					synctest.Test(t, func(*testing.T) {
						late = append(late, playLeaving(loss, leaving.event, offset, bound)...)
					})
				}
				if len(late) > 0 {
					t.Error(strings.Join(late, "\n"))
				}
			})
		}
	}
}

// playLeaving loses the watcher at an offset from the acknowledgement, which another change
// precedes so that watchers delay their next call. It returns the faults.
func playLeaving(loss watcherLoss, leaving rlbobject.Object, offset, bound time.Duration) (faults []string) {
	const settled = 2*time.Second + 20*time.Millisecond // the loss comes at another moment of each period than the start
	f := startTestFleet()
	defer f.stop()
	time.Sleep(settled)
	if offset < 0 {
		loss.lose(f.instances[0])
		time.Sleep(-offset)
	}
	f.store.append(rlbobject.Object{Name: "stays", Value: []byte(`"ready"`)})
	time.Sleep(transit)
	f.store.append(leaving)
	acknowledged := time.Now()
	if offset >= 0 {
		time.Sleep(offset)
		loss.lose(f.instances[0])
	}
	time.Sleep(time.Until(acknowledged.Add(bound)))
	for _, i := range f.instances[1:] {
		if i.used("leaves") {
			faults = append(faults, fmt.Sprintf("watcher lost %v after the acknowledgement: %s still uses the endpoint %v after it", offset, i.name, bound))
		}
		if !i.used("stays") {
			faults = append(faults, fmt.Sprintf("watcher lost %v after the acknowledgement: %s does not use the endpoint that stays", offset, i.name))
		}
	}
	return faults
}

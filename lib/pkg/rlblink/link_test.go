package rlblink

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	interval = 250 * time.Millisecond
	silence  = 1500 * time.Millisecond
)

var quiet = log.NewEntry(&log.Logger{Handler: discard.Default, Level: log.FatalLevel})

// source is a controller that knows a note and answers one call.
type source struct {
	mu       sync.Mutex
	world    *rlbfleetstate.State
	reported int
}

func (b *source) Delta(c *rlbfleetstate.Cursor) rlbfleetstate.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.world.Delta(c)
}

func (b *source) ApplyReport(rlbfleetstate.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported++
}

func (b *source) reports() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported
}

func (*source) HandleCall(ctx context.Context, method Method, body []byte) (any, error) {
	switch method {
	case "echo":
		return body, nil
	case "stall":
		<-ctx.Done()
	}
	return nil, errors.New("no such method")
}

// rig is two servers and one client on an in-memory network.
type rig struct {
	network *rlbfake.Network
	servers [2]*source
	client  *Client
	mu      sync.Mutex
	version uint64    // of the note that the client heard
	heard   time.Time // its latest update
	closers []func()
}

func withRig(t *testing.T, f func(r *rig)) {
	synctest.Test(t, func(*testing.T) {
		r := &rig{network: rlbfake.NewNetwork()}
		for i, address := range []string{"first", "second"} {
			r.servers[i] = &source{world: rlbfleetstate.New()}
			r.servers[i].world.MergeNote(rlbnote.State{Version: uint64(i + 1)})
			r.listen(i, address)
		}
		client, closeClient := NewClient(context.Background(), ClientOpts{
			Log: quiet, Dial: r.network.Dial, IdleTimeout: silence, ReportInterval: 2 * interval,
			Addresses:   func() []string { return []string{"first", "second"} },
			BuildReport: func() rlbfleetstate.Update { return rlbfleetstate.Update{} },
			ApplyUpdate: func(u rlbfleetstate.Update) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.heard = time.Now()
				if u.Note != nil {
					r.version = u.Note.Version
				}
			},
		})
		r.client = client
		synctest.Wait()
		f(r)
		closeClient()
		for _, c := range r.closers {
			c()
		}
	})
}

func (r *rig) listen(i int, address string) {
	_, closeServer := NewServer(context.Background(), r.network.Listen(address), ServerOpts{
		Log: quiet, Source: r.servers[i], UpdateInterval: interval, ControllerIntervalFactor: 1, IdleTimeout: silence,
	})
	r.closers = append(r.closers, closeServer)
}

func (r *rig) state() (uint64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, time.Since(r.heard)
}

func (r *rig) call(method Method, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out []byte
	return r.client.Call(ctx, method, "x", &out)
}

func TestLink(t *testing.T) {
	withRig(t, func(r *rig) {
		Convey("updates come at their interval, reports go", t, func() {
			time.Sleep(10 * interval)
			version, age := r.state()
			So(version, ShouldEqual, 1)
			So(age, ShouldBeLessThanOrEqualTo, interval)
			So(r.servers[0].reports(), ShouldBeGreaterThan, 1)
		})
		Convey("calls are answered, refused, or of unknown outcome", t, func() {
			So(r.call("echo", time.Second), ShouldBeNil)
			So(rlberror.Is(r.call("nothing", time.Second), KindRefused), ShouldBeTrue)
			So(rlberror.Is(r.call("stall", time.Second), KindUnknown), ShouldBeTrue)
		})
		Convey("a silent link is found within its limit and the second server taken", t, func() {
			r.network.Silence("first", true)
			time.Sleep(2*silence + interval)
			version, age := r.state()
			So(version, ShouldEqual, 2)
			So(age, ShouldBeLessThanOrEqualTo, interval)
		})
		Convey("the first server is taken back once it answers", t, func() {
			r.network.Silence("first", false)
			time.Sleep(2*returnPeriod + silence)
			version, _ := r.state()
			So(version, ShouldEqual, 1)
		})
		Convey("a call on a link that dies has an unknown outcome; without any link it was not sent", t, func() {
			failed := make(chan error)
			go func() { failed <- r.call("stall", time.Minute) }()
			synctest.Wait()
			r.network.Kill("second")
			r.network.Kill("first")
			So(rlberror.Is(<-failed, KindUnknown), ShouldBeTrue)
			synctest.Wait()
			So(rlberror.Is(r.call("echo", time.Second), KindNoLink), ShouldBeTrue)
		})
	})
}

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
	updateInterval = 250 * time.Millisecond
	idleTimeout    = 1500 * time.Millisecond
)

var discardLog = log.NewEntry(&log.Logger{Handler: discard.Default, Level: log.FatalLevel})

// fakeSource is a controller that knows a note and answers one call.
type fakeSource struct {
	mu          sync.Mutex
	state       *rlbfleetstate.State
	reportCount int
}

func (b *fakeSource) Delta(c *rlbfleetstate.Cursor) rlbfleetstate.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Delta(c)
}

func (b *fakeSource) ApplyReport(rlbfleetstate.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportCount++
}

func (b *fakeSource) reports() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportCount
}

func (*fakeSource) HandleCall(ctx context.Context, method Method, body []byte) (any, error) {
	switch method {
	case "echo":
		return body, nil
	case "stall":
		<-ctx.Done()
	}
	return nil, errors.New("no such method")
}

// fixture is two servers and one client on an in-memory network.
type fixture struct {
	network     *rlbfake.Network
	servers     [2]*fakeSource
	client      *Client
	mu          sync.Mutex
	noteVersion uint64    // of the note that the client heard
	lastUpdate  time.Time // its latest update
	closers     []func()
}

func withFixture(t *testing.T, f func(r *fixture)) {
	synctest.Test(t, func(*testing.T) {
		r := &fixture{network: rlbfake.NewNetwork()}
		for i, address := range []string{"first", "second"} {
			r.servers[i] = &fakeSource{state: rlbfleetstate.New()}
			r.servers[i].state.MergeNote(rlbnote.State{Version: uint64(i + 1)})
			r.listen(i, address)
		}
		client, closeClient := NewClient(context.Background(), ClientOpts{
			Log: discardLog, Dial: r.network.Dial, IdleTimeout: idleTimeout, ReportInterval: 2 * updateInterval,
			Addresses:   func() []string { return []string{"first", "second"} },
			BuildReport: func() rlbfleetstate.Update { return rlbfleetstate.Update{} },
			ApplyUpdate: func(u rlbfleetstate.Update) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.lastUpdate = time.Now()
				if u.Note != nil {
					r.noteVersion = u.Note.Version
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

func (r *fixture) listen(i int, address string) {
	_, closeServer := NewServer(context.Background(), r.network.Listen(address), ServerOpts{
		Log: discardLog, Source: r.servers[i], UpdateInterval: updateInterval, ControllerIntervalFactor: 1, IdleTimeout: idleTimeout,
	})
	r.closers = append(r.closers, closeServer)
}

func (r *fixture) noteVersionAndAge() (uint64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noteVersion, time.Since(r.lastUpdate)
}

func (r *fixture) call(method Method, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out []byte
	return r.client.Call(ctx, method, "x", &out)
}

func TestLink(t *testing.T) {
	withFixture(t, func(r *fixture) {
		Convey("updates come at their interval, reports go", t, func() {
			time.Sleep(10 * updateInterval)
			version, age := r.noteVersionAndAge()
			So(version, ShouldEqual, 1)
			So(age, ShouldBeLessThanOrEqualTo, updateInterval)
			So(r.servers[0].reports(), ShouldBeGreaterThan, 1)
		})
		Convey("calls are answered, refused, or of unknown outcome", t, func() {
			So(r.call("echo", time.Second), ShouldBeNil)
			So(rlberror.Is(r.call("nothing", time.Second), KindRefused), ShouldBeTrue)
			So(rlberror.Is(r.call("stall", time.Second), KindUnknown), ShouldBeTrue)
		})
		Convey("a silent link is found within its limit and the second server taken", t, func() {
			r.network.Silence("first", true)
			time.Sleep(2*idleTimeout + updateInterval)
			version, age := r.noteVersionAndAge()
			So(version, ShouldEqual, 2)
			So(age, ShouldBeLessThanOrEqualTo, updateInterval)
		})
		Convey("the first server is taken back once it answers", t, func() {
			r.network.Silence("first", false)
			time.Sleep(2*preferredCheckInterval + idleTimeout)
			version, _ := r.noteVersionAndAge()
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

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

// fakeSource is a controller with a release note that supports the call "echo".
type fakeSource struct {
	mu          sync.Mutex
	state       *rlbfleetstate.State
	reportCount int
}

func (s *fakeSource) Delta(c *rlbfleetstate.Cursor) rlbfleetstate.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Delta(c)
}

func (s *fakeSource) ApplyReport(rlbfleetstate.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportCount++
}

func (s *fakeSource) reports() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportCount
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
	noteVersion uint64    // of the latest note that the client received
	lastUpdate  time.Time // time of the latest update
	closers     []func()
}

func withFixture(t *testing.T, run func(f *fixture)) {
	synctest.Test(t, func(*testing.T) {
		f := &fixture{network: rlbfake.NewNetwork()}
		for i, address := range []string{"first", "second"} {
			f.servers[i] = &fakeSource{state: rlbfleetstate.New()}
			f.servers[i].state.MergeNote(rlbnote.State{Version: uint64(i + 1)})
			f.listen(i, address)
		}
		client, closeClient := NewClient(context.Background(), ClientOpts{
			Log: discardLog, Dial: f.network.Dial, IdleTimeout: idleTimeout, ReportInterval: 2 * updateInterval,
			Addresses:   func() []string { return []string{"first", "second"} },
			BuildReport: func() rlbfleetstate.Update { return rlbfleetstate.Update{} },
			ApplyUpdate: func(u rlbfleetstate.Update) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.lastUpdate = time.Now()
				if u.Note != nil {
					f.noteVersion = u.Note.Version
				}
			},
		})
		f.client = client
		synctest.Wait()
		run(f)
		closeClient()
		for _, c := range f.closers {
			c()
		}
	})
}

func (f *fixture) listen(i int, address string) {
	_, closeServer := NewServer(context.Background(), f.network.Listen(address), ServerOpts{
		Log: discardLog, Source: f.servers[i], UpdateInterval: updateInterval, ControllerIntervalFactor: 1, IdleTimeout: idleTimeout,
	})
	f.closers = append(f.closers, closeServer)
}

func (f *fixture) noteVersionAndAge() (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noteVersion, time.Since(f.lastUpdate)
}

func (f *fixture) call(method Method, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out []byte
	return f.client.Call(ctx, method, "x", &out)
}

func TestLink(t *testing.T) {
	withFixture(t, func(f *fixture) {
		Convey("updates arrive at their interval, and reports are sent", t, func() {
			time.Sleep(10 * updateInterval)
			version, age := f.noteVersionAndAge()
			So(version, ShouldEqual, 1)
			So(age, ShouldBeLessThanOrEqualTo, updateInterval)
			So(f.servers[0].reports(), ShouldBeGreaterThan, 1)
		})
		Convey("a call returns a response, is refused, or has an unknown outcome", t, func() {
			So(f.call("echo", time.Second), ShouldBeNil)
			So(rlberror.Is(f.call("nothing", time.Second), KindRefused), ShouldBeTrue)
			So(rlberror.Is(f.call("stall", time.Second), KindUnknown), ShouldBeTrue)
		})
		Convey("a silent link is closed after the idle timeout, and the client links to the second server", t, func() {
			f.network.Silence("first", true)
			time.Sleep(2*idleTimeout + updateInterval)
			version, age := f.noteVersionAndAge()
			So(version, ShouldEqual, 2)
			So(age, ShouldBeLessThanOrEqualTo, updateInterval)
		})
		Convey("the client returns to the first server once it responds", t, func() {
			f.network.Silence("first", false)
			time.Sleep(2*preferredCheckInterval + idleTimeout)
			version, _ := f.noteVersionAndAge()
			So(version, ShouldEqual, 1)
		})
		Convey("a call on a link that breaks has an unknown outcome; without a link it is not sent", t, func() {
			failed := make(chan error)
			go func() { failed <- f.call("stall", time.Minute) }()
			synctest.Wait()
			f.network.Kill("second")
			f.network.Kill("first")
			So(rlberror.Is(<-failed, KindUnknown), ShouldBeTrue)
			synctest.Wait()
			So(rlberror.Is(f.call("echo", time.Second), KindNoLink), ShouldBeTrue)
		})
	})
}

package rlbcontract

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
	. "github.com/smartystreets/goconvey/convey"
)

var engineAddress = flag.String("engine", "", "IP:port of a model engine to test against the contract")

func permitted() bool { return true }

// withEngine runs f against the engine at the address of flag -engine, or a stand-in.
func withEngine(t *testing.T, fencing bool, f func(address string, engine rlbengine.Engine)) {
	address := *engineAddress
	if address == "" {
		instant := func(context.Context, string, string) error { return nil }
		standin := rlbfakeengine.New(rlbfakeengine.Opts{
			ID: "e", Incarnation: 1, Memory: 10 * rlbunit.GiB, Fencing: fencing, Slots: 4, PrefillRate: 1 << 30, MaxAdapters: 2,
			Fetch: instant, FetchAdapter: instant, Crash: func() {},
		})
		server := httptest.NewServer(standin.Handler())
		t.Cleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	}
	f(address, rlbengine.NewClient(address, http.DefaultClient, callTimeout))
}

func loadOrder(fence uint64, name string) rlbengine.Order {
	return rlbengine.Order{ID: fmt.Sprint(fence), Fence: fence, Action: rlbengine.ActionLoad, Name: name, Version: "v1", Memory: rlbunit.GiB}
}

// waitForState polls the state until it satisfies done, for at most callTimeout: the
// contract sets no time limit on orders.
func waitForState(engine rlbengine.Engine, done func(rlbengine.State) bool) rlbengine.State {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for {
		state, err := engine.State(ctx)
		So(err, ShouldBeNil)
		if done(state) {
			return state
		}
	}
}

func TestEngineOrders(t *testing.T) {
	ctx := context.Background()
	withEngine(t, true, func(_ string, engine rlbengine.Engine) {
		Convey("a loaded model becomes ready and can be unloaded; sequence numbers increase", t, func() {
			before, err := engine.State(ctx)
			So(err, ShouldBeNil)
			accepted, err := engine.Order(ctx, loadOrder(5, "a"), permitted)
			So(err, ShouldBeNil)
			So(accepted.Sequence, ShouldBeGreaterThan, before.Sequence)
			state := waitForState(engine, func(s rlbengine.State) bool {
				return len(s.Residents) == 1 && s.Residents[0].Phase == rlbengine.PhaseReady
			})
			So(state.Used(), ShouldEqual, rlbunit.GiB)
			So(state.Report, ShouldBeGreaterThan, before.Report)
			unload := loadOrder(6, "a")
			unload.Action = rlbengine.ActionUnload
			_, err = engine.Order(ctx, unload, permitted)
			So(err, ShouldBeNil)
			So(waitForState(engine, func(s rlbengine.State) bool { return len(s.Residents) == 0 }).Used(), ShouldEqual, 0)
		})
		Convey("an outdated fencing number is refused, also after an order that only fences", t, func() {
			_, err := engine.Order(ctx, rlbengine.Order{Fence: 9, Action: rlbengine.ActionFence}, permitted)
			So(err, ShouldBeNil)
			_, err = engine.Order(ctx, loadOrder(8, "b"), permitted)
			So(rlberror.Is(err, rlbengine.KindFenced), ShouldBeTrue)
		})
		Convey("an order that is no longer permitted is not sent", t, func() {
			_, err := engine.Order(ctx, loadOrder(10, "c"), func() bool { return false })
			So(rlberror.Is(err, rlbengine.KindNotSent), ShouldBeTrue)
			state, err := engine.State(ctx)
			So(err, ShouldBeNil)
			So(state.Fence, ShouldEqual, 9)
		})
		Convey("an unknown action is refused", t, func() {
			_, err := engine.Order(ctx, rlbengine.Order{Fence: 11, Action: "paint"}, permitted)
			So(rlberror.Is(err, rlbengine.KindRefused), ShouldBeTrue)
		})
	})
}

func TestEngineWithoutAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // reads the order and closes the connection
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	address := listener.Addr().String()
	engine := rlbengine.NewClient(address, http.DefaultClient, callTimeout)
	Convey("an order whose connection closes without an answer has an unknown outcome", t, func() {
		_, err := engine.Order(context.Background(), loadOrder(1, "a"), permitted)
		So(rlberror.Is(err, rlbengine.KindUnknown), ShouldBeTrue)
	})
	_ = listener.Close()
	Convey("an order to an address without a listener is reported as not sent", t, func() {
		_, err := engine.Order(context.Background(), loadOrder(1, "a"), permitted)
		So(rlberror.Is(err, rlbengine.KindNotSent), ShouldBeTrue)
	})
}

// streamCompletion requests a completion after event lastEvent and returns the IDs of
// the events, and whether the stream had its end marker.
func streamCompletion(address, request, lastEvent string) (ids []string, ended bool) {
	body := `{"model":"a","stream":true,"max_tokens":5,"prompt":"x"}`
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	So(err, ShouldBeNil)
	for name, value := range map[string]string{rlbrelay.HeaderRequestID: request, rlbrelay.HeaderModel: "a", rlbrelay.HeaderVersion: "v1", rlbrelay.HeaderLastEventID: lastEvent} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	So(response.StatusCode, ShouldEqual, http.StatusOK)
	So(response.Header.Get(rlbrelay.HeaderRequestID), ShouldEqual, request)
	reader := rlbrelay.NewEventReader(response.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return ids, ended
		}
		So(err, ShouldBeNil)
		ids = append(ids, string(event.ID))
		ended = bytes.Equal(event.Data, []byte("[DONE]"))
	}
}

func TestEngineStreams(t *testing.T) {
	withEngine(t, false, func(address string, engine rlbengine.Engine) {
		Convey("event IDs contain the request ID and a number; a stream resumes after the given event", t, func() {
			_, err := engine.Order(context.Background(), loadOrder(1, "a"), permitted)
			So(err, ShouldBeNil)
			waitForState(engine, func(s rlbengine.State) bool {
				return len(s.Residents) == 1 && s.Residents[0].Phase == rlbengine.PhaseReady
			})
			ids, ended := streamCompletion(address, "r", "")
			So(ids, ShouldResemble, []string{"r/1", "r/2", "r/3", "r/4", "r/5", "r/6"})
			So(ended, ShouldBeTrue)
			ids, ended = streamCompletion(address, "r", "r/3")
			So(ids, ShouldResemble, []string{"r/4", "r/5", "r/6"})
			So(ended, ShouldBeTrue)
		})
	})
}

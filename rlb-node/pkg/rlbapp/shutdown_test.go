package rlbapp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
	. "github.com/smartystreets/goconvey/convey"
)

const writeConfig = `{"Version":1,"Routes":[
{"Name":"write","Host":"h.example","PathPrefix":"/","Kind":"unsafe","TimeoutMs":60000,"TargetLatencyMs":60000,"Priority":2,"Service":"plain","MaxAttempts":2}],
"Services":[{"Name":"plain","HealthPath":"/health","MaxConns":96}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// runningInstance is an instance that runs in the test's process, before an endpoint that
// answers nothing.
type runningInstance struct {
	callers string
	began   chan string // IDs of the requests that the endpoint runs
	ended   chan error  // of Run
	stop    context.CancelFunc
}

// freeAddresses returns addresses of an IP that no other process of this machine uses.
func freeAddresses(n int) (addresses []string) {
	ip := fmt.Sprintf("127.%d.%d.1", 128+os.Getpid()/256%64, os.Getpid()%256)
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func startInstance(t *testing.T, grace string) *runningInstance {
	t.Helper()
	store := rlbfakedeployment.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	i := &runningInstance{began: make(chan string, 1000), ended: make(chan error, 1)}
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.ReadAll(q.Body) // the context does not end with the connection before that
		i.began <- q.Header.Get("X-Request-Id")
		<-q.Context().Done()
	}))
	t.Cleanup(endpoint.Close)
	replica := rlbfakedeployment.NewReplica(rlbfakedeployment.ReplicaOpts{ID: "e1", Service: "plain", Domain: "x", Slots: 100, Address: strings.TrimPrefix(endpoint.URL, "http://")})
	store.SetRaw("config", "main", []byte(writeConfig))
	store.Set("servers", "e1", replica.Entry("ready"))
	addresses := freeAddresses(4)
	i.callers = addresses[0]
	ip, first, _ := net.SplitHostPort(addresses[2])
	_, last, _ := net.SplitHostPort(addresses[3])
	text := fmt.Sprintf("[instance]\nid = a\nfailure_domain = x\n[platform]\nobjects = %s\n[node]\ncallers = %s\nreadiness = %s\ninternal = %s\ninternal_ports = %s,%s\ngrace = %s\n",
		strings.TrimPrefix(storeServer.URL, "http://"), addresses[0], addresses[1], ip, first, last, grace)
	settings, err := rlbsettings.Parse("test", []byte(text), rlbsettings.ForNode)
	So(err, ShouldBeNil)
	common, err := rlbcommon.New(io.Discard, settings)
	So(err, ShouldBeNil)
	stop, cancel := context.WithCancel(t.Context())
	i.stop = cancel
	go func() { i.ended <- Run(stop, common, io.Discard) }()
	return i
}

// send sends a request on a connection of the client. It returns status 0 if it gets no
// complete answer.
func (i *runningInstance) send(client *http.Client, id string) (status int) {
	q, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/x", strings.NewReader("b"))
	if err != nil {
		return 0
	}
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", id)
	answer, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// waitUntilServing waits until the instance passes requests on, and returns the first one.
func (i *runningInstance) waitUntilServing(client *http.Client, answered *sync.Map, sending *sync.WaitGroup) {
	for n := 0; len(i.began) == 0; n++ {
		id := fmt.Sprint("early-", n)
		sending.Go(func() { answered.Store(id, i.send(client, id)) })
		time.Sleep(10 * time.Millisecond)
	}
}

// TestShutdownAnswersEachRequestThatItPassedOn guards against requests that are taken late in
// the grace of a shutdown and cut at its end with no answer, among them some that may not be
// repeated.
func TestShutdownAnswersEachRequestThatItPassedOn(t *testing.T) {
	Convey("Given an instance that is stopped while an endpoint works on requests that must run once", t, func() {
		i := startInstance(t, "1s")
		var answered sync.Map
		var sending sync.WaitGroup
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		defer client.CloseIdleConnections()
		i.waitUntilServing(client, &answered, &sending)
		i.stop()
		running := true
		for n := 0; running; n++ {
			id := fmt.Sprint("late-", n)
			sending.Go(func() { answered.Store(id, i.send(client, id)) })
			select {
			case err := <-i.ended:
				So(err, ShouldBeNil)
				running = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		client.CloseIdleConnections()
		sending.Wait()
		Convey("each request that reached the endpoint gets an answer, which does not say that it has not run", func() {
			So(len(i.began), ShouldBeGreaterThan, 0)
			for len(i.began) > 0 {
				status, _ := answered.Load(<-i.began)
				So(status, ShouldEqual, http.StatusGatewayTimeout)
			}
		})
	})
}

func TestShutdownPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Requests are taken until the load balancer has noticed, and have the rest of the grace", t, func() {
		plan := newShutdownPlan(now, 8*time.Second)
		So(plan.takeUntil, ShouldEqual, now.Add(drainDelay))
		So(plan.exit, ShouldHappenBefore, now.Add(8*time.Second))
	})
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 24 * time.Hour} {
		Convey("Within a grace of "+grace.String()+" no request is taken in the second half, and all end before it", t, func() {
			plan := newShutdownPlan(now, grace)
			So(plan.takeUntil, ShouldHappenOnOrBefore, now.Add(grace/2))
			So(plan.takeUntil, ShouldHappenBefore, plan.requestsEnd)
			So(plan.requestsEnd, ShouldHappenBefore, plan.exit)
			So(plan.exit, ShouldHappenBefore, now.Add(grace))
		})
	}
}

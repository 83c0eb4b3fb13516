package rlbcapacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
	"github.com/rhubarblb/rhubarblb/rlb-controller/pkg/rlbcontrol"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
)

const callTimeout = 5 * time.Second

// Sample is the average cost of one controller during a measurement.
type Sample struct {
	Shape        Shape   `json:"shape"`
	Seconds      float64 `json:"seconds"`
	Processor    float64 `json:"processor"`     // share of one core
	LinkBytes    float64 `json:"link_bytes"`    // sent between controllers, per second
	PollBytes    float64 `json:"poll_bytes"`    // exchanged with engines to poll their reports, per second
	ObjectReads  float64 `json:"object_reads"`  // by the whole fleet, per second
	ObjectWrites float64 `json:"object_writes"` // by the whole fleet, per second
	Heap         float64 `json:"heap"`          // bytes
}

// byteCounter counts bytes on connections.
type byteCounter struct{ bytes atomic.Int64 }

type countingConn struct {
	net.Conn
	read, written *byteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes sent on accepted connections.
type countingListener struct {
	net.Listener
	sent *byteCounter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &byteCounter{}, l.sent}, nil
}

// controllerGroup holds the controllers that run in this process.
type controllerGroup struct {
	shape        Shape
	platform     string
	linkBytes    byteCounter // sent by listeners and dialers of control links
	pollBytes    byteCounter
	engineClient *http.Client
	controllers  []*rlbcontrol.Controller
	// overrides are settings for all controllers, as section.key=value.
	overrides []string
}

// RunControllers runs the controllers of a shape and measures them after a settling time.
func RunControllers(ctx context.Context, shape Shape, platform string, firstPort int, settle, measure time.Duration) (Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, err := startControllers(ctx, shape, platform, firstPort)
	if err != nil {
		return Sample{}, err
	}
	time.Sleep(settle)
	return group.measure(ctx, measure)
}

// startControllers starts the controllers of a shape; they run until ctx ends.
func startControllers(ctx context.Context, shape Shape, platform string, firstPort int, overrides ...string) (*controllerGroup, error) {
	group := &controllerGroup{shape: shape, platform: platform, overrides: overrides}
	group.engineClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &group.pollBytes, &group.pollBytes}, nil
		},
	}}
	for d := range shape.Domains {
		for i := range shape.Controllers {
			if err := group.start(ctx, d, i, firstPort); err != nil {
				return nil, err
			}
		}
	}
	return group, nil
}

func (g *controllerGroup) start(ctx context.Context, domain, i, firstPort int) error {
	settings, err := rlbsettings.Parse("capacity", nil, rlbsettings.ForController)
	if err != nil {
		return err
	}
	instanceSettings := []string{"instance.id=" + controllerID(domain, i), fmt.Sprintf("instance.failure_domain=d%d", domain), "log.level=error"}
	for _, o := range append(instanceSettings, g.overrides...) {
		if err := settings.Override(o); err != nil {
			return err
		}
	}
	common, err := rlbcommon.New(io.Discard, settings)
	if err != nil {
		return err
	}
	address := controllerAddress(g.shape, firstPort, domain, i)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for controller: %w", err)
	}
	objects, _ := rlbobject.NewClient(g.platform, callTimeout, metrics.NewRegistry())
	instances, _ := rlbinstance.NewClient(g.platform, callTimeout)
	weights, _ := rlbweightstore.NewClient(g.platform, callTimeout)
	controller := rlbcontrol.New(rlbcontrol.Opts{
		Common: common, Objects: objects, Instances: instances, Weights: weights, Address: address, Metrics: metrics.NewRegistry(),
		Engine: func(a string) rlbengine.Engine { return rlbengine.NewClient(a, g.engineClient, callTimeout) },
		Dial:   g.dial,
	})
	rlblink.NewServer(ctx, &countingListener{listener, &g.linkBytes}, rlbcontrol.LinkOpts(controller))
	g.controllers = append(g.controllers, controller)
	go controller.Run(ctx)
	return nil
}

func (g *controllerGroup) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := rlblink.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &byteCounter{}, &g.linkBytes}, nil
}

// snapshot holds the values of all counters at one time.
type snapshot struct {
	at                   time.Time
	processor            time.Duration
	linkBytes, pollBytes int64
	calls                rlbfakeplatform.Calls
}

func (g *controllerGroup) snapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now(), linkBytes: g.linkBytes.bytes.Load(), pollBytes: g.pollBytes.bytes.Load()}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return s, fmt.Errorf("read processor time: %w", err)
	}
	s.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	_, err := rlbhttp.Call(ctx, http.DefaultClient, http.MethodGet, "http://"+g.platform+"/calls", nil, &s.calls)
	return s, err
}

func (g *controllerGroup) measure(ctx context.Context, d time.Duration) (Sample, error) {
	before, err := g.snapshot(ctx)
	if err != nil {
		return Sample{}, err
	}
	time.Sleep(d)
	after, err := g.snapshot(ctx)
	if err != nil {
		return Sample{}, err
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := after.at.Sub(before.at).Seconds()
	controllerSeconds := float64(g.shape.Controllers*g.shape.Domains) * seconds
	return Sample{
		Shape: g.shape, Seconds: seconds,
		Processor:    (after.processor - before.processor).Seconds() / controllerSeconds,
		LinkBytes:    float64(after.linkBytes-before.linkBytes) / controllerSeconds,
		PollBytes:    float64(after.pollBytes-before.pollBytes) / controllerSeconds,
		ObjectReads:  float64(after.calls.Reads-before.calls.Reads) / seconds,
		ObjectWrites: float64(after.calls.Writes-before.calls.Writes) / seconds,
		Heap:         float64(memory.HeapAlloc) / float64(g.shape.Controllers*g.shape.Domains),
	}, nil
}

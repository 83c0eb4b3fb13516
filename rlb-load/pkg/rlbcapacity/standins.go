// Package rlbcapacity measures the cost of the control plane. It runs many
// controllers in one process, connected by real TCP to each other and to small
// stand-ins, and fits lines to their processor time, memory, bytes and calls.
package rlbcapacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbengine"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeengine"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
)

// Shape is the size of the fleet in one measurement.
type Shape struct {
	Controllers int `json:"controllers"` // in each failure domain
	Engines     int `json:"engines"`     // in each failure domain
	Domains     int `json:"domains"`
	Residents   int `json:"residents"` // models on each engine
}

const (
	engineMemory       = 80 * rlbunit.GiB
	loadChangeInterval = 500 * time.Millisecond // between changes of the load of an engine
)

// RunStandins serves the platform and the engines of a shape until ctx ends. The
// controllers have consecutive ports beginning with firstPort.
func RunStandins(ctx context.Context, shape Shape, listen string, firstPort int, out io.Writer) error {
	var instances []rlbinstance.Instance
	for d := range shape.Domains {
		domain := fmt.Sprint("d", d)
		for i := range shape.Engines {
			id := fmt.Sprintf("e%d-%d", d, i)
			address, err := serveEngine(ctx, id, shape.Residents)
			if err != nil {
				return err
			}
			instances = append(instances, rlbinstance.Instance{ID: id, Type: rlbinstance.TypeEngine, Address: address, Control: address, FailureDomain: domain, Fencing: true})
		}
		for i := range shape.Controllers {
			instances = append(instances, rlbinstance.Instance{
				ID: controllerID(d, i), Type: rlbinstance.TypeLoadBalancer, Control: controllerAddress(shape, firstPort, d, i), FailureDomain: domain,
			})
		}
	}
	platform := rlbfakeplatform.New(rlbfake.NewObjects(), rlbfakeplatform.NewInstanceList(0, time.Now, instances),
		rlbfakeplatform.NewWeightStore(rlbfakeplatform.WeightOpts{LoadsPerSecond: 1, LoadsAtOnce: 8}))
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for the platform stand-in: %w", err)
	}
	serve(ctx, listener, platform.Handler())
	if err := rlbcommon.PrintReady(out, rlbcommon.ReadyLine{Program: "rlb-load", Instance: "standins", Listen: map[string]string{"platform": listen}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func controllerID(domain, i int) string { return fmt.Sprintf("c%d-%d", domain, i) }

func controllerAddress(shape Shape, firstPort, domain, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+domain*shape.Controllers+i)
}

// serveEngine serves one engine whose load changes every loadChangeInterval.
func serveEngine(ctx context.Context, id string, residents int) (string, error) {
	instant := func(context.Context, string, string) error { return nil }
	engine := rlbfakeengine.New(rlbfakeengine.Opts{
		ID: id, Incarnation: 1, Memory: engineMemory, Fencing: true, Slots: 32, PrefillRate: 1, Fetch: instant, FetchAdapter: instant,
	})
	for i := range residents {
		order := rlbengine.Order{Action: rlbengine.ActionLoad, Name: fmt.Sprintf("model-%s-%d", id, i), Version: "v1", Memory: rlbunit.GiB}
		if _, err := engine.Apply(order); err != nil {
			return "", fmt.Errorf("load %s: %w", order.Name, err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for engine %s: %w", id, err)
	}
	serve(ctx, listener, engine.Handler())
	go func() {
		ticker := time.NewTicker(loadChangeInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				engine.SetExtraLoad(n % 32)
			}
		}
	}()
	return listener.Addr().String(), nil
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns after Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// Package rlbcost measures the latency that a gateway adds to a request and its
// processor time per token, compared with direct calls to an endpoint in the same
// run.
package rlbcost

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbclient"
)

// Opts are the options of a measurement.
type Opts struct {
	Gateway    string // address
	Endpoint   string // address of the endpoint that serves the model
	Model      string
	Version    string
	Requests   int // sent directly, and as many through the gateway
	Streams    int // concurrent, through the gateway
	Tokens     int // per stream
	GatewayPID int
}

// Result is the result of a measurement.
type Result struct {
	DirectP50, DirectP99   time.Duration
	GatewayP50, GatewayP99 time.Duration
	TokensPerCore          float64 // relayed per second of the gateway's processor time
	Tokens                 int
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("direct_p50=%s direct_p99=%s gateway_p50=%s gateway_p99=%s added_p50=%s added_p99=%s tokens=%d tokens_per_core=%.0f",
		r.DirectP50, r.DirectP99, r.GatewayP50, r.GatewayP99, r.GatewayP50-r.DirectP50, r.GatewayP99-r.DirectP99, r.Tokens, r.TokensPerCore)
}

const (
	requestTimeout    = time.Minute
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	warmUpRequests    = 200 // requests that are not counted
)

// Measure runs the measurement. Direct and relayed requests alternate, so that both
// see the same load of the machine.
func Measure(ctx context.Context, o Opts) (Result, error) {
	var r Result
	client := rlbclient.New(requestTimeout, o.Streams)
	direct, relayed := hdrhistogram.New(1, maxLatencyMicros, significantDigits), hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for n := range o.Requests + warmUpRequests {
		for _, target := range []struct {
			address   string
			latencies *hdrhistogram.Histogram
		}{{o.Endpoint, direct}, {o.Gateway, relayed}} {
			reply := client.Send(ctx, target.address, o.newRequest(n, 1, false))
			if reply.Tokens != 1 {
				return r, fmt.Errorf("request %d to %s: %s %s", n, target.address, reply.Outcome, reply.Code)
			}
			if n < warmUpRequests {
				continue
			}
			if err := target.latencies.RecordValue(reply.Duration.Microseconds()); err != nil {
				return r, err
			}
		}
	}
	r.DirectP50, r.DirectP99 = quantile(direct, 50), quantile(direct, 99)
	r.GatewayP50, r.GatewayP99 = quantile(relayed, 50), quantile(relayed, 99)
	return r, o.measureRelay(ctx, client, &r)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (o Opts) newRequest(n, tokens int, stream bool) *rlbclient.Request {
	body := fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, o.Model, stream, tokens, n)
	header := http.Header{rlbrelay.HeaderRequestID: {fmt.Sprint("cost-", n)}, rlbrelay.HeaderModel: {o.Model}, rlbrelay.HeaderVersion: {o.Version}}
	return &rlbclient.Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Tokens: tokens, Stream: stream, Header: header}
}

// measureRelay relays streams and divides their tokens by the gateway's processor time.
func (o Opts) measureRelay(ctx context.Context, client *rlbclient.Client, r *Result) error {
	before, err := processorTime(o.GatewayPID)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for n := range o.Streams {
		group.Add(1)
		go func() {
			defer group.Done()
			reply := client.Send(ctx, o.Gateway, o.newRequest(n, o.Tokens, true))
			mu.Lock()
			defer mu.Unlock()
			r.Tokens += reply.Tokens
		}()
	}
	group.Wait()
	after, err := processorTime(o.GatewayPID)
	if err != nil {
		return err
	}
	if r.Tokens != o.Streams*o.Tokens {
		return fmt.Errorf("received %d of %d tokens", r.Tokens, o.Streams*o.Tokens)
	}
	r.TokensPerCore = float64(r.Tokens) / (after - before).Seconds()
	return nil
}

// Indexes of fields in /proc/PID/stat after the command name, and their unit.
const (
	statUserTime   = 11
	statSystemTime = 12
	ticksPerSecond = 100
)

// processorTime returns the processor time used by a process.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range []int{statUserTime, statSystemTime} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, fmt.Errorf("read processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

package rlbcapacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclaim"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
	"github.com/vmihailenco/msgpack/v5"
)

// ClaimOpts are the options of a measurement of claims.
type ClaimOpts struct {
	Platform  string
	FirstPort int
	PerKey    bool          // one object per key instead of group commit
	Rate      float64       // claims per second, each followed by its finish
	Time      time.Duration // duration of the measurement
	Delay     time.Duration // added to each call of the object API
	Overrides []string      // settings of the controllers, as section.key=value
}

// ClaimResult is the result of a measurement of claims.
type ClaimResult struct {
	Claims      int
	Unavailable int
	Writes      float64 // all writes to the object API, per second
	P50, P99    time.Duration
}

// String returns the result as one line.
func (r ClaimResult) String() string {
	return fmt.Sprintf("claims=%d unavailable=%d writes_a_second=%.0f p50=%s p99=%s", r.Claims, r.Unavailable, r.Writes, r.P50, r.P99)
}

const (
	claimSettleTime   = 6 * time.Second
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	claimControllers  = 3
)

// recordFunc records one claim operation.
type recordFunc func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status

// MeasureClaims measures claims at a fixed rate, either sent to three controllers
// in turn or written as one object per key.
func MeasureClaims(ctx context.Context, o ClaimOpts) (ClaimResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, err := startControllers(ctx, Shape{Controllers: claimControllers, Engines: 1, Domains: 1}, o.Platform, o.FirstPort, o.Overrides...)
	if err != nil {
		return ClaimResult{}, err
	}
	time.Sleep(claimSettleTime)
	if _, err := rlbhttp.Call(ctx, http.DefaultClient, http.MethodPut, "http://"+o.Platform+"/fault/objects", rlbfakeplatform.ObjectFaults{Delay: o.Delay}, nil); err != nil {
		return ClaimResult{}, err
	}
	record := group.groupCommit()
	if o.PerKey {
		objects, closeObjects := rlbobject.NewClient(o.Platform, callTimeout, metrics.NewRegistry())
		defer closeObjects()
		record = perKey(objects)
	}
	before, err := group.snapshot(ctx)
	if err != nil {
		return ClaimResult{}, err
	}
	result := sendClaims(ctx, o, record)
	after, err := group.snapshot(ctx)
	if err != nil {
		return ClaimResult{}, err
	}
	result.Writes = float64(after.calls.Writes-before.calls.Writes) / after.at.Sub(before.at).Seconds()
	return result, nil
}

// groupCommit returns a function that sends operations to the controllers in turn, as gateways do.
func (g *controllerGroup) groupCommit() recordFunc {
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status {
		mu.Lock()
		next++
		controller := g.controllers[next%len(g.controllers)]
		mu.Unlock()
		body, err := msgpack.Marshal(op)
		if err != nil {
			return rlbclaim.Unavailable
		}
		answer, err := controller.HandleCall(ctx, rlbclaim.MethodClaim, body)
		result, ok := answer.(rlbclaim.Result)
		if err != nil || !ok {
			return rlbclaim.Unavailable
		}
		return result.Status
	}
}

// perKey returns a function that writes one object per key, and writes it again at the finish.
func perKey(objects rlbobject.API) recordFunc {
	var versions sync.Map // rlbobject.Version by rlbclaim.Key
	return func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status {
		expected := rlbobject.Version(0)
		if v, known := versions.Load(op.Entry.Key); known {
			expected = v.(rlbobject.Version)
		}
		value, err := msgpack.Marshal(op.Entry)
		if err != nil {
			return rlbclaim.Unavailable
		}
		version, err := objects.Put(ctx, rlbobject.Key{Kind: "claim-per-key", Name: op.Entry.Key.String()}, value, expected)
		if err != nil {
			return rlbclaim.Unavailable
		}
		versions.Store(op.Entry.Key, version)
		return rlbclaim.Granted
	}
}

// sendClaims sends claims at the rate without waiting for earlier answers, and
// measures each latency from the time at which the claim was due.
func sendClaims(ctx context.Context, o ClaimOpts, record recordFunc) ClaimResult {
	var mu sync.Mutex
	var group sync.WaitGroup
	histogram := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	result := ClaimResult{Claims: int(o.Rate * o.Time.Seconds())}
	began := time.Now()
	for n := range result.Claims {
		due := began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		group.Add(1)
		go func() {
			defer group.Done()
			entry := rlbclaim.Entry{Key: rlbclaim.HashKey(fmt.Sprint(began, n)), Run: rlbclaim.NewRunID(), Deadline: began.Add(time.Hour).Unix()}
			status := record(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbClaim, Entry: entry})
			took := time.Since(due)
			entry.Phase = rlbclaim.Answered
			record(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbFinish, Entry: entry})
			mu.Lock()
			defer mu.Unlock()
			if status != rlbclaim.Granted {
				result.Unavailable++
			}
			_ = histogram.RecordValue(min(took.Microseconds(), maxLatencyMicros)) // can't fail: the value is capped
		}()
	}
	group.Wait()
	result.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return result
}

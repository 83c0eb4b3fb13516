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

// ClaimOpts describe a comparison of ways to record claims.
type ClaimOpts struct {
	Platform  string
	FirstPort int
	PerKey    bool          // one object a key, in place of group commit
	Rate      float64       // claims a second, each followed by its finish
	Time      time.Duration // of the measurement
	Delay     time.Duration // of each call of the object API
	Overrides []string      // of the controllers' settings
}

// ClaimResult is what was measured.
type ClaimResult struct {
	Claims      int
	Unavailable int
	Writes      float64 // a second, with those of finishes
	P50, P99    time.Duration
}

// String is the result in one line.
func (r ClaimResult) String() string {
	return fmt.Sprintf("claims=%d unavailable=%d writes_a_second=%.0f p50=%s p99=%s", r.Claims, r.Unavailable, r.Writes, r.P50, r.P99)
}

const (
	claimSettleTime   = 6 * time.Second
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	claimControllers  = 3
)

// recordFunc records one operation.
type recordFunc func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status

// MeasureClaims sends claims at a fixed rate to three controllers in turn, or
// writes one object a key, and measures.
func MeasureClaims(ctx context.Context, o ClaimOpts) (ClaimResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m, err := startControllers(ctx, Shape{Controllers: claimControllers, Engines: 1, Domains: 1}, o.Platform, o.FirstPort, o.Overrides...)
	if err != nil {
		return ClaimResult{}, err
	}
	time.Sleep(claimSettleTime)
	if _, err := rlbhttp.Call(ctx, http.DefaultClient, http.MethodPut, "http://"+o.Platform+"/fault/objects", rlbfakeplatform.ObjectFaults{Delay: o.Delay}, nil); err != nil {
		return ClaimResult{}, err
	}
	way := m.groupCommit()
	if o.PerKey {
		objects, closeObjects := rlbobject.NewClient(o.Platform, callTimeout, metrics.NewRegistry())
		defer closeObjects()
		way = perKey(objects)
	}
	before, err := m.snapshot(ctx)
	if err != nil {
		return ClaimResult{}, err
	}
	result := sendClaims(ctx, o, way)
	after, err := m.snapshot(ctx)
	if err != nil {
		return ClaimResult{}, err
	}
	result.Writes = float64(after.calls.Writes-before.calls.Writes) / after.at.Sub(before.at).Seconds()
	return result, nil
}

// groupCommit sends operations to the controllers in turn, as gateways do.
func (m *controllerGroup) groupCommit() recordFunc {
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status {
		mu.Lock()
		next++
		controller := m.controllers[next%len(m.controllers)]
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

// perKey writes one object for each key, and once more at the finish.
func perKey(objects rlbobject.API) recordFunc {
	var versions sync.Map // of rlbclaim.Key
	return func(ctx context.Context, op rlbclaim.Operation) rlbclaim.Status {
		given := rlbobject.Version(0)
		if v, known := versions.Load(op.Entry.Key); known {
			given = v.(rlbobject.Version)
		}
		value, err := msgpack.Marshal(op.Entry)
		if err != nil {
			return rlbclaim.Unavailable
		}
		version, err := objects.Put(ctx, rlbobject.Key{Kind: "claim-per-key", Name: op.Entry.Key.String()}, value, given)
		if err != nil {
			return rlbclaim.Unavailable
		}
		versions.Store(op.Entry.Key, version)
		return rlbclaim.Granted
	}
}

// sendClaims sends claims at the rate, whether earlier ones are answered or
// not, and times each from when it was due.
func sendClaims(ctx context.Context, o ClaimOpts, way recordFunc) ClaimResult {
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
			status := way(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbClaim, Entry: entry})
			took := time.Since(due)
			entry.Phase = rlbclaim.Answered
			way(ctx, rlbclaim.Operation{Verb: rlbclaim.VerbFinish, Entry: entry})
			mu.Lock()
			defer mu.Unlock()
			if status != rlbclaim.Granted {
				result.Unavailable++
			}
			_ = histogram.RecordValue(min(took.Microseconds(), maxLatencyMicros)) // within bounds
		}()
	}
	group.Wait()
	result.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return result
}

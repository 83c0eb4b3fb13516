package rlbpeer

import (
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbquota"
	"github.com/vmihailenco/msgpack/v5"
)

// FuzzPacket applies datagrams of any content as those of another instance.
func FuzzPacket(f *testing.F) {
	loads := map[uint32]Load{EndpointKey("e"): {InFlight: 3, SlowPercent: 50}}
	limits := map[uint32]EndpointLimit{EndpointKey("e"): {Limit: 2.5, Wanted: []float32{1, 2}}}
	quotas := []QuotaUsage{{Workspace: 7, Used: 100, Asked: 10, Level: -5, Reserved: 300}}
	for _, p := range []packet{
		{Digest: &Digest{Name: "b", Domain: "x", Incarnation: 1, Sequence: 1, Loads: loads, Limits: limits, Quotas: quotas, DrainingEndpoints: []uint64{7}, BegunStreams: []BegunStreams{{Service: "s", Version: "v", Streams: []uint64{1}}}, LeaseHolder: &LeaseHolder{Name: "b", Fence: 3, LoadAges: []uint16{5}}}},
		{Summary: &Summary{Domain: "y", From: "c", Incarnation: 1, Sequence: 1, Members: 4, Loads: loads, Limits: limits, Quotas: quotas, QuotasKnown: true, Demand: map[string]float32{"m": 2}}},
	} {
		data, err := encodePacket(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\x81\xa1d\xdf\xff\xff\xff\xff"))
	now := time.Unix(1000, 0)
	f.Fuzz(func(_ *testing.T, data []byte) {
		p, err := decodePacket(data)
		if err != nil {
			return
		}
		fleet, crashes := NewFleet("a", "x"), rlbcrash.New(rlbcrash.Opts{Instance: "a", Now: func() time.Time { return now }})
		limiter := rlbquota.New(rlbquota.Opts{
			Now: func() time.Time { return now }, Random: func() float64 { return 0 }, Domain: "x",
			Registered: func() map[string]int { return fleet.RegisteredInstances(now) }, InForce: func() bool { return true },
		})
		link := &Link{fleet: fleet, quotas: limiter}
		origins := rlborigin.New(func() time.Time { return now })
		if p.Digest != nil {
			crashes.Merge(decodeCrashRecords(now, p.Digest.Crashes))
			origins.Learn(decodeBegunStreams(p.Digest.BegunStreams), time.Minute)
			fleet.ApplyDigest(now, *p.Digest)
		}
		if p.Summary != nil {
			crashes.Merge(decodeCrashRecords(now, p.Summary.Crashes))
			origins.Learn(decodeBegunStreams(p.Summary.BegunStreams), time.Minute)
			fleet.ApplySummary(now, *p.Summary)
		}
		link.applyQuotas(p)
		limiter.Admit("w", rlbdeployment.NewQuota(10, 10, rlbdeployment.UnitTokens, 1), 1)
		limiter.Usages()
		limiter.DomainUsages()
		fleet.Targets(now)
		fleet.KnownInstances(now)
		fleet.Load(now, EndpointKey("e"))
		fleet.Limits(now, EndpointKey("e"))
		fleet.HolderLoads(now)
		fleet.Demand(now)
		fleet.DrainingEndpoints(now)
		fleet.Summarize(now, Digest{Name: "a", Domain: "x"})
	})
}

// FuzzQuery decodes queries and replies of any content.
func FuzzQuery(f *testing.F) {
	for _, v := range []any{&Query{Adapter: &AdapterQuery{Service: "s", Model: "m", Adapter: "a"}}, &Query{Changes: &ChangesQuery{3, 4, false}}, &Reply{Reason: "r", Entries: []Entry{{Name: "e", Version: 3}}}} {
		data, err := msgpack.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var q Query
		var r Reply
		_ = rlbmsgpack.Unmarshal(data, &q)
		_ = rlbmsgpack.Unmarshal(data, &r)
	})
}

package rlbscheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// TestInstanceCutOffFromEndpointsLeavesTheLeaseToOthers guards against a lease holder whose orders
// reach no endpoint, while others' would.
func TestInstanceCutOffFromEndpointsLeavesTheLeaseToOthers(t *testing.T) {
	cutOff := rlbpeer.Digest{APIAvailable: true, CutOff: true}
	for name, test := range map[string]struct {
		before rlbpeer.Digest // of the instance before this one in its domain
		cutOff bool           // this instance
		want   bool
	}{
		"it reaches endpoints, the one before does not":   {cutOff, false, true},
		"both reach endpoints":                            {rlbpeer.Digest{APIAvailable: true}, false, false},
		"it does not reach endpoints":                     {rlbpeer.Digest{}, true, false},
		"neither reaches endpoints":                       {cutOff, true, false},
		"the one before does not, nor is it served":       {rlbpeer.Digest{APIUnavailable: true, CutOff: true}, false, true},
		"it does not, and the one before is not known to": {rlbpeer.Digest{APIUnavailable: true}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1")
				f.apiAvailable.Store(true)
				s := f.start(t.Context(), "b")
				s.CutOff = func() bool { return test.cutOff }
				d := test.before
				d.Name, d.Domain, d.Address, d.Sequence = "a", "a", "a:1", 1
				s.Fleet.ApplyDigest(time.Now(), d)
				if got := s.contendsForLease(); got != test.want {
					t.Errorf("contends for the lease: %t, want %t", got, test.want)
				}
			})
		})
	}
}

package rlbscheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// TestInstanceThatTheObjectAPIAnswersContends guards against a fleet without a lease holder: the
// object API turns away the first instances of a domain, of which only those that watch it
// know and say so, and the next one, which does not call it, was relied on to contend.
func TestInstanceThatTheObjectAPIAnswersContends(t *testing.T) {
	refused := rlbpeer.Digest{APIUnavailable: true}
	answered := rlbpeer.Digest{APIAvailable: true}
	leaving := rlbpeer.Digest{APIAvailable: true, Draining: true}
	silent := rlbpeer.Digest{} // does not call the object API
	for name, test := range map[string]struct {
		before    rlbpeer.Digest // of the instance before this one
		after     rlbpeer.Digest
		available bool // the object API answers this instance
		want      bool
	}{
		"it is answered, the one before does not call":          {silent, silent, true, true},
		"it is answered, the one before is refused":             {refused, silent, true, true},
		"it is answered, the one before is answered and leaves": {leaving, silent, true, true},
		"both are answered":                                       {answered, silent, true, false},
		"the one after is answered":                               {refused, answered, false, false},
		"nobody is known to be answered, the one before may be":   {silent, silent, false, false},
		"nobody is known to be answered, the one before is not":   {refused, silent, false, true},
		"it is answered, also if the one after is":                {silent, answered, true, true},
		"it is not known to be answered, the one after calls too": {refused, refused, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1")
				f.apiAvailable.Store(test.available)
				s := f.start(t.Context(), "b")
				for peer, d := range map[string]rlbpeer.Digest{"a": test.before, "c": test.after} {
					d.Name, d.Domain, d.Address, d.Sequence = peer, "a", peer+":1", 1
					s.Fleet.ApplyDigest(time.Now(), d)
				}
				if got := s.contendsForLease(); got != test.want {
					t.Errorf("contends for the lease: %t, want %t", got, test.want)
				}
			})
		})
	}
}

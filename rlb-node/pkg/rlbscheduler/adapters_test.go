package rlbscheduler

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestAdapterAtAnEndpointThatLoadsAModel guards against requests that are refused for the
// seconds of a load although the endpoint serves their adapter meanwhile.
func TestAdapterAtAnEndpointThatLoadsAModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		s := f.start(t.Context(), "a")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		state := s.states["e1"]
		state.mu.Lock()
		state.models["m"].adapters["a1"] = &adapterState{}
		state.models["next"] = &modelState{readyAt: s.now().Add(time.Minute), adapters: map[string]*adapterState{}}
		state.mu.Unlock()
		if ids, reason := s.Find(t.Context(), "s", "m", "a1", nil); !slices.Equal(ids, []string{"e1"}) {
			t.Errorf("a loaded adapter is found at %v: %s", ids, reason)
		}
		if ids, _ := s.Find(t.Context(), "s", "m", "a2", nil); len(ids) > 0 {
			t.Errorf("an adapter that cannot be loaded now is found at %v", ids)
		}
	})
}

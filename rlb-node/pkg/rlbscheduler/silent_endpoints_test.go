package rlbscheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestEndpointThatIsHeldOffGetsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1", "e2")
		f.heldOff["e1"] = true
		s := f.start(t.Context(), "a")
		time.Sleep(20 * time.Second)
		ids, _ := s.Find(t.Context(), "s", "m", "a1", nil)
		if !slices.Equal(ids, []string{"e2"}) {
			t.Errorf("the adapter is found at %v", ids)
		}
		for _, order := range f.engines.allOrders() {
			if strings.HasPrefix(order, "e1 ") {
				t.Errorf("order to an endpoint that is held off: %s", order)
			}
		}
		if f.limits.count("e1") > 0 {
			t.Errorf("%d calls to an endpoint that is held off", f.limits.count("e1"))
		}
	})
}

func TestLastReplicaThatAnswersIsNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1", "e2", "e3")
		f.silent["e1"], f.silent["e2"] = true, true
		f.demand["n"], f.demand["o"] = 50, 50 // want the memory in which e3 holds m
		f.start(t.Context(), "a")
		time.Sleep(time.Minute)
		if n := f.engines.count("e3 unload m/ accepted"); n > 0 {
			t.Errorf("the last replica that answers was unloaded: %v", f.engines.allOrders())
		}
		for _, order := range f.engines.allOrders() {
			if !strings.HasPrefix(order, "e3 ") {
				t.Errorf("order to a silent endpoint: %s", order)
			}
		}
	})
}

func TestDarkEndpointsDelayNoOrder(t *testing.T) {
	const dark = 60
	var ids []string
	for i := range dark {
		ids = append(ids, fmt.Sprintf("d%d", i))
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, append(ids, "e1", "e2", "e3", "e4", "e5", "e6")...)
		f.engines.dark = map[string]bool{}
		for _, id := range ids {
			f.engines.dark[id] = true
		}
		s := f.start(t.Context(), "a")
		for s.Fence() == 0 {
			time.Sleep(tickInterval)
		}
		time.Sleep(2 * tickInterval)
		if !slices.ContainsFunc(f.engines.allOrders(), func(order string) bool { return strings.HasSuffix(order, " load n/ accepted") }) {
			t.Errorf("no load of n within two ticks: %v", f.engines.allOrders())
		}
		start := time.Now()
		found, reason := s.Find(t.Context(), "s", "m", "a1", nil)
		if took := time.Since(start); len(found) == 0 || took > orderTimeout {
			t.Errorf("the adapter is found at %v after %v: %s", found, took, reason)
		}
	})
}

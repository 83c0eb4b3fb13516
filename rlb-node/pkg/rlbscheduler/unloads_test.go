package rlbscheduler

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// unloadOrders returns the accepted unloads of a model.
func unloadOrders(f *testFleet, model string) (orders []string) {
	for _, order := range f.engines.allOrders() {
		if strings.HasSuffix(order, " unload "+model+"/ accepted") {
			orders = append(orders, order)
		}
	}
	return orders
}

func TestUnloadIsAnnouncedBeforeItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1", "e2", "e3")
		s := f.start(t.Context(), "a")
		time.Sleep(30 * time.Second) // until n and o have replicas
		synctest.Wait()
		f.demand["n"] = 100
		var announced time.Time
		for end := time.Now().Add(time.Minute); time.Now().Before(end) && len(unloadOrders(f, "m")) == 0; time.Sleep(tickInterval / 3) {
			changes := s.ModelChanges()
			for _, e := range s.View.Snapshot().ByID {
				if announced.IsZero() && !changes.Serves(e, "m") {
					announced = time.Now()
				}
			}
		}
		if len(unloadOrders(f, "m")) == 0 {
			t.Fatalf("no unload of m: %v", f.engines.allOrders())
		}
		if announced.IsZero() || time.Since(announced) < unloadNotice-tickInterval {
			t.Errorf("announced at %v, ordered %v later", announced, time.Since(announced))
		}
	})
}

func TestAnnouncedUnloadOfTheLastReplicaIsCalledOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		s := f.start(t.Context(), "a")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		state := s.states["e1"]
		state.mu.Lock()
		s.announceUnload(state, "m", "test")
		state.mu.Unlock()
		entry := s.View.Snapshot().ByID["e1"]
		if s.ModelChanges().Serves(entry, "m") {
			t.Error("the unload is not announced")
		}
		time.Sleep(unloadNotice + 2*tickInterval)
		if orders := unloadOrders(f, "m"); len(orders) > 0 {
			t.Errorf("the last replica was unloaded: %v", orders)
		}
		if !s.ModelChanges().Serves(entry, "m") {
			t.Error("the replica is still announced as going")
		}
	})
}

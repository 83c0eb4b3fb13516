package rlbscheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// restartDuringOrder runs a lease holder before an endpoint that restarts under its ID while
// the first order to it is in flight. It calls check meanwhile, within the order.
func restartDuringOrder(t *testing.T, f *testFleet, check func(s *Scheduler)) *Scheduler {
	t.Helper()
	var s *Scheduler
	started := make(chan struct{})
	f.engines.duringOrder = func(endpoint string) {
		<-started
		f.engines.duringOrder = nil
		s.View.ApplyChanges([]rlbobject.Object{{Name: endpoint, Version: 10, Value: []byte("restarted")}}, false)
		check(s)
	}
	s = f.start(t.Context(), "a")
	close(started)
	return s
}

// TestRestartDuringAnOrderDoesNotStopTheLeaseHolder guards against a deadlock after which the
// lease holder answers no request for a model, says that it is ready and keeps the lease: the
// entry of a restarted endpoint waited for the order in flight there, and the order for the
// lock under which entries are applied. Then this test does not end.
func TestRestartDuringAnOrderDoesNotStopTheLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		f.engines.orderDelay = orderTimeout
		checked := false
		s := restartDuringOrder(t, f, func(s *Scheduler) {
			start := time.Now()
			s.syncEndpoints()
			s.ModelChanges()
			s.Find(t.Context(), "s", "m", "a1", nil)
			if took := time.Since(start); took >= orderTimeout {
				t.Errorf("requests for a model waited %v for the order in flight", took)
			}
			checked = true
		})
		time.Sleep(time.Minute)
		if !checked {
			t.Error("no order was in flight")
		}
		if s.Fence() == 0 {
			t.Error("the lease was lost")
		}
		if ids, reason := s.Find(t.Context(), "s", "m", "a1", nil); len(ids) == 0 {
			t.Errorf("the restarted endpoint gets no orders: %s", reason)
		}
	})
}

// TestOrderToAnEarlierIncarnationIsNotPublishedForTheNext guards against a model that nobody
// can reach at a restarted endpoint, because its earlier incarnation did not hold it.
func TestOrderToAnEarlierIncarnationIsNotPublishedForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		f.engines.endpoints["e1"].models = map[string]map[string]bool{}
		s := restartDuringOrder(t, f, func(*Scheduler) {})
		for len(f.engines.allOrders()) == 0 {
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		state := s.states["e1"]
		if state.sameIncarnation(s.View.Snapshot().ByID["e1"]) {
			t.Fatal("the state was replaced while the order was in flight")
		}
		if !s.ModelChanges().Serves(s.View.Snapshot().ByID["e1"], "m") {
			t.Error("the restarted endpoint counts as not serving the model in its entry")
		}
		time.Sleep(2 * tickInterval)
		synctest.Wait()
		if !s.states["e1"].sameIncarnation(s.View.Snapshot().ByID["e1"]) {
			t.Error("the state of the earlier incarnation is still used")
		}
	})
}

// TestInDoubtOrderToAnEarlierIncarnationBlocksTheNext guards against memory that is
// overcommitted: an order that got no answer while its endpoint restarted may still arrive.
func TestInDoubtOrderToAnEarlierIncarnationBlocksTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "e1")
		f.engines.orderDelay = orderTimeout
		f.engines.dropOrders(1)
		start := time.Now()
		s := restartDuringOrder(t, f, func(s *Scheduler) {
			start = time.Now()
			s.syncEndpoints()
		})
		time.Sleep(inDoubtPeriod)
		if n := len(f.engines.allOrders()); n != 1 {
			t.Errorf("%d orders within %v of the one in doubt: %v", n, time.Since(start), f.engines.allOrders())
		}
		time.Sleep(time.Minute)
		if len(f.engines.allOrders()) < 2 || s.Fence() == 0 {
			t.Errorf("no order after the doubt has ended: %v", f.engines.allOrders())
		}
	})
}

// TestInDoubtOrderBlocksTheNextIncarnationWhoseStateIsNew guards against memory that is
// overcommitted: an order without an answer may still arrive when the state of its endpoint,
// which ends with the endpoint's entry and with the lease, is forgotten and made anew.
func TestInDoubtOrderBlocksTheNextIncarnationWhoseStateIsNew(t *testing.T) {
	returns := func(f *testFleet, s *Scheduler) {
		f.engines.setDark("e1", false)
		s.View.ApplyChanges([]rlbobject.Object{{Name: "e1", Version: 12, Value: []byte("restarted")}}, false)
	}
	isRemoved := func(s *Scheduler) {
		s.View.ApplyChanges([]rlbobject.Object{{Name: "e1", Version: 11, Deleted: true}}, false)
		time.Sleep(3 * time.Second)
		s.View.DropRemoved()
		time.Sleep(2 * tickInterval)
	}
	for name, forget := range map[string]func(f *testFleet, s *Scheduler){
		"as its entry was removed": func(f *testFleet, s *Scheduler) {
			isRemoved(s)
			returns(f, s)
		},
		"as the lease lapsed before the restart": func(f *testFleet, s *Scheduler) {
			f.loseLease(s, func() { returns(f, s) })
		},
		"as the lease lapsed after the restart": func(f *testFleet, s *Scheduler) {
			returns(f, s)
			time.Sleep(2 * tickInterval)
			f.loseLease(s, func() {})
		},
		"as its entry was removed and the lease lapsed": func(f *testFleet, s *Scheduler) {
			isRemoved(s)
			f.loseLease(s, func() {})
			returns(f, s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1")
				f.engines.dropOrders(1)
				s := f.start(t.Context(), "a")
				for len(f.engines.allOrders()) == 0 {
					time.Sleep(time.Millisecond)
				}
				inDoubtFrom, fence := time.Now(), s.Fence()
				f.engines.setDark("e1", true)
				forget(f, s)
				assertNoFurtherOrder(t, f, inDoubtFrom.Add(inDoubtPeriod))
				if s.Fence() != fence {
					t.Errorf("fencing number %d, before it was %d", s.Fence(), fence)
				}
			})
		})
	}
	t.Run("as its entry was removed while the order was in flight", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "e1")
			f.engines.orderDelay = orderTimeout
			f.engines.dropOrders(1)
			inDoubt := make(chan time.Time, 1)
			restartDuringOrder(t, f, func(s *Scheduler) {
				inDoubt <- time.Now()
				s.View.ApplyChanges([]rlbobject.Object{{Name: "e1", Version: 11, Deleted: true}}, false)
				time.Sleep(3 * time.Second)
				s.View.DropRemoved()
				s.syncEndpoints()
				returns(f, s)
			})
			inDoubtFrom := <-inDoubt
			time.Sleep(4 * time.Second)
			assertNoFurtherOrder(t, f, inDoubtFrom.Add(inDoubtPeriod))
		})
	})
}

// assertNoFurtherOrder checks that the endpoints get no order beside the first one until a
// time, and that they get some after it.
func assertNoFurtherOrder(t *testing.T, f *testFleet, until time.Time) {
	t.Helper()
	time.Sleep(time.Until(until))
	if all := f.engines.allOrders(); len(all) != 1 {
		t.Errorf("%d orders while the first one may still arrive: %v", len(all), all)
	}
	time.Sleep(10 * time.Second)
	if all := f.engines.allOrders(); len(all) < 2 {
		t.Errorf("no order after the doubt has ended: %v", all)
	}
}

// TestOrderOfTheHolderBeforeBlocksTheNextIncarnation guards against memory that is
// overcommitted where endpoints do not check fencing numbers: an order without an answer of the
// lease holder before may reach an endpoint that has restarted since.
func TestOrderOfTheHolderBeforeBlocksTheNextIncarnation(t *testing.T) {
	restart := func(s *Scheduler) {
		s.View.ApplyChanges([]rlbobject.Object{{Name: "e1", Version: 12, Value: []byte("restarted")}}, false)
	}
	remove := func(s *Scheduler) {
		s.View.ApplyChanges([]rlbobject.Object{{Name: "e1", Version: 11, Deleted: true}}, false)
		time.Sleep(3 * time.Second)
		s.View.DropRemoved()
	}
	for name, play := range map[string]struct {
		before, after func(s *Scheduler) // the next instance takes the lease
		blocked       bool
	}{
		"as it restarts before the change":                   {restart, nil, true},
		"as its entry is gone meanwhile":                     {func(s *Scheduler) { remove(s); restart(s) }, nil, true},
		"as it restarts after the change":                    {nil, restart, true},
		"but not if it has not restarted":                    {nil, nil, false},
		"but not if it restarts once such orders have ended": {nil, func(s *Scheduler) { time.Sleep(inDoubtPeriod + 10*time.Second); restart(s) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1")
				f.takeoverDelay = testLeaseTTL
				ctx, stop := context.WithCancel(t.Context())
				f.start(ctx, "a")
				time.Sleep(testLeaseTTL)
				next := f.start(t.Context(), "b")
				f.engines.dropOrders(1)
				for len(f.engines.allOrders()) == 0 {
					time.Sleep(time.Millisecond)
				}
				inDoubtFrom := time.Now()
				f.engines.setDark("e1", true)
				stop()
				if play.before != nil {
					play.before(next)
				}
				for next.Fence() == 0 {
					time.Sleep(tickInterval)
				}
				time.Sleep(2 * tickInterval)
				if play.after != nil {
					play.after(next)
				}
				f.engines.setDark("e1", false)
				if play.blocked {
					assertNoFurtherOrder(t, f, inDoubtFrom.Add(inDoubtPeriod))
					return
				}
				time.Sleep(f.takeoverDelay + 2*time.Second)
				if all := f.engines.allOrders(); len(all) < 2 {
					t.Errorf("no order to an endpoint that no earlier order can reach: %v", all)
				}
			})
		})
	}
}

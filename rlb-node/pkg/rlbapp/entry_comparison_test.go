package rlbapp

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
)

// oldList is the object API as an instance sees it whose first list is of an early revision,
// up to which each entry was written once.
type oldList struct {
	storeClient
	revision rlbobject.Version
}

func (c oldList) List(_ context.Context, kind string) (rlbobject.Changes, error) {
	time.Sleep(transit)
	all, _ := c.since(0)
	all.Objects, all.Revision = all.Objects[:c.revision], c.revision
	if kind != rlbplatform.ObjectKindEndpoints {
		all.Objects = nil
	}
	return all, nil
}

// restartedFleet is a fleet in which two instances restart, and something may happen after that.
type restartedFleet struct {
	*testFleet
	afterRestart func() // nil: nothing
}

// restart starts a new process of an instance that was stopped. Its first list is of a
// revision; 0: up to date.
func (f *testFleet) restart(n int, revision rlbobject.Version) *testInstance {
	before := f.instances[n]
	i := f.add(before.name, before.domain, before.address)
	i.incarnation = before.incarnation + 1
	if revision > 0 {
		i.staleAPI = oldList{storeClient{f.store, i.cut.Load, i.refused.Load, &i.calls}, revision}
	}
	f.start(i)
	f.instances[n] = i
	return i
}

// TestInstanceWhoseFirstListIsOldLearnsOfRemovals guards against requests to an endpoint that
// is gone: an instance that starts from an old list asks the others of its domain for changes,
// and those that started after a removal know nothing of it.
func TestInstanceWhoseFirstListIsOldLearnsOfRemovals(t *testing.T) {
	const first, second = 3, 4 // the instances of domain y
	const contact = 3 * time.Second
	gone := rlbobject.Object{Name: "leaves", Deleted: true}
	later := rlbobject.Object{Name: "joins", Value: []byte(`"ready"`)}
	for name, play := range map[string]func(f *restartedFleet){
		"the removal is the latest change": func(f *restartedFleet) {
			f.store.append(gone)
			time.Sleep(2 * time.Second)
			f.restart(first, 0)
		},
		"other changes precede and follow": func(f *restartedFleet) {
			f.store.append(later)
			f.store.append(gone)
			f.store.append(later)
			time.Sleep(2 * time.Second)
			f.restart(first, 0)
		},
		"the entries change all the time": func(f *restartedFleet) {
			f.store.append(gone)
			f.store.append(later)
			time.Sleep(2 * time.Second)
			f.restart(first, 0)
			go func() {
				for range 60 {
					f.store.append(later)
					time.Sleep(100 * time.Millisecond)
				}
			}()
		},
		"many others were removed since": func(f *restartedFleet) {
			f.store.append(gone)
			for n := range 400 {
				f.store.append(rlbobject.Object{Name: fmt.Sprint(n), Value: []byte(`"ready"`)})
				f.store.append(rlbobject.Object{Name: fmt.Sprint(n), Deleted: true})
			}
			f.store.append(later)
			time.Sleep(2 * time.Second)
			f.restart(first, 0)
		},
		"the object API does not answer the domain afterwards": func(f *restartedFleet) {
			f.store.append(later)
			f.store.append(gone)
			time.Sleep(2 * time.Second)
			f.restart(first, 0)
			f.afterRestart = func() {
				time.Sleep(200 * time.Millisecond)
				f.instances[first].cut.Store(true)
				f.instances[second].cut.Store(true)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &restartedFleet{testFleet: startTestFleet()}
				defer f.stop()
				time.Sleep(2 * time.Second)
				f.instances[first].stop()
				f.instances[second].stop()
				time.Sleep(2 * time.Second)
				play(f)
				time.Sleep(300 * time.Millisecond)
				stale := f.restart(second, 2)
				startedAt := time.Now()
				if f.afterRestart != nil {
					f.afterRestart()
				}
				time.Sleep(time.Until(startedAt.Add(contact)))
				if stale.used("leaves") {
					t.Errorf("the instance still uses the endpoint %v after its start", contact)
				}
				if !stale.used("stays") {
					t.Error("the instance does not use the endpoint that stays")
				}
				time.Sleep(4 * time.Second)
				assertSameEntries(t, f.testFleet)
			})
		})
	}
}

// TestRemovedEntryIsNotTakenFromAnInstanceThatStillHasIt guards against requests to an endpoint
// that is gone: an instance that has dropped it compared its entries with those of a watcher that
// has just come back from an outage of its own, and whose grace period lasts longer.
func TestRemovedEntryIsNotTakenFromAnInstanceThatStillHasIt(t *testing.T) {
	const bound, watched = 2 * time.Second, 4 * time.Second
	for offset := 50 * time.Millisecond; offset <= 800*time.Millisecond; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := startTestFleet()
			defer f.stop()
			time.Sleep(2 * time.Second)
			watcher := f.instances[0]
			watcher.refused.Store(true)
			time.Sleep(9 * time.Second)
			watcher.refused.Store(false)
			time.Sleep(offset)
			f.store.append(rlbobject.Object{Name: "leaves", Deleted: true})
			time.Sleep(bound)
			for range watched / sweepPeriod {
				for _, i := range f.instances {
					if i.used("leaves") {
						t.Fatalf("the watcher is back %v before the removal: %s uses the endpoint later than %v after it", offset, i.name, bound)
					}
				}
				time.Sleep(sweepPeriod)
			}
		})
	}
}

// assertSameEntries checks that all instances use the same endpoints.
func assertSameEntries(t *testing.T, f *testFleet) {
	t.Helper()
	want := len(f.instances[0].view.Snapshot().ByID)
	for _, i := range f.instances {
		if got := len(i.view.Snapshot().ByID); got != want || i.used("leaves") || !i.used("stays") {
			t.Errorf("%s uses %d endpoints, the first instance %d", i.name, got, want)
		}
	}
}

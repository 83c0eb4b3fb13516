package rlbapp

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// versionDecoder decodes an entry as an endpoint of a software version.
type versionDecoder struct{ talkDecoder }

func (versionDecoder) Endpoint(id string, version []byte) (*rlbdeployment.Endpoint, error) {
	return &rlbdeployment.Endpoint{ID: id, Service: "llm", SoftwareVersion: string(version)}, nil
}

// originFleet is a fleet of instances that share an object API and see the same endpoints.
type originFleet struct {
	api     *rlbfake.Objects
	version rlbobject.Version // of the latest entry
	serving []string          // by endpoint
	running []*runningOrigins
	holder  atomic.Pointer[runningOrigins] // of the lease: the one that has run for longest
}

type runningOrigins struct {
	*streamOrigins
	stop context.CancelFunc
}

// start starts a new process of an instance.
func (f *originFleet) start(name string) *runningOrigins {
	a := newTestApp(name, f.api, false)
	a.now = time.Now
	a.view = rlbdiscovery.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, versionDecoder{}, time.Now, time.Second)
	a.view.ApplyConfig(nil, "test")
	a.fleet = rlbpeer.NewFleet(name, "x")
	ctx, cancel := context.WithCancel(context.Background())
	o := &runningOrigins{newStreamOrigins(a), cancel}
	a.holdsLease = func() bool { return f.holder.Load() == o }
	f.running = append(f.running, o)
	f.holder.Store(f.running[0])
	f.show(a)
	go o.run(ctx)
	return o
}

// end ends a process for good, or as it is killed.
func (f *originFleet) end(o *runningOrigins) {
	o.stop()
	synctest.Wait()
	f.running = slices.DeleteFunc(f.running, func(each *runningOrigins) bool { return each == o })
	if len(f.running) > 0 {
		f.holder.Store(f.running[0])
	}
}

// release replaces all endpoints by ones of a version.
func (f *originFleet) release(version string) {
	for e := range f.serving {
		f.serving[e] = version
	}
	f.version++
	for _, o := range f.running {
		f.show(o.app)
	}
}

func (f *originFleet) show(a *app) {
	var objects []rlbobject.Object
	for e, version := range f.serving {
		objects = append(objects, rlbobject.Object{Name: string(rune('a' + e)), Version: f.version, Value: []byte(version)})
	}
	a.view.ApplyChanges(objects, false)
}

// TestDepartedInstanceDoesNotNameVersionsForever guards against streams that are refused for up
// to half an hour: the record of an instance that is gone for good names a version that has
// left since, so that a stream that nobody remembers may be of either.
func TestDepartedInstanceDoesNotNameVersionsForever(t *testing.T) {
	const longest = time.Minute // the timeout of the route
	play := func(lose func(f *originFleet, departed *runningOrigins)) (f *originFleet) {
		f = &originFleet{api: rlbfake.NewObjects(), version: 1, serving: []string{"v1", "v1"}}
		f.start("a")
		f.start("b")
		departed := f.start("c")
		time.Sleep(5 * time.Second)
		lose(f, departed)
		return f
	}
	find := func(t *testing.T, f *originFleet, want rlborigin.Verdict) {
		t.Helper()
		o := f.running[len(f.running)-1]
		if version, verdict := o.Find(context.Background(), "llm", "nobody remembers it"); verdict != want {
			t.Errorf("verdict %s, version %q", verdict, version)
		}
	}
	killAll := func(f *originFleet) {
		for len(f.running) > 0 {
			f.end(f.running[0])
		}
		f.start("a")
		f.start("b")
		time.Sleep(time.Second)
	}
	for name, lose := range map[string]func(f *originFleet, departed *runningOrigins){
		"that goes before the release": func(f *originFleet, departed *runningOrigins) {
			f.end(departed)
			time.Sleep(10 * time.Second)
			f.release("v2")
			time.Sleep(longest + 3*time.Second)
		},
		"that goes right after the release": func(f *originFleet, departed *runningOrigins) {
			f.release("v2")
			time.Sleep(time.Second)
			f.end(departed)
			time.Sleep(longest + 3*time.Second)
		},
		"that held the lease": func(f *originFleet, _ *runningOrigins) {
			f.release("v2")
			f.end(f.running[0])
			time.Sleep(longest + 3*time.Second)
		},
		"beside another one, as all are lost soon after the release": func(f *originFleet, departed *runningOrigins) {
			f.end(departed)
			f.release("v2")
			time.Sleep(time.Second)
			killAll(f)
			time.Sleep(longest + 4*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := play(lose)
				killAll(f)
				find(t, f, rlborigin.Known)
				for len(f.running) > 0 {
					f.end(f.running[0])
				}
			})
		})
	}
	t.Run("its record stays while its streams can be taken up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := play(func(f *originFleet, departed *runningOrigins) {
				f.end(departed)
				f.release("v2")
				time.Sleep(longest - 3*time.Second)
			})
			killAll(f)
			find(t, f, rlborigin.Unknown)
			for len(f.running) > 0 {
				f.end(f.running[0])
			}
		})
	})
	t.Run("a version of which the lease holder has not heard stays", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := play(func(f *originFleet, ahead *runningOrigins) {
				f.release("v2")
				time.Sleep(longest)
				f.serving[0] = "v3"
				f.version++
				f.show(ahead.app) // the others hear of it later
				time.Sleep(4 * time.Second)
			})
			find(t, f, rlborigin.Unknown)
			for len(f.running) > 0 {
				f.end(f.running[0])
			}
		})
	})
}

// Package rlbfake provides in-memory fakes of external interfaces with injectable
// faults. Tests use them directly; the stand-ins serve them over the network.
package rlbfake

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// ObjectFault is a fault injected into a call of the object API.
type ObjectFault string

// Faults of the object API.
const (
	FaultRefused    ObjectFault = "refused"     // the call is refused without effect
	FaultLost       ObjectFault = "lost"        // the call has no effect, but fails with an unknown outcome
	FaultAnswerLost ObjectFault = "answer-lost" // the write takes effect, but fails with an unknown outcome
	FaultStale      ObjectFault = "stale"       // a Get returns the previous version; other reads return the current one
)

// Objects is an in-memory object API.
type Objects struct {
	mu       sync.Mutex
	revision rlbobject.Version
	objects  map[rlbobject.Key]rlbobject.Object
	previous map[rlbobject.Key]rlbobject.Object
	changed  chan struct{}
	down     bool
	faults   []ObjectFault // injected into the next calls, in order
	delay    time.Duration
	reads    int
	writes   int
}

// NewObjects returns an Objects without objects.
func NewObjects() *Objects {
	return &Objects{
		objects:  map[rlbobject.Key]rlbobject.Object{},
		previous: map[rlbobject.Key]rlbobject.Object{},
		changed:  make(chan struct{}),
	}
}

// SetDown starts or ends an outage, during which all calls fail.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	o.notifyWatchers()
}

// SetDelay makes every call take at least delay.
func (o *Objects) SetDelay(delay time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delay = delay
}

// Inject queues faults. Each call takes the first queued fault if it applies to
// that kind of call.
func (o *Objects) Inject(faults ...ObjectFault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, faults...)
}

// Calls returns the number of reads, including watches, and of writes.
func (o *Objects) Calls() (reads, writes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reads, o.writes
}

// startCall counts a call and returns the fault or error to inject into it. The
// caller holds o.mu.
func (o *Objects) startCall(op string, write bool) (ObjectFault, error) {
	if write {
		o.writes++
	} else {
		o.reads++
	}
	if o.down {
		return "", rlberror.New(op, rlbobject.KindUnavailable, nil)
	}
	if len(o.faults) == 0 {
		return "", nil
	}
	fault := o.faults[0]
	if write == (fault == FaultStale) {
		return "", nil // FaultStale applies to the next read, the other faults to the next write
	}
	o.faults = o.faults[1:]
	switch fault {
	case FaultRefused:
		return "", rlberror.New(op, rlbobject.KindUnavailable, nil)
	case FaultLost:
		return "", rlberror.New(op, rlbobject.KindUnknown, nil)
	}
	return fault, nil
}

func (o *Objects) applyDelay(ctx context.Context) error {
	o.mu.Lock()
	delay := o.delay
	o.mu.Unlock()
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return rlberror.New("wait", rlbobject.KindUnknown, ctx.Err())
	}
}

// Get implements rlbobject.API.
func (o *Objects) Get(ctx context.Context, key rlbobject.Key) (rlbobject.Object, error) {
	if err := o.applyDelay(ctx); err != nil {
		return rlbobject.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	fault, err := o.startCall("get", false)
	if err != nil {
		return rlbobject.Object{}, err
	}
	object, found := o.objects[key]
	if fault == FaultStale {
		object, found = o.previous[key]
	}
	if !found {
		return rlbobject.Object{}, rlberror.Newf("get", rlbobject.KindNotFound, "%s", key)
	}
	return object, nil
}

// Put implements rlbobject.API.
func (o *Objects) Put(ctx context.Context, key rlbobject.Key, value []byte, expected rlbobject.Version) (rlbobject.Version, error) {
	if len(value) > int(rlbobject.MaxValueBytes) {
		return 0, rlberror.Newf("put", rlbobject.KindTooLarge, "%d bytes", len(value))
	}
	if err := o.applyDelay(ctx); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	fault, err := o.startCall("put", true)
	if err != nil {
		return 0, err
	}
	current := o.objects[key]
	if current.Version != expected {
		return 0, rlberror.Newf("put", rlbobject.KindConflict, "%s is at %d, not %d", key, current.Version, expected)
	}
	o.revision++
	if expected != 0 {
		o.previous[key] = current
	}
	o.objects[key] = rlbobject.Object{Name: key.Name, Version: o.revision, Value: bytes.Clone(value)}
	o.notifyWatchers()
	if fault == FaultAnswerLost {
		return 0, rlberror.New("put", rlbobject.KindUnknown, nil)
	}
	return o.revision, nil
}

// Delete implements rlbobject.API.
func (o *Objects) Delete(ctx context.Context, key rlbobject.Key, expected rlbobject.Version) error {
	if err := o.applyDelay(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	fault, err := o.startCall("delete", true)
	if err != nil {
		return err
	}
	current, found := o.objects[key]
	if !found {
		return rlberror.Newf("delete", rlbobject.KindNotFound, "%s", key)
	}
	if current.Version != expected {
		return rlberror.Newf("delete", rlbobject.KindConflict, "%s is at %d, not %d", key, current.Version, expected)
	}
	o.revision++
	delete(o.objects, key)
	o.notifyWatchers()
	if fault == FaultAnswerLost {
		return rlberror.New("delete", rlbobject.KindUnknown, nil)
	}
	return nil
}

// List implements rlbobject.API.
func (o *Objects) List(ctx context.Context, kind string) (rlbobject.Changes, error) {
	if err := o.applyDelay(ctx); err != nil {
		return rlbobject.Changes{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, err := o.startCall("list", false); err != nil {
		return rlbobject.Changes{}, err
	}
	return o.changesSince(kind, 0), nil
}

// Watch implements rlbobject.API.
func (o *Objects) Watch(ctx context.Context, kind string, after rlbobject.Version, deadline time.Time) (rlbobject.Changes, error) {
	if err := o.applyDelay(ctx); err != nil {
		return rlbobject.Changes{}, err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for first := true; ; first = false {
		o.mu.Lock()
		var err error
		if o.down {
			err = rlberror.New("watch", rlbobject.KindUnavailable, nil)
		} else if first {
			_, err = o.startCall("watch", false)
		}
		changes, changed := o.changesSince(kind, after), o.changed
		o.mu.Unlock()
		if err != nil || len(changes.Objects) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, rlberror.New("watch", rlbobject.KindUnknown, ctx.Err())
		}
	}
}

// changesSince returns the objects changed after a revision. The caller holds
// o.mu. Deletions are not reported, since nothing that rhubarblb watches relies on
// them.
func (o *Objects) changesSince(kind string, after rlbobject.Version) rlbobject.Changes {
	changes := rlbobject.Changes{Revision: o.revision}
	for key, object := range o.objects {
		if key.Kind == kind && object.Version > after {
			changes.Objects = append(changes.Objects, object)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b rlbobject.Object) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

func (o *Objects) notifyWatchers() {
	close(o.changed)
	o.changed = make(chan struct{})
}

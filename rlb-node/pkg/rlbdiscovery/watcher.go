package rlbdiscovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Terms of a watch.
const (
	watchTimeout     = 1800 * time.Millisecond // for the next change; a connection that went silent is left after it
	idlePollInterval = 200 * time.Millisecond  // between two looks whether this instance is a scout
	watchSlack       = 500 * time.Millisecond  // after the wait, until the answer is there
	listTimeout      = time.Second
	minBackoff       = 150 * time.Millisecond // after a call that failed; doubled with each further one
	maxBackoff       = time.Second
	// outageAfter is the time beyond a watch's wait without an answer after which
	// entries of live endpoints may have lapsed.
	outageAfter = time.Second
	// afterOutageWindow is how long after an outage entries that lapsed in it are told of.
	afterOutageWindow = 300 * time.Millisecond
)

// Sink takes what a watcher reads.
type Sink interface {
	ApplyList(objects []rlbobject.Object, revision rlbobject.Version, afterOutage bool)
	ApplyChanges(objects []rlbobject.Object, afterOutage bool)
}

// Watcher follows one kind of objects.
type Watcher struct {
	API  rlbobject.API
	Kind string
	Sink Sink
	Log  log.Interface
	Now  func() time.Time
	// Active reports whether this instance watches for the others, which are told
	// by it. One that is no scout makes no calls.
	Active func() bool
	// BatchDelay is how long changes are gathered before the next call: each call is
	// paid for.
	BatchDelay time.Duration

	cancelWatch atomic.Pointer[context.CancelFunc] // ends the present call
	failures    int                                // in a row
	revision    rlbobject.Version                  // 0: the list must be read
	lastAnswer  time.Time                          // latest answer
	outageEnd   time.Time                          // end of the latest outage
	unavailable atomic.Bool                        // the latest call failed
	available   atomic.Bool                        // it was answered
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.lastAnswer = w.Now()
	for ctx.Err() == nil {
		if !w.Active() {
			w.idle(ctx)
			continue
		}
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.recordFailure(err)
			rlbcommon.Sleep(ctx, min(minBackoff<<min(w.failures, 8), maxBackoff))
			w.failures++
		}
	}
}

// idle waits until this instance may be a scout. What it knows gets old.
func (w *Watcher) idle(ctx context.Context) {
	w.revision = 0
	w.unavailable.Store(false)
	w.available.Store(false)
	rlbcommon.Sleep(ctx, idlePollInterval)
	w.lastAnswer = w.Now()
}

func (w *Watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := w.API.List(ctx, w.Kind)
	if err != nil {
		return err
	}
	w.Sink.ApplyList(all.Objects, all.Revision, w.recordSuccess())
	w.revision = all.Revision
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchTimeout+watchSlack)
	defer cancel()
	w.cancelWatch.Store(&cancel)
	changes, err := w.API.Watch(call, w.Kind, w.revision, time.Now().Add(watchTimeout))
	if triggered := w.cancelWatch.Swap(nil) == nil; triggered && err != nil || rlbobject.Is(err, rlbobject.KindExpired) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.Sink.ApplyChanges(changes.Objects, w.recordSuccess())
	w.revision = max(w.revision, changes.Revision)
	if len(changes.Objects) > 0 {
		rlbcommon.Sleep(ctx, w.BatchDelay)
	}
	return nil
}

// TriggerList ends a call that waits for changes, and has the list read: another
// instance knows of changes that this one should have been told of.
func (w *Watcher) TriggerList() {
	if cancel := w.cancelWatch.Swap(nil); cancel != nil {
		w.Log.WithField("kind", w.Kind).Info("others know more; reading the list")
		(*cancel)()
	}
}

// recordSuccess notes an answer; it reports whether entries may be missing because
// of an outage that ended just now.
func (w *Watcher) recordSuccess() bool {
	now := w.Now()
	if now.Sub(w.lastAnswer) > watchTimeout+outageAfter {
		w.outageEnd = now
	}
	if w.unavailable.Swap(false) {
		w.Log.WithField("kind", w.Kind).Info("object API answers again")
	}
	w.lastAnswer, w.failures = now, 0
	w.available.Store(true)
	return !w.outageEnd.IsZero() && now.Sub(w.outageEnd) < afterOutageWindow
}

func (w *Watcher) recordFailure(err error) {
	w.available.Store(false)
	if !w.unavailable.Swap(true) {
		w.Log.WithError(err).WithField("kind", w.Kind).Warn("object API lost")
	}
}

// Available reports whether the latest call was answered.
func (w *Watcher) Available() bool { return w.available.Load() }

// Unavailable reports whether the latest call failed.
func (w *Watcher) Unavailable() bool { return w.unavailable.Load() }

// ConfigSink puts one object of a kind in force as the config.
type ConfigSink struct {
	View *View
	Name string
}

// ApplyList implements Sink.
func (s ConfigSink) ApplyList(objects []rlbobject.Object, _ rlbobject.Version, _ bool) {
	s.ApplyChanges(objects, false)
}

// ApplyChanges implements Sink.
func (s ConfigSink) ApplyChanges(objects []rlbobject.Object, _ bool) {
	for _, o := range objects {
		if o.Name == s.Name && !o.Deleted {
			s.View.ApplyConfig(o.Value, "object API")
		}
	}
}

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
	watchWait   = 1800 * time.Millisecond // for the next change; a connection that went silent is left after it
	idlePause   = 200 * time.Millisecond  // between two looks whether this instance is a scout
	slack       = 500 * time.Millisecond  // after the wait, until the answer is there
	listTimeout = time.Second
	firstPause  = 150 * time.Millisecond // after a call that failed; doubled with each further one
	longPause   = time.Second
	// outageAfter is the time beyond a watch's wait without an answer after which
	// entries of live endpoints may have lapsed.
	outageAfter = time.Second
	// catchUp is how long after an outage entries that lapsed in it are told of.
	catchUp = 300 * time.Millisecond
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
	// Scout reports whether this instance watches for the others, which are told
	// by it. One that is no scout makes no calls.
	Scout func() bool
	// Gather is how long changes are gathered before the next call: each call is
	// paid for.
	Gather time.Duration

	nudge    atomic.Pointer[context.CancelFunc] // ends the present call
	failures int                                // in a row
	revision rlbobject.Version                  // 0: the list must be read
	answered time.Time                          // latest answer
	regained time.Time                          // end of the latest outage
	lost     atomic.Bool                        // the latest call failed
	answers  atomic.Bool                        // it was answered
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.answered = w.Now()
	for ctx.Err() == nil {
		if !w.Scout() {
			w.rest(ctx)
			continue
		}
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(err)
			rlbcommon.Sleep(ctx, min(firstPause<<min(w.failures, 8), longPause))
			w.failures++
		}
	}
}

// rest waits until this instance may be a scout. What it knows gets old.
func (w *Watcher) rest(ctx context.Context) {
	w.revision = 0
	w.lost.Store(false)
	w.answers.Store(false)
	rlbcommon.Sleep(ctx, idlePause)
	w.answered = w.Now()
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
	w.Sink.ApplyList(all.Objects, all.Revision, w.succeeded())
	w.revision = all.Revision
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchWait+slack)
	defer cancel()
	w.nudge.Store(&cancel)
	changes, err := w.API.Watch(call, w.Kind, w.revision, time.Now().Add(watchWait))
	if nudged := w.nudge.Swap(nil) == nil; nudged && err != nil || rlbobject.Is(err, rlbobject.KindExpired) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.Sink.ApplyChanges(changes.Objects, w.succeeded())
	w.revision = max(w.revision, changes.Revision)
	if len(changes.Objects) > 0 {
		rlbcommon.Sleep(ctx, w.Gather)
	}
	return nil
}

// Nudge ends a call that waits for changes, and has the list read: another
// instance knows of changes that this one should have been told of.
func (w *Watcher) Nudge() {
	if cancel := w.nudge.Swap(nil); cancel != nil {
		w.Log.WithField("kind", w.Kind).Info("others know more; reading the list")
		(*cancel)()
	}
}

// succeeded notes an answer; it reports whether entries may be missing because
// of an outage that ended just now.
func (w *Watcher) succeeded() bool {
	now := w.Now()
	if now.Sub(w.answered) > watchWait+outageAfter {
		w.regained = now
	}
	if w.lost.Swap(false) {
		w.Log.WithField("kind", w.Kind).Info("object API answers again")
	}
	w.answered, w.failures = now, 0
	w.answers.Store(true)
	return !w.regained.IsZero() && now.Sub(w.regained) < catchUp
}

func (w *Watcher) failed(err error) {
	w.answers.Store(false)
	if !w.lost.Swap(true) {
		w.Log.WithError(err).WithField("kind", w.Kind).Warn("object API lost")
	}
}

// Answers reports whether the latest call was answered.
func (w *Watcher) Answers() bool { return w.answers.Load() }

// Lost reports whether the latest call failed.
func (w *Watcher) Lost() bool { return w.lost.Load() }

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

package rlbview

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Terms of a watch.
const (
	watchWait   = 2500 * time.Millisecond // for the next change; a silent connection is noticed after it
	listTimeout = time.Second
	retryPause  = 150 * time.Millisecond
	// outageAfter is the time without an answer after which entries of live
	// endpoints may have lapsed.
	outageAfter = watchWait + time.Second
	// catchUp is how long after an outage entries that lapsed in it are told of.
	catchUp = 300 * time.Millisecond
)

// Sink takes what a watcher reads.
type Sink interface {
	Reset(objects []rlbobject.Object, afterOutage bool)
	Change(objects []rlbobject.Object, afterOutage bool)
}

// Watcher follows one kind of objects.
type Watcher struct {
	API  rlbobject.API
	Kind string
	Sink Sink
	Log  log.Interface
	Now  func() time.Time

	revision rlbobject.Version // 0: the list must be read
	answered time.Time         // latest answer
	regained time.Time         // end of the latest outage
	lost     bool              // the latest call failed
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.answered = w.Now()
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(err)
			rlbcommon.Sleep(ctx, retryPause)
		}
	}
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
	w.Sink.Reset(all.Objects, w.succeeded())
	w.revision = all.Revision
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+listTimeout)
	defer cancel()
	changes, err := w.API.Watch(ctx, w.Kind, w.revision, time.Now().Add(watchWait))
	if rlbobject.Is(err, rlbobject.KindExpired) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.Sink.Change(changes.Objects, w.succeeded())
	w.revision = max(w.revision, changes.Revision)
	return nil
}

// succeeded notes an answer; it reports whether entries may be missing because
// of an outage that ended just now.
func (w *Watcher) succeeded() bool {
	now := w.Now()
	if now.Sub(w.answered) > outageAfter {
		w.regained = now
	}
	if w.lost {
		w.Log.WithField("kind", w.Kind).Info("object API answers again")
	}
	w.answered, w.lost = now, false
	return !w.regained.IsZero() && now.Sub(w.regained) < catchUp
}

func (w *Watcher) failed(err error) {
	if !w.lost {
		w.Log.WithError(err).WithField("kind", w.Kind).Warn("object API lost")
	}
	w.lost = true
}

// ConfigSink puts one object of a kind in force as the config.
type ConfigSink struct {
	View *View
	Name string
}

// Reset implements Sink.
func (s ConfigSink) Reset(objects []rlbobject.Object, _ bool) { s.Change(objects, false) }

// Change implements Sink.
func (s ConfigSink) Change(objects []rlbobject.Object, _ bool) {
	for _, o := range objects {
		if o.Name == s.Name && !o.Deleted {
			s.View.TakeConfig(o.Value, "object API")
		}
	}
}

package rlbdiscovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// Timing of a watch.
const (
	watchTimeout     = 1800 * time.Millisecond // how long the object API may wait for changes before it answers a watch call
	idlePollInterval = 100 * time.Millisecond  // interval of checks whether to become active
	watchSlack       = 500 * time.Millisecond  // added to watchTimeout for the answer to arrive; a connection that is silent for longer is abandoned
	listTimeout      = time.Second
	minBackoff       = 150 * time.Millisecond // after a failed call; doubled with each further failure
	maxBackoff       = time.Second
	// outageAfter is how long beyond watchTimeout there must be no answer for it to
	// count as an outage, in which entries of live endpoints may have lapsed.
	outageAfter = time.Second
	// afterOutageWindow is how long after an outage removals count as lapsed in it.
	afterOutageWindow = 300 * time.Millisecond
)

// Sink receives the objects that a watcher reads.
type Sink interface {
	ApplyList(objects []rlbobject.Object, revision rlbobject.Version, afterOutage bool)
	ApplyChanges(objects []rlbobject.Object, afterOutage bool)
}

// Watcher keeps a sink up to date with the objects of one kind.
type Watcher struct {
	API rlbobject.API
	// FirstAPI answers the first list of the process. It may return data that is seconds
	// old: the changes since come from the watch or from other instances.
	FirstAPI rlbobject.API
	Kind     string
	Sink     Sink
	Log      log.Interface
	Now      func() time.Time
	// Active reports whether this instance watches the object API for the others of
	// its failure domain, which get the changes from it. The watcher makes no calls
	// while it is not active, but for the first list.
	Active func() bool
	// TakenOver is called after the first list since this instance has become active; nil:
	// nothing is done.
	TakenOver func()
	// BatchDelay is the delay of the next call after a change, so that one call
	// returns several changes: each call to the object API has a cost.
	BatchDelay time.Duration

	idled       bool                               // not active since the latest list
	listed      bool                               // the first list has been tried
	listedEra   uint64                             // era of the latest list; 0: there is none
	cancelWatch atomic.Pointer[context.CancelFunc] // cancels the current watch call
	watchedEra  atomic.Uint64                      // era of the current watch call; 0: there is none
	failures    int                                // consecutive failed calls
	revision    rlbobject.Version                  // 0: a list call is needed
	lastAnswer  time.Time                          // time of the latest answer, or of the latest check while not active
	outageEnd   time.Time                          // end of the latest outage
	unavailable atomic.Bool                        // the latest call failed
	available   atomic.Bool                        // the latest call was answered
}

// Run lists and watches the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.lastAnswer = w.Now()
	for ctx.Err() == nil {
		if w.listed && !w.Active() {
			w.idle(ctx)
			continue
		}
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.recordFailure(err)
			rlbcommon.Sleep(ctx, min(minBackoff<<min(w.failures-1, 8), maxBackoff))
		}
	}
}

// idle waits for the next check of Active. It discards the revision, which will be out
// of date when the watcher becomes active.
func (w *Watcher) idle(ctx context.Context) {
	w.revision, w.idled = 0, true
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
	api := w.API
	if !w.listed {
		w.listed, api = true, w.FirstAPI
	}
	all, err := api.List(ctx, w.Kind)
	if err != nil {
		return err
	}
	w.logUndecodable(all)
	if w.listedEra != 0 && w.listedEra < all.Revision.Era() {
		w.outageEnd = w.Now() // entries that are newer than the restored copy are missing
	}
	w.listedEra = all.Revision.Era()
	w.Sink.ApplyList(all.Objects, all.Revision, w.recordSuccess())
	w.revision = all.Revision
	if w.idled && w.TakenOver != nil {
		w.TakenOver()
	}
	w.idled = false
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchTimeout+watchSlack)
	defer cancel()
	w.cancelWatch.Store(&cancel)
	w.watchedEra.Store(w.revision.Era())
	changes, err := w.API.Watch(call, w.Kind, w.revision, w.watchDeadline())
	w.watchedEra.Store(0)
	triggered := w.cancelWatch.Swap(nil) == nil
	expired := rlbobject.Is(err, rlbobject.KindExpired)
	if expired {
		w.Log.WithFields(log.Fields{"kind": w.Kind, "revision": w.revision.String()}).Info("the history since the revision of the watch is gone; reading the list again")
	}
	if triggered && err != nil || expired {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.logUndecodable(changes)
	w.Sink.ApplyChanges(changes.Objects, w.recordSuccess())
	w.revision = max(w.revision, changes.Revision)
	if len(changes.Objects) > 0 {
		rlbcommon.Sleep(ctx, w.BatchDelay)
	}
	return nil
}

// watchDeadline returns until when a watch call waits for changes. The first one after a
// failure does not wait: the object API may have been restored, which only an answer shows.
func (w *Watcher) watchDeadline() time.Time {
	if w.failures > 0 {
		return time.Now()
	}
	return time.Now().Add(watchTimeout)
}

// logUndecodable logs objects that the object API returned and that cannot be decoded. A
// watch returns each of them once.
func (w *Watcher) logUndecodable(c rlbobject.Changes) {
	if c.Undecodable > 0 {
		w.Log.WithFields(log.Fields{"kind": w.Kind, "objects": c.Undecodable, "revision": c.Revision.String()}).Warn("failed to decode objects of another writer; they are not used")
	}
}

// TriggerList cancels a call that waits for changes and makes the watcher read the list,
// because the call should have returned changes that are known from elsewhere.
func (w *Watcher) TriggerList(reason string) {
	if cancel := w.cancelWatch.Swap(nil); cancel != nil {
		w.Log.WithFields(log.Fields{"kind": w.Kind, "reason": reason}).Info("reading the list again")
		(*cancel)()
	}
}

// CheckEra makes the watcher read the list if its current call watches in an earlier era
// than the one the object API is known to be in.
func (w *Watcher) CheckEra(era uint64) {
	if watched := w.watchedEra.Load(); watched != 0 && watched < era {
		w.TriggerList("the object API was restored from a copy")
	}
}

// recordSuccess records an answer. It reports whether entries may be missing because
// they lapsed in an outage that has just ended.
func (w *Watcher) recordSuccess() bool {
	now := w.Now()
	if now.Sub(w.lastAnswer) > watchTimeout+outageAfter {
		w.outageEnd = now
	}
	if w.unavailable.Swap(false) {
		w.Log.WithField("kind", w.Kind).Info("object API available again")
	}
	w.lastAnswer, w.failures = now, 0
	w.available.Store(true)
	return !w.outageEnd.IsZero() && now.Sub(w.outageEnd) < afterOutageWindow
}

func (w *Watcher) recordFailure(err error) {
	w.available.Store(false)
	w.failures++
	if !w.unavailable.Swap(true) {
		w.Log.WithError(err).WithField("kind", w.Kind).Warn("object API unavailable")
	}
}

// Available reports whether the latest call was answered.
func (w *Watcher) Available() bool { return w.available.Load() }

// Unavailable reports whether the latest call failed.
func (w *Watcher) Unavailable() bool { return w.unavailable.Load() }

// ConfigSink applies the object with a given name as the config of a view.
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

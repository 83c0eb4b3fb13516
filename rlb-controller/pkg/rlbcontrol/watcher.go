package rlbcontrol

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmembership"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Timing of the watch on the release note and of the polls of the instance list.
const (
	watchTimeout    = 10 * time.Second // longest wait of one watch call
	listInterval    = time.Second      // between two polls of the instance list
	watchRetryDelay = time.Second      // after a failed watch call
)

// updateWatch starts or stops watching the platform, depending on whether this
// controller is one of the watchers; c.mu is held. A controller that has no
// instance list yet watches whether or not it is one.
func (c *Controller) updateWatch(ctx context.Context) {
	shouldWatch := rlbmembership.IsWatcher(c.membership.Self, c.live, c.Settings.Int(rlbsettings.ControllerWatchers))
	shouldWatch = shouldWatch || c.fleet.Instances().Len() == 0
	if shouldWatch && !c.watching {
		c.watching = true
		ctx, cancel := context.WithCancel(ctx)
		c.cancelWatch = cancel
		c.spawn(func() { c.watchNote(ctx) })
		c.spawn(func() { c.pollInstances(ctx) })
	}
	if !shouldWatch && c.watching {
		c.watching = false
		c.cancelWatch()
	}
}

// watchNote watches the release note in force and applies its changes until ctx
// is done.
func (c *Controller) watchNote(ctx context.Context) {
	var after rlbobject.Version
	for ctx.Err() == nil {
		changes, err := c.Objects.Watch(ctx, noteKind, after, time.Now().Add(watchTimeout))
		if rlbobject.Is(err, rlbobject.KindExpired) {
			after = 0
			continue
		}
		if err != nil {
			c.Log.WithError(err).Debug("failed to watch the release note; retrying")
			rlbcommon.Sleep(ctx, watchRetryDelay)
			continue
		}
		after = changes.Revision
		for _, object := range changes.Objects {
			c.applyNoteObject(object)
		}
	}
}

func (c *Controller) applyNoteObject(object rlbobject.Object) {
	if object.Name != currentNote.Name {
		return
	}
	var state rlbnote.State
	if err := json.Unmarshal(object.Value, &state); err != nil {
		c.Log.WithError(err).Error("failed to decode the release note in force; it is ignored")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeNote(state)
}

// mergeNote applies a release state if it is newer than the one in force here;
// c.mu is held.
func (c *Controller) mergeNote(state rlbnote.State) {
	if c.fleet.MergeNote(state) {
		c.signalUrgent()
		c.journal.add(time.Now(), "note", "version %d in force here: note %s", state.Version, state.Last.ID)
		c.Log.WithField("note_version", state.Version).Info("release note in force")
	}
}

// pollInstances reads and applies the instance list until ctx is done.
func (c *Controller) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.Instances.List(ctx)
		if err != nil {
			c.Log.WithError(err).Debug("failed to read the instance list")
		} else {
			c.mu.Lock()
			c.fleet.MergeInstanceList(list)
			c.mu.Unlock()
		}
		rlbcommon.Sleep(ctx, listInterval)
	}
}

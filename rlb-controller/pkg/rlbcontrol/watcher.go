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

// Terms of watching the platform.
const (
	watchTimeout    = 10 * time.Second // of one waiting watch
	listInterval    = time.Second      // between two readings of the instance list
	watchRetryDelay = time.Second      // after a failure
)

// updateWatch begins or ends watching the platform as the duty falls; c.mu is held.
// A controller that knows no list yet reads it whatever its rank.
func (c *Controller) updateWatch(ctx context.Context) {
	isWatcher := rlbmembership.IsWatcher(c.membership.Self, c.live, c.Settings.Int(rlbsettings.ControllerWatchers))
	isWatcher = isWatcher || c.fleet.Instances().Len() == 0
	if isWatcher && !c.watching {
		c.watching = true
		ctx, cancel := context.WithCancel(ctx)
		c.cancelWatch = cancel
		c.spawn(func() { c.watchNote(ctx) })
		c.spawn(func() { c.pollInstances(ctx) })
	}
	if !isWatcher && c.watching {
		c.watching = false
		c.cancelWatch()
	}
}

// watchNote keeps the release note in force up to date.
func (c *Controller) watchNote(ctx context.Context) {
	var after rlbobject.Version
	for ctx.Err() == nil {
		changes, err := c.Objects.Watch(ctx, noteKind, after, time.Now().Add(watchTimeout))
		if rlbobject.Is(err, rlbobject.KindExpired) {
			after = 0
			continue
		}
		if err != nil {
			c.Log.WithError(err).Debug("no watch")
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
		c.Log.WithError(err).Error("the release note in force cannot be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeNote(state)
}

// mergeNote takes a release state if it is newer; c.mu is held.
func (c *Controller) mergeNote(state rlbnote.State) {
	if c.fleet.MergeNote(state) {
		c.signalUrgent()
		c.journal.add(time.Now(), "note", "version %d in force here: note %s", state.Version, state.Last.ID)
		c.Log.WithField("note_version", state.Version).Info("release note in force")
	}
}

// pollInstances reads the instance list.
func (c *Controller) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.Instances.List(ctx)
		if err != nil {
			c.Log.WithError(err).Debug("no instance list")
		} else {
			c.mu.Lock()
			c.fleet.MergeInstanceList(list)
			c.mu.Unlock()
		}
		rlbcommon.Sleep(ctx, listInterval)
	}
}

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
	watchWait  = 10 * time.Second // of one waiting watch
	listPeriod = time.Second      // between two readings of the instance list
	retryWatch = time.Second      // after a failure
)

// watch begins or ends watching the platform as the duty falls; c.mu is held.
// A controller that knows no list yet reads it whatever its rank.
func (c *Controller) watch(ctx context.Context) {
	duty := rlbmembership.IsWatcher(c.member.Self, c.live, c.Settings.Int(rlbsettings.ControllerWatchers))
	duty = duty || c.world.Instances().Len() == 0
	if duty && !c.watching {
		c.watching = true
		ctx, cancel := context.WithCancel(ctx)
		c.stopWatch = cancel
		c.spawn(func() { c.watchNote(ctx) })
		c.spawn(func() { c.watchList(ctx) })
	}
	if !duty && c.watching {
		c.watching = false
		c.stopWatch()
	}
}

// watchNote keeps the release note in force up to date.
func (c *Controller) watchNote(ctx context.Context) {
	var after rlbobject.Version
	for ctx.Err() == nil {
		changes, err := c.Objects.Watch(ctx, noteKind, after, time.Now().Add(watchWait))
		if rlbobject.Is(err, rlbobject.KindExpired) {
			after = 0
			continue
		}
		if err != nil {
			c.Log.WithError(err).Debug("no watch")
			rlbcommon.Sleep(ctx, retryWatch)
			continue
		}
		after = changes.Revision
		for _, object := range changes.Objects {
			c.takeNote(object)
		}
	}
}

func (c *Controller) takeNote(object rlbobject.Object) {
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
	if c.world.MergeNote(state) {
		c.hurry()
		c.journal.add(time.Now(), "note", "version %d in force here: note %s", state.Version, state.Last.ID)
		c.Log.WithField("note_version", state.Version).Info("release note in force")
	}
}

// watchList reads the instance list.
func (c *Controller) watchList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.Instances.List(ctx)
		if err != nil {
			c.Log.WithError(err).Debug("no instance list")
		} else {
			c.mu.Lock()
			c.world.MergeInstanceList(list)
			c.mu.Unlock()
		}
		rlbcommon.Sleep(ctx, listPeriod)
	}
}
